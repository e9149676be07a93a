import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type HostDescription, type HostReport, type HostRole, FleetTopology, HostDirectory, HostReports, StoreReaderElection,
} from '../src/index.js';

const test = suite('FleetTopology');

const options = {
	relaysPerDomain: 2, joinTime: 600, relayTimeout: 750, failedRelayBackoff: 2000, roleReviewInterval: 500, roleChangeDelay: 2500,
};

function describeHost(name: string, capacity = 1, failureDomain = 'a'): HostDescription {
	return {
		name, incarnation: 'one', failureDomain, region: 'r', clientAddress: `${name}:1`, peerAddress: `${name}:2`, snapshotAddress: `${name}:3`, capacity,
	};
}

const report = (name: string, role: HostRole, capacity = 1, state: HostReport['state'] = 'serving'): HostReport => ({description: describeHost(name, capacity), state, role});

function create(name: string, capacity = 1) {
	const directory = new HostDirectory({heartbeatTimeout: 750, reportTimeout: 3000, removalDelay: 60_000});
	return {directory, topology: new FleetTopology(describeHost(name, capacity), directory, options, 0)};
}

test('a host waits for others before it decides, unless one with a role has responded', () => {
	const {topology} = create('self');
	topology.review(500, false);
	assert.is(topology.role, 'joining');
	topology.review(600, false);
	assert.is(topology.role, 'relay');
	const other = create('self');
	other.directory.recordReport(report('relay', 'relay'), 'seed', 100);
	other.topology.recordSettledPeer();
	other.topology.review(100, false);
	assert.is(other.topology.role, 'member');
	assert.is(other.topology.relay?.name, 'relay');
});

test('hosts with more capacity become the relays of a domain', () => {
	const large = create('z-large', 2);
	const small = create('a-small', 1);
	for (const {directory} of [large, small]) {
		directory.recordReport(report('other-1', 'joining', 1.5), 'seed', 500);
		directory.recordReport(report('other-2', 'joining', 1.2), 'seed', 500);
	}

	large.topology.review(600, false);
	small.topology.review(600, false);
	assert.is(large.topology.role, 'relay');
	assert.is(small.topology.role, 'member');
});

test('a member leaves its relay when that is silent or stops, and does not return to it at once', () => {
	const {directory, topology} = create('self');
	directory.recordHeartbeat(report('one', 'relay'), 0);
	directory.recordHeartbeat(report('two', 'relay'), 0);
	topology.recordSettledPeer();
	topology.review(0, false);
	const first = topology.relay!.name;
	const second = first === 'one' ? 'two' : 'one';
	directory.recordHeartbeat(report(second, 'relay'), 900);
	topology.review(900, false);
	assert.is(topology.relay?.name, second);
	directory.recordHeartbeat(report(first, 'relay'), 1000);
	directory.recordHeartbeat(report(second, 'relay', 1, 'stopping'), 1000);
	topology.review(1000, false);
	assert.is(topology.role, 'relay', 'no other relay is left');
});

test('a host that another one has chosen as its relay is a relay', () => {
	const {directory, topology} = create('self');
	directory.recordHeartbeat(report('relay', 'relay', 2), 0);
	topology.recordSettledPeer();
	topology.review(0, false);
	assert.is(topology.role, 'member');
	topology.recordAttachment();
	assert.is(topology.role, 'relay');
});

test('a relay too many steps down after a while, unless it has a task that needs one', () => {
	const {directory, topology} = create('self');
	topology.review(600, false);
	const review = (from: number, to: number, mustBeRelay: boolean) => {
		for (let now = from; now <= to; now += 100) {
			directory.recordHeartbeat(report('one', 'relay', 2), now);
			directory.recordHeartbeat(report('two', 'relay', 2), now);
			topology.review(now, mustBeRelay);
		}
	};

	review(700, 9000, true);
	assert.is(topology.role, 'relay');
	review(9100, 10_000, false);
	assert.is(topology.role, 'relay');
	review(10_100, 13_000, false);
	assert.is(topology.role, 'member');
});

test('the relay that is ranked first reads the store, and the next one takes over when it loses contact', () => {
	const election = new StoreReaderElection('second', {contactTimeout: 650, takeoverDelay: 300, releaseDelay: 2500});
	const relays = ['first', 'second'];
	election.recordContact('first', true, 0);
	assert.is(election.review(relays, 100), false);
	assert.is(election.review(relays, 700), false);
	assert.is(election.review(relays, 1000), true);
	for (let now = 1100; now < 3500; now += 200) {
		election.recordContact('first', true, now);
		assert.is(election.review(relays, now), true, 'it keeps reading for a while');
	}

	election.recordContact('first', true, 3700);
	assert.is(election.review(relays, 3700), false);
	election.recordContact('first', false, 3800);
	election.review(relays, 3800);
	assert.is(election.review(relays, 4100), true);
	assert.is(election.review([], 4200), false, 'only relays read');
});

test('sender and receiver of host reports have the same digest until a message is lost', () => {
	const [sender, receiver] = [new HostReports(), new HostReports()];
	receiver.apply(sender.replace([report('one', 'member'), report('two', 'member')]));
	assert.is(receiver.digest, sender.digest);
	receiver.apply(sender.replace([report('two', 'relay'), report('three', 'member')]));
	assert.is(receiver.digest, sender.digest);
	sender.replace([report('two', 'relay')]);
	assert.is.not(receiver.digest, sender.digest);
	receiver.replace([report('two', 'relay')]);
	assert.is(receiver.digest, sender.digest);
});

test.run();
