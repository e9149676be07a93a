import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {WeightsTracker} from '../src/index.js';

const test = suite('WeightsTable');
const create = () => new WeightsTracker({retainedVersions: 16, rolloutDrainingExpiry: 500});
const named = (version: number, knownSince: number, isAssumed = false) => ({
	version, revision: version, knownSince, isAssumed,
});

test('a version is out of date from the naming of the next newer one, not of the newest', () => {
	const table = create();
	table.addTargetVersion('m', named(2, 1000));
	table.addTargetVersion('m', named(4, 9000));
	assert.is(table.outdatedTime('m', 1, 10_000), 9000);
	assert.is(table.outdatedTime('m', 2, 10_000), 1000);
	assert.is(table.outdatedTime('m', 4, 10_000), 0);
	assert.is(table.latestTarget('m')?.version, 4);
});

test('told twice, the earlier moment stands', () => {
	const table = create();
	assert.is(table.addTargetVersion('m', named(2, 5000)), true);
	assert.is(table.addTargetVersion('m', named(2, 3000)), false);
	assert.is(table.addTargetVersion('m', named(2, 8000)), false);
	assert.is(table.outdatedTime('m', 1, 10_000), 7000);
});

test('a moment that somebody saw goes before a guess, whichever was told first', () => {
	for (const told of [[named(2, 1000, true), named(2, 5000)], [named(2, 5000), named(2, 1000, true)]]) {
		const table = create();
		for (const entry of told) {
			table.addTargetVersion('m', entry);
		}

		assert.is(table.outdatedTime('m', 1, 10_000), 5000);
		assert.not.ok(table.hasAssumedAges);
	}

	const table = create();
	table.addTargetVersion('m', named(2, 1000, true));
	assert.ok(table.hasAssumedAges);
});

test('time that the steady clock did not count makes all ages longer', () => {
	const table = create();
	table.addTargetVersion('m', named(2, 5000));
	table.addSuspendedTime(6000);
	assert.is(table.outdatedTime('m', 1, 10_000), 11_000);
});

test('a load is over when the server runs the version, when it is said to be, or after its time', () => {
	const table = create();
	table.recordLoading('a', 8000, 0);
	table.recordLoading('a', 300, 0);
	assert.is(table.isLoading('a', 7999), true);
	assert.is(table.isLoading('a', 8000), false);
	table.recordObservedVersion('a', 'm', 2);
	assert.is(table.isLoading('a', 100), false);
	table.recordLoading('a', 8000, 0);
	table.recordLoading('a', 0, 0);
	assert.is(table.isLoading('a', 100), false);
});

test('a server that has started anew is known for nothing', () => {
	const table = create();
	table.recordObservedVersion('a', 'm', 3);
	table.recordRolloutDraining('a', 0);
	table.clearServer('a');
	assert.is(table.observedVersion('a', 'm'), 0);
	assert.is(table.isRolloutDraining('a', 100), false);
});

test.run();
