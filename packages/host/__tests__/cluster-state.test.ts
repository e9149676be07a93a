import {silentLogger} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type StateChange, ClusterState} from '../src/index.js';

const test = suite('ClusterState');
const listener = {
	onServersChanged() {/* Not tested here. */}, onServerRemoved() {/* Not tested here. */}, onLeaseHolderRead() {/* Not tested here. */}, onStateChanged() {/* Not tested here. */},
};
const maxWeightsStaleness = 12_000;

function create() {
	const clock = {now: 1000};
	return {clock, clusterState: new ClusterState(silentLogger, () => clock.now, () => maxWeightsStaleness, listener)};
}

const weightsChange = (version: number, revision: number, age?: number, isAgeAssumed?: boolean): StateChange => ({
	type: 'weights', model: 'm', version, revision, age, isAgeAssumed,
});

test('assumes that target versions found at the start are old, because all hosts may have restarted long after they were published', () => {
	const {clock, clusterState} = create();
	clusterState.apply({changes: [weightsChange(2, 5)], revision: 9}, true, 'store');
	// The dispatcher stops 1.5 s before the limit, so outdated weights are out of use within 2 s of the first read; the process began up to 1 s earlier.
	assert.ok(clusterState.weightsTracker.outdatedTime('m', 1, clock.now + 2000) >= maxWeightsStaleness - 1500);
});

test('counts the age of a target version from its publication if the host was running then', () => {
	const {clock, clusterState} = create();
	clusterState.apply({changes: [], revision: 9}, true, 'store');
	clusterState.apply({changes: [weightsChange(2, 10)], revision: 10}, false, 'store', clock.now);
	assert.is(clusterState.weightsTracker.outdatedTime('m', 1, clock.now + 500), 500);
	assert.not.ok(clusterState.weightsTracker.hasAssumedAges);
});

test('does not take a target version for new when the store is read again', () => {
	const {clock, clusterState} = create();
	clusterState.apply({changes: [weightsChange(2, 5)], revision: 9}, true, 'store');
	const assumedAge = clusterState.weightsTracker.outdatedTime('m', 1, clock.now);
	clusterState.apply({changes: [weightsChange(2, 5)], revision: 9}, true, 'store', clock.now);
	assert.is(clusterState.weightsTracker.outdatedTime('m', 1, clock.now), assumedAge);
	assert.ok(clusterState.weightsTracker.hasAssumedAges);
});

test('adopts the age from a peer that has known the target version for longer', () => {
	const {clock, clusterState} = create();
	clusterState.apply({changes: [weightsChange(2, 5)], revision: 9}, true, 'store');
	clusterState.apply({changes: [weightsChange(2, 5, 11_000)], revision: 9}, true, 'peer');
	assert.is(clusterState.weightsTracker.outdatedTime('m', 1, clock.now), 11_000);
});

// Guards against incident inc-bad5 (Tana Ridge): a host that replaced another during a rollout assumed an age of 11.7 s for a
// target version that had been published 4 s before, and refused requests for three seconds.
test('prefers the measured age from a peer to the age assumed at the start', () => {
	const {clock, clusterState} = create();
	clusterState.apply({changes: [weightsChange(2, 5)], revision: 9}, true, 'store');
	clusterState.apply({changes: [weightsChange(2, 5, 4000)], revision: 9}, true, 'peer');
	assert.is(clusterState.weightsTracker.outdatedTime('m', 1, clock.now), 4000);
});

test('does not replace its own assumed age with one that a peer assumed', () => {
	const {clock, clusterState} = create();
	clusterState.apply({changes: [weightsChange(2, 5)], revision: 9}, true, 'store');
	const assumedAge = clusterState.weightsTracker.outdatedTime('m', 1, clock.now);
	clusterState.apply({changes: [weightsChange(2, 5, 4000, true)], revision: 9}, true, 'peer');
	assert.is(clusterState.weightsTracker.outdatedTime('m', 1, clock.now), assumedAge);
	assert.ok(clusterState.weightsTracker.hasAssumedAges);
});

// Guards against members of a relay that keep an assumed age, and refuse requests, after the relay has learned the measured one.
test('announces the measured age of each target version, also while those of others are assumed', () => {
	const announced: string[] = [];
	const clusterState = new ClusterState(silentLogger, () => 1000, () => maxWeightsStaleness, {
		...listener, onStateChanged(change) {
			if (change?.type === 'weights' && change.isAgeAssumed === false) {
				announced.push(`${change.version} ${change.age}`);
			}
		},
	});
	clusterState.apply({changes: [weightsChange(2, 5), weightsChange(3, 6)], revision: 9}, true, 'store');
	clusterState.apply({changes: [weightsChange(2, 5, 4000, false), weightsChange(3, 6, 2000, false)], revision: 9}, true, 'peer');
	assert.equal(announced, ['2 4000', '3 2000']);
});

test('never replaces a configuration by an older one', () => {
	const {clusterState} = create();
	const configuration = (version: number): StateChange => ({
		type: 'configuration', revision: version, configuration: {
			version, routes: [], services: [], limits: {
				headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1,
			},
		},
	});
	clusterState.apply({changes: [configuration(7)], revision: 7}, false, 'store');
	clusterState.apply({changes: [configuration(5)], revision: 8}, true, 'peer');
	assert.is(clusterState.configuration?.version, 7);
});

// Guards against seed 39 of the soak: a host that started late in a rollout knew only the weights in the servers' entries. It took all servers
// for outdated, sent them nothing, and so never learned of their new weights.
test('a host that starts learns the weights that its peers have observed at servers whose entries are old', () => {
	const entry = {
		id: 'i-1', incarnation: '1', sequence: 1, service: 'models', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, isDraining: false, weights: {m: 1},
	};
	const {clusterState: running} = create();
	running.apply({changes: [{type: 'server', revision: 5, entry}, weightsChange(4, 6, 12_000)], revision: 9}, true, 'store');
	running.recordObservedVersion('i-1', 'm', 4);
	for (const changes of [running.snapshot(), running.changesSince({configuration: 0, stateVersion: 0})]) {
		const {clusterState: started} = create();
		started.apply(changes, false, 'peer');
		assert.is(started.observedVersion(entry, 'm'), 4);
	}

	const {clusterState: other} = create();
	other.apply({changes: [{type: 'server', revision: 7, entry: {...entry, incarnation: '2'}}], revision: 9}, true, 'store');
	other.apply({changes: running.snapshot().changes.filter(({type}) => type === 'observed-weights'), revision: 9}, false, 'peer');
	assert.is(other.observedVersion(entry, 'm'), 1, 'the next process of the server may run other weights');
});

test.run();
