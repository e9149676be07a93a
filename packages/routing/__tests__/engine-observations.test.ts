import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type EngineTiming, EngineObservations, EngineTimingEstimator, PrefillBacklogLimit,
} from '../src/index.js';

const test = suite('engine observations');
const seed = 4741;
const assumed: EngineTiming = {baseLatency: 35, prefillTimePerToken: 0.0125};
const timingOptions = {
	assumed, assumedWeight: 20, retention: 0.99, outlierFactor: 4,
};
const limitOptions = {
	lateShare: 0.97, reductionShare: 0.9, lowestStepShare: 0.8, growthPerSecond: 0.01, lowestLimit: 2048,
};

test('learns the speed of engines that prefill at a third of the assumed rate', () => {
	const estimator = new EngineTimingEstimator(timingOptions);
	for (let index = 0; index < 300; index++) {
		const tokens = (index * 7919) % 12_000;
		estimator.recordFirstToken(tokens, 60 + (tokens * 0.04));
	}

	assert.ok(Math.abs(estimator.timing.prefillTimePerToken - 0.04) < 0.004);
	assert.ok(Math.abs(estimator.timing.baseLatency - 60) < 20);
});

test('a response that was held up for seconds hardly changes the estimate', () => {
	const estimator = new EngineTimingEstimator(timingOptions);
	for (let index = 0; index < 100; index++) {
		estimator.recordFirstToken(index * 100, 35 + (index * 1.25));
	}

	estimator.recordFirstToken(9000, 30_000);
	assert.ok(estimator.timing.prefillTimePerToken < 0.0125 * 1.5);
});

test('whatever was measured, the estimate stays positive and within bounds of the assumption', () => {
	fc.assert(fc.property(fc.array(fc.record({tokens: fc.nat({max: 100_000}), time: fc.double({min: 0, max: 100_000, noNaN: true})}), {maxLength: 60}), samples => {
		const estimator = new EngineTimingEstimator(timingOptions);
		for (const {tokens, time} of samples) {
			estimator.recordFirstToken(tokens, time);
		}

		const {baseLatency, prefillTimePerToken} = estimator.timing;
		assert.ok(baseLatency >= 3.5 && baseLatency <= 700, String(baseLatency));
		assert.ok(prefillTimePerToken >= 0.001_25 && prefillTimePerToken <= 0.25, String(prefillTimePerToken));
	}), {seed});
});

test('the backlog has no limit until a pause is late, then it is below the backlog of that pause', () => {
	const limit = new PrefillBacklogLimit(limitOptions);
	limit.recordPause(200, 300, 30_000, 0);
	assert.is(limit.limit(0), Number.POSITIVE_INFINITY);
	limit.recordPause(306, 300, 12_000, 1000);
	assert.is(limit.limit(1000), 10_800);
});

test('one late pause at an unknown backlog lowers the limit only by a step, and the limit recovers', () => {
	const limit = new PrefillBacklogLimit(limitOptions);
	limit.recordPause(306, 300, 12_000, 0);
	limit.recordPause(306, 300, 500, 0);
	assert.is(limit.limit(0), 8640);
	assert.ok(limit.limit(30_000) > 8640 * 1.3);
	for (let index = 0; index < 50; index++) {
		limit.recordPause(306, 300, 500, 0);
	}

	assert.is(limit.limit(0), 2048);
});

test('the engines of one service do not affect the estimates of another', () => {
	const observations = new EngineObservations();
	observations.recordFirstToken('slow', 8000, 1000);
	observations.recordPause('slow', {pause: 400, objective: 300, backlog: 9000}, 0);
	assert.equal(observations.describeService('other', 0), {timing: assumed, prefillBacklogLimit: Number.POSITIVE_INFINITY});
	assert.ok(observations.describeService('slow', 0).timing.prefillTimePerToken > assumed.prefillTimePerToken);
});

test.run();
