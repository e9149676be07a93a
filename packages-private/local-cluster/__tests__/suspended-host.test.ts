import {type Socket, connect} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {respondWithBody, streamCompletion} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LocalCluster} from '../src/index.js';

const test = suite('hosts that were suspended');

const requestCount = 60;

const formatRequest = (path: string, id: string) => `GET ${path} HTTP/1.1\r\nHost: h.example\r\nApi-Key: red-key\r\nAttempt-Id: ${id}\r\n\r\n`;

async function openConnection(address: string): Promise<Socket> {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => {/* The host may reset the connection after the client has left. */});
	await new Promise<void>(resolve => {
		socket.once('connect', resolve);
	});
	return socket;
}

// A request was read and sent before the host saw that its client had left meanwhile.
test('a suspended host sends no requests on whose clients left before it continued', async () => {
	const cluster = new LocalCluster({hostCount: 1, plainHandlers: [respondWithBody('hello'), respondWithBody('hello')], modelHandlers: [streamCompletion(3)]});
	try {
		await cluster.start();
		const [host] = cluster.hosts;
		const keptConnections = await Promise.all(Array.from({length: requestCount / 2}, async () => openConnection(host!.clientAddress)));
		for (const [index, socket] of keptConnections.entries()) {
			socket.write(formatRequest(`/look/before-${index}`, `before-${index}`));
		}

		await pause(300);
		host!.process.sendSignal('SIGSTOP');
		await pause(100);
		const newConnections = await Promise.all(Array.from({length: requestCount / 2}, async () => openConnection(host!.clientAddress)));
		for (const [index, socket] of [...keptConnections, ...newConnections].entries()) {
			socket.write(formatRequest(`/look/left-${index}`, `left-${index}`));
		}

		await pause(300);
		for (const socket of [...keptConnections, ...newConnections]) {
			socket.destroy();
		}

		await pause(1200);
		host!.process.sendSignal('SIGCONT');
		await pause(1000);
		const executed = cluster.servers.flatMap(({executedRequests}) => executedRequests).map(({target}) => target);
		assert.is(executed.filter(target => target.startsWith('/look/before-')).length, requestCount / 2);
		assert.equal(executed.filter(target => target.startsWith('/look/left-')), []);
	} finally {
		await cluster.dispose();
	}
});

test.run();
