import {setTimeout as pause} from 'node:timers/promises';
import {type RequestHandler, formatResponseHead} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LocalCluster, sendRawRequest} from '../src/index.js';

// Whatever the hosts limit, one client that stays within the limits of the configuration is served while nothing else happens.

const test = suite('bodies within the limits');

const bodyLimit = 4_194_304;

/** Time that a request may take, in milliseconds. Generous, so that the speed of the machine does not decide. */
const allowedTime = 60_000;

const writeSize = 8192;

const route = {
	name: 'upload', host: 'h.example', prefix: '/upload/', kind: 'non_idempotent', timeoutMs: allowedTime, goalMs: 400, priority: 1, attempts: 1, noAuth: false, sticky: false, resumable: false, service: 'plain',
};

const configurationOverrides = {
	routes: [route],
	limits: {
		headerBytes: 16_384, bodyBytes: bodyLimit, headerMs: 3000, idleMs: 15_000,
	},
};

const respond: RequestHandler = (received, socket) => {
	const answer = `${received.body.length} bytes of x: ${received.body === 'x'.repeat(received.body.length)}`;
	socket.write(`${formatResponseHead(received, [`Content-Length: ${answer.length}`])}${answer}`);
};

function createHead(framing: string): string {
	return ['POST /upload/1 HTTP/1.1', 'Host: h.example', 'Attempt-Id: a', 'Api-Key: red-key', `Deadline-Ms: ${allowedTime}`, framing, '', ''].join('\r\n');
}

function * createChunks(size: number, chunkSize: number): Iterable<string> {
	yield createHead('Transfer-Encoding: chunked');
	const chunk = `${chunkSize.toString(16)}\r\n${'x'.repeat(chunkSize)}\r\n`;
	const chunksPerWrite = Math.max(1, Math.floor(writeSize / chunk.length));
	const chunkCount = size / chunkSize;
	for (let index = 0; index < chunkCount; index += chunksPerWrite) {
		yield chunk.repeat(Math.min(chunksPerWrite, chunkCount - index));
	}

	yield '0\r\n\r\n';
}

async function * createSlowBody(size: number, duration: number): AsyncIterable<string> {
	yield createHead(`Content-Length: ${size}`);
	const pieceCount = 10;
	for (let index = 0; index < pieceCount; index++) {
		await pause(duration / pieceCount);
		yield 'x'.repeat(size / pieceCount);
	}
}

const requests: ReadonlyArray<readonly [description: string, size: number, pieces: () => Iterable<string> | AsyncIterable<string>]> = [
	['the largest body with a length', bodyLimit, () => [createHead(`Content-Length: ${bodyLimit}`), 'x'.repeat(bodyLimit)]],
	['the largest body in chunks of 64 KiB', bodyLimit, () => createChunks(bodyLimit, 65_536)],
	['200,000 bytes in chunks of one byte', 200_000, () => createChunks(200_000, 1)],
	['the largest body in chunks of one byte', bodyLimit, () => createChunks(bodyLimit, 1)],
	['a body that arrives over half a second', 100_000, () => createSlowBody(100_000, 500)],
	['a body that arrives over three seconds', 100_000, () => createSlowBody(100_000, 3000)],
];

for (const [description, size, createPieces] of requests) {
	test(`one client is served: ${description}`, async () => {
		const cluster = new LocalCluster({
			hostCount: 1, plainHandlers: [respond], modelHandlers: [], configurationOverrides, nodeFlags: '--max-old-space-size=110',
		});
		try {
			await cluster.start();
			const response = await sendRawRequest(cluster.hosts[0]!.clientAddress, {pieces: createPieces(), timeout: allowedTime});
			assert.equal(response, {status: 200, body: `${size} bytes of x: true`});
			assert.ok(cluster.hosts[0]!.process.isRunning);
		} finally {
			await cluster.dispose();
		}
	});
}

test.run();
