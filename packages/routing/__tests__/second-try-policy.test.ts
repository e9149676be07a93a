import {createSeededRandom} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {DecayingQuantiles, SecondTryPolicy, defaultSecondTryOptions} from '../src/index.js';

const test = suite('SecondTryPolicy');

const room = {
	route: 'r', loadShare: 0.3, hasQueue: false, isHostOverloaded: false, remainingTime: 2000,
};

type Load = {
	readonly requests: number;
	readonly maximumShare: number;
	readonly loadShare: number;
	/** @returns The time that a server takes for one request. */
	serviceTime(random: number, index: number): number;
};

/** Replays requests one after another, each with an independent second server, and counts what callers see. */
function replay({requests, maximumShare, serviceTime, loadShare}: Load) {
	const random = createSeededRandom(3);
	const policy = new SecondTryPolicy({...defaultSecondTryOptions, maximumShare}, 0);
	const times: number[] = [];
	let secondTries = 0;
	for (let index = 0; index < requests; index++) {
		const now = index * 10;
		policy.recordRequest();
		let time = serviceTime(random.next(), index);
		const slowAfter = policy.slowAfter({route: 'r', objective: 300, predicted: 0}, now);
		if (time > slowAfter && policy.claim({...room, loadShare}, 0, now) === 'send') {
			secondTries++;
			time = Math.min(time, slowAfter + serviceTime(random.next(), index));
		}

		policy.recordResponseTime('r', time, 0, now);
		times.push(time);
	}

	times.sort((left, right) => left - right);
	return {p50: times[Math.floor(requests * 0.5)]!, p99: times[Math.floor(requests * 0.99)]!, secondTries};
}

// Each server is slow for a moment now and then, independently of the others.
const noisyNeighbours = (random: number) => random < 0.04 ? 600 : 40 + (random * 40);

test('few slow servers: second tries cut the slowest answers within the limit', () => {
	const without = replay({
		requests: 4000, maximumShare: 0, serviceTime: noisyNeighbours, loadShare: 0.3,
	});
	const withTries = replay({
		requests: 4000, maximumShare: 0.05, serviceTime: noisyNeighbours, loadShare: 0.3,
	});
	assert.ok(withTries.p99 <= without.p99 * 0.4, `p99 ${withTries.p99} ms, ${without.p99} ms without`);
	assert.ok(withTries.secondTries <= (4000 * 0.05) + defaultSecondTryOptions.savedTries, `${withTries.secondTries} second tries`);
});

test('the limit of the operators holds when every answer is slow compared with before', () => {
	const {secondTries} = replay({
		requests: 4000, maximumShare: 0.01, serviceTime: (random, index) => index % 2 === 0 ? 40 : 400 + random, loadShare: 0.3,
	});
	assert.ok(secondTries <= (4000 * 0.01) + defaultSecondTryOptions.savedTries, `${secondTries} second tries`);
});

test('no second try when all servers have turned slow', () => {
	const policy = new SecondTryPolicy({...defaultSecondTryOptions, maximumShare: 0.5}, 0);
	for (let index = 0; index < 500; index++) {
		policy.recordRequest();
		policy.recordResponseTime('r', 50, 0, index * 10);
	}

	for (let index = 0; index < 100; index++) {
		policy.recordRequest();
		policy.recordResponseTime('r', 300, 0, 8000 + (index * 10));
	}

	assert.is(policy.claim(room, 0, 9000), 'generally-slow');
	// The servers are as fast as before again.
	for (let index = 0; index < 300; index++) {
		policy.recordResponseTime('r', 50, 0, 13_100 + index);
	}

	assert.is(policy.claim(room, 0, 13_500), 'send');
});

test('no second try without room, on an overloaded host, or too late', () => {
	const policy = new SecondTryPolicy({...defaultSecondTryOptions, maximumShare: 0.5}, 0);
	for (let index = 0; index < 200; index++) {
		policy.recordRequest();
		policy.recordResponseTime('r', 50, 0, index);
	}

	assert.is(policy.claim({...room, hasQueue: true}, 0, 200), 'no-room');
	assert.is(policy.claim({...room, loadShare: 0.8}, 0, 200), 'no-room');
	assert.is(policy.claim({...room, isHostOverloaded: true}, 0, 200), 'host-overloaded');
	assert.is(policy.claim({...room, remainingTime: 20}, 0, 200), 'too-late');
	assert.is(policy.claim(room, 0, 200), 'send');
});

test('a long prompt is not taken for a slow server', () => {
	const policy = new SecondTryPolicy({...defaultSecondTryOptions, maximumShare: 0.5}, 0);
	for (let index = 0; index < 200; index++) {
		const predicted = index % 4 === 0 ? 800 : 100;
		policy.recordResponseTime('r', predicted * 1.1, predicted, index * 10);
	}

	assert.ok(policy.slowAfter({route: 'r', objective: 600, predicted: 800}, 2000) > 800);
	assert.ok(policy.slowAfter({route: 'r', objective: 600, predicted: 100}, 2000) < 150);
});

test('while few responses of a route are known, one is slow by its objective and its prediction', () => {
	const policy = new SecondTryPolicy({...defaultSecondTryOptions, maximumShare: 0.5}, 0);
	assert.is(policy.slowAfter({route: 'r', objective: 300, predicted: 0}, 0), 150);
	assert.is(policy.slowAfter({route: 'r', objective: 300, predicted: 400}, 0), 800);
});

test('many hosts with few requests each keep the limit together', () => {
	const random = createSeededRandom(5);
	let secondTries = 0;
	for (let host = 0; host < 550; host++) {
		const policy = new SecondTryPolicy({...defaultSecondTryOptions, maximumShare: 0.05}, random.next());
		for (let request = 0; request < 8; request++) {
			policy.recordRequest();
			secondTries += policy.claim(room, 0, request) === 'send' ? 1 : 0;
		}
	}

	const share = secondTries / (550 * 8);
	assert.ok(share > 0.04 && share < 0.06, `${share} of the requests`);
});

test('quantiles are at most 15% above the exact ones and forget values after two periods', () => {
	const quantiles = new DecayingQuantiles(1000);
	for (let value = 1; value <= 100; value++) {
		quantiles.record(value, 0);
	}

	const median = quantiles.quantile(0.5, 0)!;
	assert.ok(median >= 50 && median <= 50 * 1.15, String(median));
	assert.is(quantiles.count(1500), 100);
	assert.is(quantiles.count(3000), 0);
});

test.run();
