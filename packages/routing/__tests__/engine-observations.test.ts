import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EngineObservations, PrefillBacklogLimit} from '../src/index.js';

const test = suite('engine observations');
const seed = 4741;
const limitOptions = {
	lateShare: 0.97, reductionShare: 0.9, lowestStepShare: 0.8, growthPerSecond: 0.01, lowestLimit: 2048,
};

test('the backlog has no limit until a pause is late, then it is below the backlog of that pause', () => {
	const limit = new PrefillBacklogLimit(limitOptions);
	limit.recordPause({pause: 200, objective: 300, backlog: 30_000}, 0);
	assert.is(limit.limit(0), Number.POSITIVE_INFINITY);
	limit.recordPause({pause: 306, objective: 300, backlog: 12_000}, 1000);
	assert.is(limit.limit(1000), 10_800);
});

test('one late pause at an unknown backlog lowers the limit only by a step, and the limit recovers', () => {
	const limit = new PrefillBacklogLimit(limitOptions);
	limit.recordPause({pause: 306, objective: 300, backlog: 12_000}, 0);
	limit.recordPause({pause: 306, objective: 300, backlog: 500}, 0);
	assert.is(limit.limit(0), 8640);
	assert.ok(limit.limit(30_000) > 8640 * 1.3);
	for (let index = 0; index < 50; index++) {
		limit.recordPause({pause: 306, objective: 300, backlog: 500}, 0);
	}

	assert.is(limit.limit(0), 2048);
});

test('the engines of one service do not affect the limit of another', () => {
	const observations = new EngineObservations();
	observations.recordPause('slow', {pause: 400, objective: 300, backlog: 9000}, 0);
	assert.is(observations.prefillBacklogLimit('other', 0), Number.POSITIVE_INFINITY);
	assert.is(observations.prefillBacklogLimit('slow', 0), 8100);
});

test('whatever pauses are observed, the limit stays above its lowest value', () => {
	const pauses = fc.array(fc.record({pause: fc.nat({max: 1000}), backlog: fc.nat({max: 100_000}), elapsed: fc.nat({max: 2000})}));
	fc.assert(fc.property(pauses, observed => {
		const limit = new PrefillBacklogLimit(limitOptions);
		let now = 0;
		for (const {pause, backlog, elapsed} of observed) {
			now += elapsed;
			limit.recordPause({pause, objective: 300, backlog}, now);
			assert.ok(limit.limit(now) >= 2048);
		}
	}), {seed});
});

test.run();
