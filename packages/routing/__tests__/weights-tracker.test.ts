import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {WeightsTracker} from '../src/index.js';

const test = suite('WeightsTracker');
const create = () => new WeightsTracker({retainedVersions: 16, rolloutDrainingExpiry: 500});
const targetVersion = (version: number, knownSince: number, isAssumed = false) => ({
	version, revision: version, knownSince, isAssumed,
});

test('a version is outdated since the publication of the next newer one, not of the newest', () => {
	const tracker = create();
	tracker.addTargetVersion('m', targetVersion(2, 1000));
	tracker.addTargetVersion('m', targetVersion(4, 9000));
	assert.is(tracker.outdatedTime('m', 1, 10_000), 9000);
	assert.is(tracker.outdatedTime('m', 2, 10_000), 1000);
	assert.is(tracker.outdatedTime('m', 4, 10_000), 0);
	assert.is(tracker.latestTarget('m')?.version, 4);
});

test('of two times for a version the earlier one counts', () => {
	const tracker = create();
	assert.is(tracker.addTargetVersion('m', targetVersion(2, 5000)), true);
	assert.is(tracker.addTargetVersion('m', targetVersion(2, 3000)), false);
	assert.is(tracker.addTargetVersion('m', targetVersion(2, 8000)), false);
	assert.is(tracker.outdatedTime('m', 1, 10_000), 7000);
});

test('an observed time takes precedence over an assumed one, in either order', () => {
	for (const versions of [[targetVersion(2, 1000, true), targetVersion(2, 5000)], [targetVersion(2, 5000), targetVersion(2, 1000, true)]]) {
		const tracker = create();
		for (const entry of versions) {
			tracker.addTargetVersion('m', entry);
		}

		assert.is(tracker.outdatedTime('m', 1, 10_000), 5000);
		assert.not.ok(tracker.hasAssumedAges);
	}

	const tracker = create();
	tracker.addTargetVersion('m', targetVersion(2, 1000, true));
	assert.ok(tracker.hasAssumedAges);
});

test('time that the monotonic clock did not count is added to all ages', () => {
	const tracker = create();
	tracker.addTargetVersion('m', targetVersion(2, 5000));
	tracker.addSuspendedTime(6000);
	assert.is(tracker.outdatedTime('m', 1, 10_000), 11_000);
});

test('loading ends when the server runs the version, when its end is recorded, or after its time', () => {
	const tracker = create();
	tracker.recordLoading('a', 8000, 0);
	tracker.recordLoading('a', 300, 0);
	assert.is(tracker.isLoading('a', 7999), true);
	assert.is(tracker.isLoading('a', 8000), false);
	tracker.recordObservedVersion('a', 'm', 2);
	assert.is(tracker.isLoading('a', 100), false);
	tracker.recordLoading('a', 8000, 0);
	tracker.recordLoading('a', 0, 0);
	assert.is(tracker.isLoading('a', 100), false);
});

test('everything known about a restarted server is discarded', () => {
	const tracker = create();
	tracker.recordObservedVersion('a', 'm', 3);
	tracker.recordRolloutDraining('a', 0);
	tracker.clearServer('a');
	assert.is(tracker.observedVersion('a', 'm'), 0);
	assert.is(tracker.isRolloutDraining('a', 100), false);
});

test('counts the age from the first newer version, also if an older one becomes known later', () => {
	const tracker = new WeightsTracker({retainedVersions: 16, rolloutDrainingExpiry: 500});
	tracker.addTargetVersion('m', targetVersion(3, 5000));
	tracker.addTargetVersion('m', targetVersion(2, 8000));
	assert.is(tracker.outdatedTime('m', 1, 9000), 4000);
});

test.run();
