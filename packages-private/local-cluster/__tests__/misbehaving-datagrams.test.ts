import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {setTimeout as pause} from 'node:timers/promises';
import {respondWithBody} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LocalCluster, sendRawRequest} from '../src/index.js';

const test = suite('misbehaving datagrams');

const datagrams: ReadonlyArray<readonly [description: string, bytes: Uint8Array]> = [
	['an array of thirty million elements, of which none follows', Buffer.from([0xDD, 0x01, 0xC9, 0xC3, 0x80])],
	['arrays of 1,024 elements within each other', Buffer.alloc(60_000, Buffer.from([0xDC, 0x04, 0x00]))],
	['maps within each other', Buffer.alloc(60_000, Buffer.from([0x81, 0xA1, 0x61]))],
];

for (const [description, bytes] of datagrams) {
	test(`a host lives on after a datagram with ${description}`, async () => {
		const cluster = new LocalCluster({
			hostCount: 1, plainHandlers: [respondWithBody('ok')], modelHandlers: [], nodeFlags: '--max-old-space-size=110',
		});
		const socket = createSocket('udp4');
		try {
			await cluster.start();
			const host = cluster.hosts[0]!;
			const [address, port] = host.datagramAddress.split(':');
			for (let count = 0; count < 20; count++) {
				socket.send(bytes, Number(port), address);
				await pause(50);
			}

			const request = 'POST /look/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nApi-Key: red-key\r\nContent-Length: 0\r\n\r\n';
			const response = await sendRawRequest(host.clientAddress, {pieces: [request], timeout: 10_000});
			assert.ok(host.process.isRunning, `the host has ended: ${host.process.ending}\n${host.process.standardError.slice(0, 600)}`);
			assert.equal(response, {status: 200, body: 'ok'});
		} finally {
			socket.close();
			await cluster.dispose();
		}
	});
}

test.run();
