import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type HostMessage, decodeHostMessage, encodeHostMessage} from '../src/index.js';

const test = suite('host messages');

const message: HostMessage = {
	name: 'edge-nbo-a-1', incarnation: '0123456789ab', state: 'serving', role: 'member', hostCount: 1, hasStoreContact: false, configuration: 17, revision: 120_000, isWhole: false, charged: {}, loads: {}, placements: [], weights: [], loading: [], unreachable: [], leaving: [], emptying: [], deaths: [], limits: [], origins: [], executed: [], paces: [], quarantined: [], hosts: [], departed: [], updates: [],
};

test('decodes what was encoded', () => {
	const full: HostMessage = {
		...message,
		isWhole: true,
		host: {
			name: 'edge-nbo-a-1', incarnation: '0123456789ab', failureDomain: 'nbo-a', region: 'nbo', clientAddress: '10.1.0.24:8606', peerAddress: '10.1.0.24:7600', snapshotAddress: '10.1.0.24:7601', capacity: 1.35,
		},
		digest: 4_000_000_000,
		hostCount: 12,
		stateVersion: 9,
		charged: {red: 1_234_567},
		loads: {'i-1': [3, 9000, 12_000]},
		placements: [{salt: 'm 2', parts: [['5c1e07a2', 800]], places: [['i-1', 120], ['172.20.0.2:8080', null]]}],
		weights: [{server: 'i-1', model: 'm', version: 2}],
		loading: [{server: 'i-1', time: 8000}],
		unreachable: ['i-2'],
		emptying: ['i-3'],
		deaths: [{
			fingerprint: 7, parts: [8, 4_000_000_000], server: 'i-2', incarnation: '1', failureDomain: 'a', age: 12,
		}],
		limits: [{
			id: 'i-4', incarnation: '1', requestsPerSecond: 2.1, age: 0,
		}, {
			id: 'i-5', incarnation: '2', age: 40,
		}],
		origins: [{service: 'models', version: 'v1.1', streams: [200_000_000_000_000]}],
		executed: [{part: 9, age: 120}],
		paces: [{server: 'i-1', mean: -0.25, count: 3}],
		quarantined: [{part: 8, age: 900, trialInterval: 30_000}],
		departed: ['edge-nbo-a-2'],
		updates: [{version: 9, change: {type: 'server-gone', revision: 119_999, id: 'i-9'}}],
	};
	assert.equal(decodeHostMessage(encodeHostMessage(full)), full);
	assert.equal(decodeHostMessage(encodeHostMessage(message)), message);
});

test('rejects bytes that are not a valid message', () => {
	assert.is(decodeHostMessage(Buffer.from('hello')), undefined);
	assert.is(decodeHostMessage(new Uint8Array([0xC1])), undefined);
	assert.is(decodeHostMessage(encodeHostMessage({...message, state: 7 as unknown as 'serving'})), undefined);
	assert.is(decodeHostMessage(encodeHostMessage({...message, state: 'dancing' as 'serving'}))?.state, 'starting');
});

// At the planned size a host may send 2 KB of control traffic a second; a heartbeat every 200 ms is its fixed part.
test('encodes a heartbeat without updates in at most 100 bytes', () => {
	assert.ok(encodeHostMessage(message).length <= 100, `${encodeHostMessage(message).length} bytes`);
});

test.run();
