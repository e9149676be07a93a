import {silentLogger} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type StateChange, ClusterState} from '../src/index.js';

const test = suite('Beliefs');
const listener = {onServersChanged() {/* Not of interest. */}, onServerRemoved() {/* Not of interest. */}, onLeaseHolderRead() {/* Not of interest. */}};
const weightsWithin = 12_000;

function create() {
	const clock = {now: 1000};
	return {clock, beliefs: new ClusterState(silentLogger, () => clock.now, () => weightsWithin, listener)};
}

const named = (version: number, revision: number, age?: number, isAgeAssumed?: boolean): StateChange => ({
	type: 'weights', model: 'm', version, revision, age, isAgeAssumed,
});

test('weights found at the start are taken to be old: all hosts may have restarted long after they were named', () => {
	const {clock, beliefs} = create();
	beliefs.apply({changes: [named(2, 5)], revision: 9}, true, 'store');
	// Out of use, with the dispatcher's 1.5 s, two seconds after the first reading: the process began up to a second earlier.
	assert.ok(beliefs.weightsTracker.outdatedTime('m', 1, clock.now + 2000) >= weightsWithin - 1500);
});

test('weights named while the host runs are known since then', () => {
	const {clock, beliefs} = create();
	beliefs.apply({changes: [], revision: 9}, true, 'store');
	beliefs.apply({changes: [named(2, 10)], revision: 10}, false, 'store');
	assert.is(beliefs.weightsTracker.outdatedTime('m', 1, clock.now + 500), 500);
});

test('a peer that has known them for longer is believed', () => {
	const {clock, beliefs} = create();
	beliefs.apply({changes: [named(2, 5)], revision: 9}, true, 'store');
	beliefs.apply({changes: [named(2, 5, 11_000)], revision: 9}, true, 'peer');
	assert.is(beliefs.weightsTracker.outdatedTime('m', 1, clock.now), 11_000);
});

// A host that replaces another one in a roll-out took weights named 4 s ago for 11.7 s old and refused for three seconds
// (incident inc-bad5 of Tana Ridge).
test('a peer that saw them being named is believed against the guess of a start', () => {
	const {clock, beliefs} = create();
	beliefs.apply({changes: [named(2, 5)], revision: 9}, true, 'store');
	beliefs.apply({changes: [named(2, 5, 4000)], revision: 9}, true, 'peer');
	assert.is(beliefs.weightsTracker.outdatedTime('m', 1, clock.now), 4000);
});

test('the guess of a peer is no better than the host\'s own', () => {
	const {clock, beliefs} = create();
	beliefs.apply({changes: [named(2, 5)], revision: 9}, true, 'store');
	const own = beliefs.weightsTracker.outdatedTime('m', 1, clock.now);
	beliefs.apply({changes: [named(2, 5, 4000, true)], revision: 9}, true, 'peer');
	assert.is(beliefs.weightsTracker.outdatedTime('m', 1, clock.now), own);
	assert.ok(beliefs.weightsTracker.hasAssumedAges);
});

test('a configuration never gives way to an older one', () => {
	const {beliefs} = create();
	const configuration = (version: number): StateChange => ({
		type: 'configuration', revision: version, configuration: {
			version, routes: [], services: [], limits: {
				headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1,
			},
		},
	});
	beliefs.apply({changes: [configuration(7)], revision: 7}, false, 'store');
	beliefs.apply({changes: [configuration(5)], revision: 8}, true, 'peer');
	assert.is(beliefs.configuration?.version, 7);
});

test.run();
