import {once} from 'node:events';
import {
	type AddressInfo, type Socket, connect, createServer,
} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {type InboundAccount, defaultInboundLimitSettings} from '@lacewingpoint/routing';
import {Metrics, silentLogger} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type InboundExchange, Inbound, receiveBody, serveInbound,
} from '../src/inbound/index.js';
import {ReadScheduler} from '../src/inbound/read-scheduler.js';
import {findSliceEnd} from '../src/inbound/socket-meter.js';

const test = suite('inbound connections');

const headLimits = {headerBytes: 16_384, headerTime: 3000, idleTime: 15_000} as const;

type Fixture = {readonly exchanges: InboundExchange[]; readonly inbound: Inbound; openClient(): Socket};

async function findFreeAddress(): Promise<string> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	return `127.0.0.1:${port}`;
}

async function withServer(onRequest: (exchange: InboundExchange) => void, check: (fixture: Fixture) => Promise<void>): Promise<void> {
	const inbound = new Inbound({
		settings: {memory: 200_000_000, maximumSockets: 1000, inbound: {...defaultInboundLimitSettings, lingerTime: 300}}, log: silentLogger, metrics: new Metrics(), now: () => performance.now(), idleTime: () => 15_000,
	});
	const address = await findFreeAddress();
	const exchanges: InboundExchange[] = [];
	const {server} = await serveInbound({
		address, kind: 'clients', inbound, pipelinedRequests: 2, limits: () => headLimits, onRequest(exchange) {
			exchanges.push(exchange);
			onRequest(exchange);
		},
	});
	const clients: Socket[] = [];
	try {
		await check({
			exchanges, inbound, openClient() {
				const client = connect({host: '127.0.0.1', port: Number(address.split(':')[1]), allowHalfOpen: true}).on('error', () => {/* The test looks at what was received. */});
				clients.push(client);
				return client;
			},
		});
	} finally {
		for (const client of clients) {
			client.destroy();
		}

		server.close();
		server.closeAllConnections();
		await inbound.dispose();
	}
}

async function waitUntil(condition: () => boolean): Promise<void> {
	for (let attempt = 0; attempt < 1000 && !condition(); attempt++) {
		await pause(5);
	}

	assert.ok(condition(), 'the condition did not become true in time');
}

