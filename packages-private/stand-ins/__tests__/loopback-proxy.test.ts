import {
	type AddressInfo, type Socket, connect, createServer,
} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LoopbackProxy} from '../src/index.js';

const test = suite('LoopbackProxy');

type ProxiedConnection = {
	readonly proxy: LoopbackProxy; readonly server: Socket; readonly client: Socket; received(): string; isReset(): boolean;
};

async function withConnection(check: (connection: ProxiedConnection) => Promise<void>): Promise<void> {
	let server: Socket | undefined;
	const listener = createServer(socket => {
		server = socket;
		socket.on('error', () => {/* Some tests reset it. */});
	});
	await new Promise<void>(resolve => {
		listener.listen(0, '127.0.0.1', resolve);
	});
	const proxy = new LoopbackProxy(`127.0.0.1:${(listener.address() as AddressInfo).port}`);
	await proxy.start();
	const [host, port] = proxy.address.split(':');
	const client = connect(Number(port), host);
	let [text, wasReset] = ['', false];
	client.on('data', chunk => {
		text += String(chunk);
	});
	client.on('error', () => {
		wasReset = true;
	});
	while (server === undefined) {
		await pause(5);
	}

	try {
		await check({
			proxy, server, client, received: () => text, isReset: () => wasReset,
		});
	} finally {
		client.destroy();
		proxy.dispose();
		listener.close();
		server.destroy();
	}
}

// Seed 18 of the soak: bytes that were delayed arrived after later ones.
test('the end of a delay does not reorder bytes', async () => {
	await withConnection(async ({proxy, server, received}) => {
		proxy.fault = 'delay';
		server.write('first ');
		await pause(30);
		proxy.fault = 'none';
		server.write('second');
		await pause(200);
		assert.is(received(), 'first second');
	});
});

test('a connection that has lost bytes delivers no later ones', async () => {
	await withConnection(async ({proxy, server, received}) => {
		proxy.fault = 'one-way';
		server.write('lost ');
		await pause(30);
		proxy.fault = 'none';
		server.write('later');
		await pause(50);
		assert.is(received(), '');
	});
});

test('a reset is passed on as a reset, after the bytes before it', async () => {
	await withConnection(async ({server, received, isReset}) => {
		server.write('bytes');
		await pause(30);
		server.resetAndDestroy();
		await pause(50);
		assert.is(received(), 'bytes');
		assert.ok(isReset());
	});
});

test('a link that holds bytes delivers them later, with an orderly end but not before a reset', async () => {
	for (const isReset of [false, true]) {
		await withConnection(async ({proxy, server, client}) => {
			let received = '';
			let hasEnded = false;
			server.on('data', chunk => {
				received += String(chunk);
			});
			server.on('end', () => {
				hasEnded = true;
			});
			proxy.fault = 'held';
			client.write('bytes');
			await pause(30);
			if (isReset) {
				client.resetAndDestroy();
			} else {
				client.end();
			}

			await pause(50);
			assert.is(received, '');
			proxy.fault = 'none';
			await pause(50);
			assert.is(received.trim(), isReset ? '' : 'bytes');
			assert.is(hasEnded, !isReset);
		});
	}
});

test.run();
