import {type AddressInfo, type Socket, createServer} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BackendConnectionPool} from '../src/requests/backend-connection-pool.js';

const test = suite('BackendConnectionPool');

const reuseDelay = 4;
const head = 'HTTP/1.1 200 OK\r\n\r\n';

type Ending = {readonly body: string; readonly result: string};

type PoolFixture = {
	readonly connectionCount: () => number;
	/** Lets time pass for the pool within the current turn of the event loop. */
	readonly passTime: (milliseconds: number) => void;
	readonly hasIdle: () => boolean;
	/** Sends a request; `onEnding` runs in the turn in which its response ends. */
	readonly send: (target: string, onEnding?: () => void) => Promise<Ending>;
};

async function withPool(respond: (target: string, socket: Socket) => void, check: (fixture: PoolFixture) => Promise<void>): Promise<void> {
	let [connectionCount, now] = [0, 1000];
	const server = createServer({noDelay: true}, socket => {
		connectionCount++;
		socket.on('error', () => {/* The pool closes connections. */});
		socket.on('data', chunk => {
			const target = /^GET (?<target>\S+) /v.exec(String(chunk))?.groups?.target;
			if (target !== undefined) {
				respond(target, socket);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const pool = new BackendConnectionPool({
		connectTimeout: 1000, idleTimeout: 4000, maxIdleConnections: 4, reuseDelay, now: () => now, onResponseHead() {/* Not tested here. */}, onConnectionOpened() {/* Not tested here. */},
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const send: PoolFixture['send'] = async (target, onEnding) => new Promise(resolve => {
		let body = '';
		const end = (result: string) => {
			resolve({body, result});
			onEnding?.();
		};

		pool.send({id: 's', incarnation: '1', address}, {
			method: 'GET', target, headers: ['host', 'h.example'], body: undefined,
		}, {
			onHead() {/* Not tested here. */},
			onData(chunk) {
				body += Buffer.from(chunk).toString();
			},
			onEnd({resetCheck}) {
				end(`complete, reset check ${resetCheck}`);
			},
			onFailure({reason}) {
				end(reason);
			},
		});
	});
	try {
		await check({
			send, hasIdle: () => pool.hasIdle({id: 's', incarnation: '1', address}), connectionCount: () => connectionCount, passTime(milliseconds) {
				now += milliseconds;
			},
		});
	} finally {
		pool.dispose();
		server.close();
	}
}

function respondWithoutLength(target: string, socket: Socket): void {
	if (target === '/whole') {
		socket.end(`${head}done whole`);
	} else {
		socket.write(`${head}done r`, () => {
			socket.resetAndDestroy();
		});
	}
}

test('a close-delimited response is complete if its connection ends in an orderly way', async () => {
	await withPool(respondWithoutLength, async ({send}) => {
		assert.equal(await send('/whole'), {body: 'done whole', result: 'complete, reset check none'});
	});
});

test('a close-delimited response whose connection is reset is not complete', async () => {
	await withPool(respondWithoutLength, async ({send}) => {
		assert.equal(await send('/reset'), {body: 'done r', result: 'connection reset before the response was complete'});
	});
});

// Seed 39 of the soak. A host that was suspended handles many events in one turn, so that the time to reuse a connection passes within it.
test('a reset is recognized if the request was sent in the turn in which a close-delimited response before it ended', async () => {
	await withPool(respondWithoutLength, async ({send, passTime}) => {
		let next: Promise<Ending> | undefined;
		await send('/whole', () => {
			passTime(reuseDelay);
			next = send('/reset');
		});
		assert.equal(await next, {body: 'done r', result: 'connection reset before the response was complete'});
	});
});

// Undici opens another connection for a request that is sent before it reports that the previous one was closed.
test('a response on a connection that was opened again is judged by that connection only', async () => {
	const results: Ending[] = [];
	await withPool((target, socket) => {
		if (target === '/last') {
			socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone');
		} else {
			respondWithoutLength(target, socket);
		}
	}, async ({send, passTime}) => {
		for (const target of ['/whole', '/reset']) {
			let next: Promise<Ending> | undefined;
			await send('/last', () => {
				passTime(reuseDelay);
				next = send(target);
			});
			results.push(await next!);
		}
	});
	assert.equal(results, [{body: 'done whole', result: 'complete, reset check none'}, {body: 'done r', result: 'connection reset before the response was complete'}]);
});

test('a connection counts as idle once it may be reused, until the server closes it', async () => {
	let serverSocket: Socket | undefined;
	await withPool((_target, socket) => {
		serverSocket = socket;
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na');
	}, async ({send, hasIdle, passTime}) => {
		assert.not(hasIdle());
		await send('/1');
		assert.not(hasIdle());
		passTime(reuseDelay);
		assert.ok(hasIdle());
		serverSocket!.end();
		for (let attempt = 0; attempt < 200 && hasIdle(); attempt++) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}

		assert.not(hasIdle());
	});
});

test('a connection is reused after a response with a length', async () => {
	await withPool((_target, socket) => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone');
	}, async ({send, passTime, connectionCount}) => {
		for (let index = 0; index < 3; index++) {
			assert.equal(await send('/length'), {body: 'done', result: 'complete, reset check undefined'});
			passTime(reuseDelay);
		}

		assert.is(connectionCount(), 1);
	});
});

// Guards against an exception in the place of a failed attempt, which left the request without an outcome.
test('a server whose address no socket can have is not reached', async () => {
	const pool = new BackendConnectionPool({
		connectTimeout: 1000, idleTimeout: 4000, maxIdleConnections: 4, reuseDelay, now: () => performance.now(), onResponseHead() {/* Nothing responds. */}, onConnectionOpened() {/* Not tested here. */},
	});
	for (const address of ['127.0.0.1:65536', '127.0.0.1:99999', '999.1.1.1:80']) {
		const target = {id: 's', incarnation: '1', address};
		const failure = await new Promise(resolve => {
			pool.send(target, {
				method: 'GET', target: '/', headers: [], body: undefined,
			}, {
				onHead() {/* Nothing responds. */}, onData() {/* Nothing responds. */}, onEnd() {/* Nothing responds. */}, onFailure: resolve,
			});
		});
		assert.is((failure as {readonly wasWritten: boolean}).wasWritten, false);
	}

	assert.is(await pool.canConnect({id: 's', incarnation: '1', address: '127.0.0.1:65536'}), false);
	pool.dispose();
});

test.run();
