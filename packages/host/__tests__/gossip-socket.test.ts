import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {Metrics, silentLogger} from '@lacewingpoint/shared';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type HostMessage, decodeHostMessage, encodeHostMessage} from '../src/index.js';
import {noEvents} from '../src/members/gossip-events.js';
import {GossipSocket} from '../src/members/gossip-socket.js';

const test = suite('GossipSocket');
const seed = 4308;

const message: HostMessage = {
	...noEvents, name: 'a', incarnation: '1', state: 'serving', role: 'member', hostCount: 1, hasStoreContact: false, configuration: 1, revision: 1, isWhole: false, charged: {}, loads: {}, quarantined: [],
};

async function findFreeAddress(): Promise<string> {
	const socket = createSocket('udp4');
	socket.bind(0, '127.0.0.1');
	await once(socket, 'listening');
	const {port} = socket.address();
	socket.close();
	return `127.0.0.1:${port}`;
}

test('a message that cannot be processed, and an address without a valid port, do not affect others', async () => {
	const address = await findFreeAddress();
	const metrics = new Metrics();
	const socket = new GossipSocket({address, log: silentLogger, metrics});
	const received: string[] = [];
	const isDelivered = new Promise<void>(resolve => {
		void socket.start(({name}) => {
			if (name === 'bad') {
				throw new Error('not processed');
			}

			received.push(name);
			resolve();
		});
	});
	try {
		socket.send({...message, name: 'bad'}, [address]);
		socket.send(message, ['', 'x', '127.0.0.1:', '127.0.0.1:99999', address]);
		await isDelivered;
		assert.equal(received, ['a']);
		assert.match(metrics.formatSeries(), /datagrams_failed_total 1\n/v);
		assert.match(metrics.formatSeries(), /datagrams_unsent_total 4\n/v);
	} finally {
		socket.dispose();
	}
});

test('bytes that are changed or cut off are decoded or refused without an error', () => {
	const valid = encodeHostMessage({
		...message, loads: {s: [1, 2, 3]}, unreachable: ['s'], departed: ['b'],
	});
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(valid.length - 1), fc.nat(255)), {maxLength: 6}), fc.nat(valid.length), fc.uint8Array({maxLength: 40}), (changes, length, added) => {
		const bytes = Uint8Array.from([...valid.subarray(0, length), ...added]);
		for (const [index, value] of changes) {
			if (index < bytes.length) {
				bytes[index] = value;
			}
		}

		decodeHostMessage(bytes);
	}), {seed, numRuns: 2000});
});

test.run();
