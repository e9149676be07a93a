import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type HostDescription, HostDirectory} from '../src/index.js';

const test = suite('HostDirectory');

function describeHost(name: string, incarnation = 'one'): HostDescription {
	return {
		name, incarnation, failureDomain: 'a', region: 'r', clientAddress: `${name}:1`, peerAddress: `${name}:2`, snapshotAddress: `${name}:3`,
	};
}

const create = () => new HostDirectory({heartbeatTimeout: 750, removalDelay: 60_000});
const names = (hosts: readonly HostDescription[]) => hosts.map(host => host.name).toSorted();

test('only serving hosts with a recent heartbeat are offered to clients', () => {
	const directory = create();
	directory.addListed(describeHost('listed'));
	directory.recordHeartbeat(describeHost('serving'), 'serving', 1000);
	directory.recordHeartbeat(describeHost('stopping'), 'stopping', 1000);
	directory.recordHeartbeat(describeHost('starting'), 'starting', 1000);
	assert.equal(names(directory.listServing(1500)), ['serving']);
	assert.equal(names(directory.listServing(1800)), []);
	assert.equal(directory.listUnresponsive(1800).toSorted(), ['serving', 'starting', 'stopping']);
});

test('a host that the store no longer lists stays a peer while it sends heartbeats', () => {
	const directory = create();
	directory.addListed(describeHost('one'));
	directory.recordHeartbeat(describeHost('one'), 'serving', 1000);
	directory.markUnlisted('one');
	assert.equal(names(directory.listPeers(30_000)), ['one']);
	assert.equal(names(directory.listPeers(62_000)), []);
});

test('a heartbeat is reported for a new, restarted or returning host, not for a known one', () => {
	const directory = create();
	assert.is(directory.recordHeartbeat(describeHost('one'), 'serving', 1000), true);
	assert.is(directory.recordHeartbeat(describeHost('one'), 'serving', 1200), false);
	assert.is(directory.recordHeartbeat(describeHost('one', 'two'), 'serving', 1300), true);
	assert.is(directory.recordHeartbeat(describeHost('one', 'two'), 'serving', 9000), true);
});

test('the rate limit use of unresponsive hosts counts, that of stopped hosts does not', () => {
	const directory = create();
	directory.recordHeartbeat(describeHost('silent'), 'serving', 1000);
	directory.recordHeartbeat(describeHost('left'), 'stopping', 1000);
	assert.equal(directory.listRateLimitPeers(1200).toSorted(), ['left', 'silent']);
	assert.equal(directory.listRateLimitPeers(5000), ['silent']);
});

test.run();
