import {setImmediate as turn} from 'node:timers/promises';
import {createSeededRandom, silentLogger} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type ChangeBatch, type ControlStore, ClockMonitor, ClusterState, StoreWatch,
} from '../src/index.js';

const test = suite('StoreWatch');
const listener = {
	onServersChanged() {/* Not tested here. */}, onServerRemoved() {/* Not tested here. */}, onLeaseHolderRead() {/* Not tested here. */}, onStateChanged() {/* Not tested here. */},
};
const maxWeightsStaleness = 15_000;
const checkInterval = 100;

type WatchResult = Awaited<ReturnType<ControlStore['watch']>>;

// A store whose responses the test gives, and a host that checks its clocks periodically while it runs.
function create() {
	const clock = {now: 50_000, wall: 1_700_000_000_000};
	let stored: ChangeBatch = {changes: [], revision: 9};
	let respond: ((result: WatchResult) => void) | undefined;
	let fullReadHeld: Promise<void> | undefined;
	const controlStore = {
		async readAll() {
			await fullReadHeld;
			return Result.ok(stored);
		},
		async watch() {
			return new Promise<WatchResult>(resolve => {
				respond = resolve;
			});
		},
	} as unknown as ControlStore;
	const now = () => clock.now;
	const clusterState = new ClusterState(silentLogger, now, () => maxWeightsStaleness, listener);
	const clockMonitor = new ClockMonitor({
		log: silentLogger, now, wallClock: () => clock.wall, onClockJump(uncountedTime) {
			clusterState.weightsTracker.addSuspendedTime(uncountedTime);
			watch.requestFullRead();
		},
	});
	const watch = new StoreWatch({
		store: controlStore, clusterState, log: silentLogger, random: createSeededRandom(1), now, earliestArrival: () => clockMonitor.earliestArrival(),
	});
	const advance = (time: number) => {
		clock.now += time;
		clock.wall += time;
	};

	return {
		clock, clockMonitor, clusterState, watch, advance,
		holdFullReads() {
			let complete!: () => void;
			fullReadHeld = new Promise<void>(resolve => {
				complete = resolve;
			});
			return complete;
		},
		store(batch: ChangeBatch) {
			stored = batch;
		},
		async run(time: number) {
			for (let elapsed = 0; elapsed < time; elapsed += checkInterval) {
				advance(checkInterval);
				clockMonitor.check();
				await turn();
			}
		},
		async respond(result: WatchResult) {
			respond!(result);
			await turn();
		},
	};
}

const newWeights: ChangeBatch = {
	changes: [{
		type: 'weights', model: 'm', version: 3, revision: 10,
	}], revision: 10,
};

// Guards against issue 32's inc1: after a suspension, a host read from its connection that weights had been published, took them for new,
// and used the replaced ones for as long as it had been suspended beyond the limit.
for (const order of ['before', 'after'] as const) {
	test(`counts the age of weights from the beginning of a suspension if the change is read ${order} the clocks are checked`, async () => {
		const {clock, clockMonitor, clusterState, watch, store, advance, run, respond} = create();
		watch.start();
		await run(1000);
		const suspendedAt = clock.now;
		advance(4000);
		store(newWeights);
		if (order === 'after') {
			clockMonitor.check();
		}

		await respond(Result.ok(newWeights));
		await run(1000);
		const age = clusterState.weightsTracker.outdatedTime('m', 2, clock.now);
		assert.ok(age >= clock.now - suspendedAt, `age ${age} ms, ${clock.now - suspendedAt} ms after the suspension began`);
		watch.dispose();
	});
}

test('counts the age of weights from the last response of the store if they are found after an interruption', async () => {
	const {clock, clusterState, watch, store, run, respond} = create();
	watch.start();
	await run(1000);
	const lastResponseAt = clock.now;
	await respond(Result.ok({changes: [], revision: 9}));
	await run(3000);
	store(newWeights);
	await respond(Result.err({layer: 'platform', code: 'unknown', message: 'timed out'}));
	await run(1000);
	const age = clusterState.weightsTracker.outdatedTime('m', 2, clock.now);
	assert.ok(age >= clock.now - lastResponseAt, `age ${age} ms, ${clock.now - lastResponseAt} ms after the last response`);
	watch.dispose();
});

// The pages of a full read are not one snapshot: what changes after its page was read is reported by the watch that follows.
test('counts the age of weights from the beginning of the full read during which they may have been published', async () => {
	const {clock, clusterState, watch, store, run, respond, holdFullReads} = create();
	const completeFullRead = holdFullReads();
	watch.start();
	await run(2000);
	completeFullRead();
	await run(100);
	store(newWeights);
	await respond(Result.ok(newWeights));
	const age = clusterState.weightsTracker.outdatedTime('m', 2, clock.now);
	assert.ok(age >= 2100, `age ${age} ms, 2100 ms after the full read began`);
	assert.ok(clusterState.weightsTracker.hasAssumedAges);
	watch.dispose();
});

test('takes weights for new if the watch of a running host reports them', async () => {
	const {clock, clusterState, watch, run, respond} = create();
	watch.start();
	await run(3000);
	await respond(Result.ok(newWeights));
	assert.ok(clusterState.weightsTracker.outdatedTime('m', 2, clock.now) <= 2 * checkInterval);
	assert.not.ok(clusterState.weightsTracker.hasAssumedAges);
	watch.dispose();
});

test.run();
