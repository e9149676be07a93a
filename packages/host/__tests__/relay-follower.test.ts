import type {HostDescription} from '@lacewingpoint/coordination';
import {silentLogger} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type HostMessage, type PeerClient, ClusterState, RelayFollower, decodeHostMessage, encodeHostMessage,
} from '../src/index.js';
import {noEvents} from '../src/members/gossip-events.js';

const test = suite('RelayFollower');
const listener = {
	onServersChanged() {/* Not tested here. */}, onServerRemoved() {/* Not tested here. */}, onLeaseHolderRead() {/* Not tested here. */}, onStateChanged() {/* Not tested here. */},
};
const relay: HostDescription = {
	name: 'relay', incarnation: '1', failureDomain: 'a', region: 'r', clientAddress: 'relay:1', peerAddress: 'relay:2', snapshotAddress: 'relay:3', capacity: 1,
};

function createMessage(stateVersion: number, updates: HostMessage['updates']): HostMessage {
	return decodeHostMessage(encodeHostMessage({
		...noEvents, name: 'relay', incarnation: '1', state: 'serving', role: 'relay', hostCount: 1, hasStoreContact: false, configuration: 0, revision: 9 + stateVersion, stateVersion, isWhole: false, charged: {}, loads: {}, quarantined: [], updates,
	}))!;
}

// Guards against issue 32's inc1 on hosts that do not read the store: the relay's datagram waited while the host was suspended.
test('counts the time that a datagram may have waited toward the age of weights', async () => {
	const clock = {now: 50_000, earliestArrival: 49_900};
	const clusterState = new ClusterState(silentLogger, () => clock.now, () => 15_000, listener);
	const follower = new RelayFollower({
		clusterState, log: silentLogger, now: () => clock.now, earliestArrival: () => clock.earliestArrival, peerClient: {
			fetchChanges: async () => Result.ok({
				changes: [], revision: 9, serverIds: [], stateVersion: 1,
			}),
		} as unknown as PeerClient,
	});
	follower.handleMessage(relay, createMessage(1, []));
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	const publish = (version: number) => {
		follower.handleMessage(relay, createMessage(version, [{
			version, change: {
				type: 'weights', revision: 9 + version, model: 'm', version, age: 10, isAgeAssumed: false,
			},
		}]));
	};

	publish(2);
	assert.is(clusterState.weightsTracker.outdatedTime('m', 1, clock.now), 110);
	assert.not.ok(clusterState.weightsTracker.hasAssumedAges);
	clock.now += 4000;
	publish(3);
	assert.is(clusterState.weightsTracker.outdatedTime('m', 2, clock.now), 4110);
	assert.ok(clusterState.weightsTracker.hasAssumedAges);
});

test('a message without unknown changes confirms the state at the time of its earliest arrival', async () => {
	const clock = {now: 50_000, earliestArrival: 49_900};
	const clusterState = new ClusterState(silentLogger, () => clock.now, () => 15_000, listener);
	const follower = new RelayFollower({
		clusterState, log: silentLogger, now: () => clock.now, earliestArrival: () => clock.earliestArrival, peerClient: {
			fetchChanges: async () => Result.ok({
				changes: [], revision: 9, serverIds: [], stateVersion: 1,
			}),
		} as unknown as PeerClient,
	});
	follower.handleMessage(relay, createMessage(1, []));
	assert.is(clusterState.confirmation.age(clock.now), Number.POSITIVE_INFINITY);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	clock.now = 50_500;
	assert.is(clusterState.confirmation.age(clock.now), 500);
	clock.earliestArrival = 50_400;
	follower.handleMessage(relay, createMessage(1, []));
	assert.is(clusterState.confirmation.age(clock.now), 100);
	clock.now = 53_000;
	clock.earliestArrival = 52_900;
	// A change has been missed.
	follower.handleMessage(relay, createMessage(3, []));
	assert.is(clusterState.confirmation.age(clock.now), 2600);
});

test.run();
