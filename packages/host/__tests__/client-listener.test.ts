import {
	type AddressInfo, type Socket, connect, createServer,
} from 'node:net';
import {once} from 'node:events';
import {setTimeout as pause} from 'node:timers/promises';
import {Metrics, silentLogger} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {ClientProtocol, ReceivedRequest} from '../src/index.js';
import {Inbound} from '../src/inbound/index.js';
import {type ClientListener, type ClientListenerOptions, serveClients} from '../src/requests/client-listener.js';
import {drainListeners} from '../src/requests/listener-drain.js';

const test = suite('client listener');

const protocol: ClientProtocol = {
	decodeHead: ({method, target}) => Result.ok({
		id: target, host: 'h.example', method, target, credential: undefined, generation: undefined, deadline: undefined, lastEventId: undefined, resumedRequestId: undefined, headers: [], hasBackendHeaders: true,
	}),
	previewHead: () => ({
		id: 'a1', host: 'h.example', credential: undefined, deadline: 1000,
	}),
	decodeBody: request => Result.ok(request),
	responseHeaders: (_request, headers) => headers,
	errorResponse: ({message, retryAfter}) => ({headers: retryAfter === undefined ? [] : ['Retry-After', String(retryAfter / 1000)], body: message}),
};

async function findFreeAddress(): Promise<string> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	return `127.0.0.1:${port}`;
}

async function listenForClients(options: Pick<ClientListenerOptions, 'guard' | 'isStopping' | 'onRequest'>): Promise<{readonly listener: ClientListener; openClient(): Socket}> {
	const address = await findFreeAddress();
	const inbound = new Inbound({
		settings: {memory: 2_000_000_000}, log: silentLogger, metrics: new Metrics(), now: () => performance.now(), idleTime: () => 15_000,
	});
	const listener = await serveClients({
		...options, address, protocol, inbound, now: () => performance.now(), limits: () => undefined, allowedTime: () => 30_000, onRejected() {/* Not tested here. */},
	});
	return {
		listener: {
			...listener, async dispose() {
				await listener.dispose();
				await inbound.dispose();
			},
		},
		openClient: () => connect(Number(address.split(':')[1]), '127.0.0.1').on('error', () => {/* The test looks at what was received. */}),
	};
}

async function readAll(client: Socket, pauseBetween = 0): Promise<string> {
	let received = '';
	for await (const chunk of client) {
		received += String(chunk);
		if (pauseBetween > 0) {
			await pause(pauseBetween);
		}
	}

	return received;
}

const head = 'GET /x HTTP/1.1\r\nHost: h.example\r\n';

// Before, the process ended once no request was running, and cut off the responses that were still being sent.
test('a planned stop delivers the responses that have ended and those to requests that had just been read', async () => {
	const body = 'x'.repeat(8_000_000);
	const received: ReceivedRequest[] = [];
	let isStopping = false;
	const {listener, openClient} = await listenForClients({
		isStopping: () => isStopping,
		onRequest(request) {
			received.push(request);
		},
	});
	const clients = [openClient(), openClient(), openClient()];
	for (const client of clients) {
		client.write(`${head}\r\n`);
	}

	while (received.length < clients.length) {
		await pause(5);
	}

	const respond = ({responseWriter}: ReceivedRequest) => {
		responseWriter.writeHead(200, ['Content-Length', String(body.length)]);
		responseWriter.write(Buffer.from(body));
		responseWriter.end();
	};

	respond(received[0]!);
	isStopping = true;
	const responses = clients.map(async client => readAll(client, 1));
	const drained = drainListeners({listeners: [listener], deadline: performance.now() + 5000, now: () => performance.now()});
	respond(received[1]!);
	respond(received[2]!);

	assert.is(await drained, 0);
	await listener.dispose();
	for (const response of await Promise.all(responses)) {
		assert.ok(response.endsWith(`\r\n\r\n${body}`), `${response.length} characters`);
	}
});

test('a planned stop waits no longer than its deadline for a client that does not read', async () => {
	const {listener, openClient} = await listenForClients({
		isStopping: () => true,
		onRequest({responseWriter}) {
			responseWriter.writeHead(200, ['Content-Length', '50000000']);
			responseWriter.write(Buffer.alloc(50_000_000));
			responseWriter.end();
		},
	});
	const client = openClient();
	client.write(`${head}\r\n`);
	while (listener.undeliveredResponses() === 0) {
		await pause(5);
	}

	const startedAt = performance.now();
	assert.is(await drainListeners({listeners: [listener], deadline: startedAt + 200, now: () => performance.now()}), 1);
	assert.ok(performance.now() - startedAt < 1000);
	client.destroy();
	await listener.dispose();
});

test('an overloaded host rejects a request unread, with 503 and the time to return, and keeps the connection', async () => {
	let isOverloaded = true;
	const {listener, openClient} = await listenForClients({
		guard: {isBehind: true, evaluate: () => isOverloaded ? {reason: 'overloaded', retryAfter: 250} : undefined},
		isStopping: () => false,
		onRequest({responseWriter}) {
			responseWriter.writeHead(200, ['Content-Length', '2']);
			responseWriter.write(Buffer.from('ok'));
			responseWriter.end();
		},
	});
	const client = openClient();
	client.write(`POST${head.slice(3)}Content-Length: 5\r\n\r\n`);
	const [rejection] = await once(client, 'data') as [Uint8Array];
	assert.match(Buffer.from(rejection).toString(), /^HTTP\/1\.1 503 [\s\S]*Retry-After: 0\.25\r\n/v);
	assert.is(listener.undeliveredResponses(), 0);
	client.write('hello');
	isOverloaded = false;
	client.write(`${head}\r\n`);
	const [response] = await once(client, 'data') as [Uint8Array];
	assert.match(Buffer.from(response).toString(), /^HTTP\/1\.1 200 [\s\S]*ok$/v);
	client.destroy();
	await listener.dispose();
});

test.run();