const createRequest = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h.example\r\n\r\n`;

test('requests beyond the pipelining limit wait unread until earlier responses are delivered, and are answered in order', async () => {
	await withServer(() => {/* The test responds. */}, async ({exchanges, openClient}) => {
		const client = openClient();
		let received = '';
		client.on('data', chunk => {
			received += String(chunk);
		});
		client.write(Array.from({length: 300}, (_, index) => createRequest(`/${index}`)).join(''));
		await waitUntil(() => exchanges.length >= 2);
		await pause(50);
		assert.is(exchanges.length, 2);
		for (let index = 0; index < 300; index++) {
			await waitUntil(() => exchanges.length > index);
			assert.ok(exchanges.length <= index + 2);
			exchanges[index]!.response.end(`answer ${index};`);
		}

		await waitUntil(() => received.includes('answer 299;'));
		assert.equal([...received.matchAll(/answer (?<index>\d+);/gv)].map(match => Number(match.groups!.index)), Array.from({length: 300}, (_, index) => index));
	});
});

test('a body is received whole in whatever pieces it arrives, and the request after it as well', async () => {
	const bodies: string[] = [];
	const receive = (exchange: InboundExchange) => {
		receiveBody(exchange, {
			framingFactor: 16, limit: () => 100_000, allowedTime: () => 30_000, onComplete(body) {
				bodies.push(Buffer.from(body).toString());
				exchange.response.end('ok');
			}, onRefused(status) {
				exchange.response.writeHead(status).end();
			},
		});
	};

	await withServer(receive, async ({openClient}) => {
		const text = Array.from({length: 20_000}, (_, index) => String(index % 10)).join('');
		const head = 'POST /x HTTP/1.1\r\nHost: h.example\r\n';
		const client = openClient();
		client.resume();
		client.write(`${head}Content-Length: ${text.length}\r\n\r\n${text}`);
		client.write(`${head}Transfer-Encoding: chunked\r\n\r\n${[...text].map(character => `1\r\n${character}\r\n`).join('')}0\r\n\r\n`);
		client.write(`${head}Content-Length: 8\r\n\r\n\r\n\r\n\r\n\r\n`);
		client.write(`${head}Content-Length: 0\r\n\r\n`);
		await waitUntil(() => bodies.length === 4);
		assert.equal(bodies, [text, text, '\r\n\r\n\r\n\r\n', '']);
	});
});

const receiveWithin = (allowedTime: number) => (exchange: InboundExchange) => {
	receiveBody(exchange, {
		framingFactor: 16, limit: () => 100_000, allowedTime: () => allowedTime, onComplete() {
			exchange.response.end('ok');
		}, onRefused(status) {
			exchange.response.writeHead(status, {'Content-Length': 0}).end();
		},
	});
};

const completeRequest = 'POST /1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n\r\nhello';
const incompleteRequest = 'POST /2 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5000\r\n\r\nhello';

test('a body that is left incomplete behind another request of the same packet is refused when its time is over', async () => {
	await withServer(receiveWithin(300), async ({inbound, openClient}) => {
		const client = openClient();
		let received = '';
		client.on('data', chunk => {
			received += String(chunk);
		});
		client.write(`${createRequest('/0')}${incompleteRequest}`);
		await waitUntil(() => received.includes('HTTP/1.1 408 '));
		assert.match(received, /^HTTP\/1\.1 200 /v);
		await waitUntil(() => inbound.ledger.countConnections('clients') === 0);
	});
});

test('the memory of an incomplete body stays releasable when an earlier request on the connection ends', async () => {
	const accounts: InboundAccount[] = [];
	await withServer(receiveWithin(30_000), async ({exchanges, inbound, openClient}) => {
		const {ledger} = inbound;
		const open = ledger.open.bind(ledger);
		ledger.open = (kind, actions) => {
			const account = open(kind, actions)!;
			accounts.push(account);
			return account;
		};

		const client = openClient();
		client.resume();
		client.write(`${completeRequest}${completeRequest}${incompleteRequest}`);
		await waitUntil(() => exchanges.length === 3 && accounts[0]!.holdings.exchanges === 1);
		assert.is(accounts[0]!.holdings.incompleteBodyBytes, 5000);
	});
});

test('a refused client gets the whole response while it sends on, and is disconnected although it stays', async () => {
	const refuse = (exchange: InboundExchange) => {
		receiveBody(exchange, {
			framingFactor: 16, limit: () => 1000, allowedTime: () => 30_000, onComplete() {/* Refused before. */}, onRefused(status, message) {
				exchange.response.writeHead(status, {'Content-Length': message.length}).end(message);
			},
		});
	};

	await withServer(refuse, async ({inbound, openClient}) => {
		const client = openClient();
		let received = '';
		client.on('data', chunk => {
			received += String(chunk);
		});
		client.write('POST /x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 50000000\r\n\r\n');
		const timer = setInterval(() => {
			client.write('x'.repeat(10_000));
		}, 5);
		await waitUntil(() => received.endsWith('exceeds the limit of 1000 bytes'));
		assert.match(received, /^HTTP\/1\.1 413 /v);
		await waitUntil(() => inbound.ledger.countConnections('clients') === 0);
		clearInterval(timer);
	});
});

test('what is no request is answered once, after the responses to earlier requests, and the connection is closed', async () => {
	await withServer(() => {/* The test responds. */}, async ({exchanges, inbound, openClient}) => {
		const [first, second] = [openClient(), openClient()];
		const received = ['', ''];
		for (const [index, client] of [first, second].entries()) {
			client.on('data', chunk => {
				received[index] += String(chunk);
			});
		}

		first.write('no request\r\n\r\nno request\r\n\r\n');
		second.write(`${createRequest('/x')}no request\r\n\r\n`);
		await waitUntil(() => received[0] !== '' && exchanges.length === 1);
		assert.match(received[0]!, /^HTTP\/1\.1 400 Bad Request\r\n/v);
		exchanges[0]!.response.end('answer');
		await waitUntil(() => inbound.ledger.countConnections('clients') === 0);
		assert.match(received[1]!, /^HTTP\/1\.1 200 OK\r\n/v);
		assert.not.match(received[1]!, '400');
	});
});

test('a packet is cut after each head that it may complete', () => {
	const cut = (text: string) => text.slice(0, findSliceEnd(Buffer.from(text)));
	assert.is(cut('GET / HTTP/1.1\r\na: b\r\n\r\nGET'), 'GET / HTTP/1.1\r\na: b\r\n\r\nGET');
	assert.is(cut('GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n'), 'GET / HTTP/1.1\r\n\r\n');
	assert.is(cut('GET / HTTP/1.1\n\nGET / HTTP/1.1\n\n'), 'GET / HTTP/1.1\n\n');
	assert.is(cut('a: b\n\r\nGET\r\n\n'), 'a: b\n\r\n');
	assert.is(cut('1\r\nx\r\n1\r\nx\r\n'), '1\r\nx\r\n1\r\nx\r\n');
});

test('tasks run in turns, and other events are handled between the turns', async () => {
	let time = 0;
	let exhaustedTurns = 0;
	const scheduler = new ReadScheduler({
		turnTime: 5, now: () => time, onTurnExhausted() {
			exhaustedTurns++;
		},
	});
	const order: number[] = [];
	const createTask = (id: number) => {
		const task = {
			remaining: 4, run() {
				order.push(id);
				time += 2;
				if (--task.remaining > 0) {
					scheduler.add(task);
				}
			},
		};
		return task;
	};

	for (const id of [1, 2, 3]) {
		scheduler.add(createTask(id));
	}

	await pause(20);
	assert.equal(order, [1, 2, 3, 1, 2, 3, 1, 2, 3, 1, 2, 3]);
	assert.ok(exhaustedTurns >= 3);
});

test.run();
