import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type HostDescription, type HostReport, HostDirectory} from '../src/index.js';

const test = suite('HostDirectory');

function describeHost(name: string, incarnation = 'one'): HostDescription {
	return {
		name, incarnation, failureDomain: 'a', region: 'r', clientAddress: `${name}:1`, peerAddress: `${name}:2`, snapshotAddress: `${name}:3`, capacity: 1,
	};
}

const create = () => new HostDirectory({heartbeatTimeout: 750, reportTimeout: 3000, removalDelay: 60_000});
const relay = (name: string, state: HostReport['state'] = 'serving', incarnation = 'one'): HostReport => ({description: describeHost(name, incarnation), state, role: 'relay'});
const names = (hosts: readonly HostDescription[]) => hosts.map(host => host.name).toSorted();

test('only serving hosts with a recent heartbeat are offered to clients', () => {
	const directory = create();
	directory.addListed(describeHost('listed'));
	directory.recordHeartbeat(relay('serving', 'serving'), 1000);
	directory.recordHeartbeat(relay('stopping', 'stopping'), 1000);
	directory.recordHeartbeat(relay('starting', 'starting'), 1000);
	assert.equal(names(directory.listServing(1500)), ['serving']);
	assert.equal(names(directory.listServing(1800)), []);
	assert.equal(directory.listUnresponsive(1800).toSorted(), ['serving', 'starting', 'stopping']);
});

test('a host that the store no longer lists stays a peer while it sends heartbeats', () => {
	const directory = create();
	directory.addListed(describeHost('one'));
	directory.recordHeartbeat(relay('one', 'serving'), 1000);
	directory.markUnlisted('one');
	assert.equal(names(directory.listRelays(30_000)), ['one']);
	assert.equal(names(directory.listRelays(62_000)), []);
});

test('a heartbeat is reported for a new, restarted or returning host, not for a known one', () => {
	const directory = create();
	assert.is(directory.recordHeartbeat(relay('one', 'serving'), 1000), true);
	assert.is(directory.recordHeartbeat(relay('one', 'serving'), 1200), false);
	assert.is(directory.recordHeartbeat(relay('one', 'serving', 'two'), 1300), true);
	assert.is(directory.recordHeartbeat(relay('one', 'serving', 'two'), 9000), true);
});

test('the rate limit use of unresponsive hosts counts, that of stopped hosts does not', () => {
	const directory = create();
	directory.recordHeartbeat(relay('silent', 'serving'), 1000);
	directory.recordHeartbeat(relay('left', 'stopping'), 1000);
	assert.equal(names(directory.listRelays(1200)), ['left', 'silent']);
	assert.equal(names(directory.listRelays(5000)), ['silent']);
});

test('a host that a peer reports is alive while the peer sends heartbeats, and for a time after its last one', () => {
	const directory = create();
	directory.recordHeartbeat(relay('reporter'), 1000);
	directory.recordReport({description: describeHost('reported'), state: 'serving', role: 'member'}, 'reporter', 1000);
	directory.recordHeartbeat(relay('reporter'), 20_000);
	assert.equal(names(directory.listServing(20_000)), ['reported', 'reporter']);
	assert.equal(names(directory.listServing(22_900)), ['reported']);
	assert.equal(names(directory.listServing(23_100)), []);
});

test('a host that moves from one relay to another stays alive, in whichever order the two relays report it', () => {
	const directory = create();
	const moving: HostReport = {description: describeHost('moving'), state: 'serving', role: 'member'};
	directory.recordHeartbeat(relay('old'), 1000);
	directory.recordHeartbeat(relay('new'), 1000);
	directory.recordReport(moving, 'old', 1000);
	directory.recordReport(moving, 'new', 1000);
	// A list that the old relay sent before it noticed.
	directory.recordReport(moving, 'old', 1000);
	directory.recordDeparture('moving', 'old');
	assert.equal(names(directory.listServing(1000)), ['moving', 'new', 'old']);
	directory.recordDeparture('moving', 'new');
	assert.equal(names(directory.listServing(1000)), ['new', 'old']);
});

test('the reports of a relay end with its incarnation', () => {
	const directory = create();
	directory.recordHeartbeat(relay('reporter'), 1000);
	directory.recordReport({description: describeHost('reported'), state: 'serving', role: 'member'}, 'reporter', 1000);
	directory.recordHeartbeat(relay('reporter', 'serving', 'two'), 1100);
	assert.equal(names(directory.listServing(1100)), ['reporter']);
});

test.run();
