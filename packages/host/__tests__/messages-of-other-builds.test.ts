import {decode, encode} from '@msgpack/msgpack';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type HostMessage, decodeHostMessage, encodeHostMessage} from '../src/index.js';
import {noEvents} from '../src/members/gossip-events.js';

const test = suite('messages between hosts of several builds');

const description = {
	name: 'b', incarnation: '1', failureDomain: 'd', region: 'r', clientAddress: 'b:1', peerAddress: 'b:2', snapshotAddress: 'b:3', capacity: 1, protocol: 1, capabilities: ['forwarding'],
};

const message: HostMessage = {
	...noEvents, name: 'a', incarnation: '1', state: 'detached', role: 'relay', hostCount: 1, hasStoreContact: false, configuration: 3, revision: 4, isWhole: true, charged: {}, loads: {}, quarantined: [],
	hosts: [{description, state: 'detached', role: 'member'}],
};

// A build that does not know the state took the whole message for unreadable, and the host for dead.
test('a host without links to servers states a state that earlier builds know', () => {
	const sent = decode(encodeHostMessage(message)) as {readonly state: string; readonly hosts: ReadonlyArray<{readonly state: string}>};
	assert.is(sent.state, 'starting');
	assert.is(sent.hosts[0]!.state, 'starting');
	const received = decodeHostMessage(encodeHostMessage(message));
	assert.is(received?.state, 'detached');
	assert.equal(received?.hosts, message.hosts);
});

test('a message with states, roles and fields of a later build is readable', () => {
	const sent = decode(encodeHostMessage(message)) as Record<string, unknown>;
	const received = decodeHostMessage(encode({
		...sent, state: 'hibernating', role: 'archive', forecast: [1], isDetached: false,
	}));
	assert.is(received?.state, 'starting');
	assert.is(received?.role, 'relay');
	assert.is(received?.configuration, 3);
});

test('the description of a build that announces nothing has no capabilities', () => {
	const sent = decode(encodeHostMessage(message)) as Record<string, unknown>;
	const {protocol, capabilities, ...earlier} = description;
	const received = decodeHostMessage(encode({...sent, host: earlier}));
	assert.is(received?.host?.capabilities, undefined);
	assert.equal(decodeHostMessage(encode({...sent, host: description}))?.host?.capabilities, capabilities);
	assert.is(protocol, 1);
});

test.run();
