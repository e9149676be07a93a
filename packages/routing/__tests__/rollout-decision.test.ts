import {type RandomSource, createSeededRandom} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type AnswerCount, type RolloutState, RolloutDecision, encodeOutcome,
} from '../src/index.js';

const test = suite('RolloutDecision');

const options = {exposureShare: 0.1, exposureSlack: 50, grantLifetime: 1500};

const tickTime = 100;

/** How the servers of a version answer: the chance that an answer fails or is slow. */
type Behaviour = (context: {readonly elapsed: number; readonly route: string; readonly share: number}) => {readonly failing?: number; readonly slow?: number};

type Day = {
	readonly seed: number;
	readonly requestsPerSecond: number;
	readonly target: Behaviour;
	readonly baseline?: Behaviour;
	readonly timeBudget?: number;
	/** When the decider is replaced by another one. */
	readonly handover?: number;
};

type Course = {readonly state: RolloutState; readonly elapsed: number; readonly requests: number; readonly targetRequests: number; readonly badAnswers: number; readonly shares: readonly number[]};

function drawOutcome({failing = 0.002, slow = 0.01}: ReturnType<Behaviour>, route: string, random: RandomSource) {
	const normal = (route === 'chat' ? 80 : 50) * Math.exp(0.8 * (random.next() - 0.5));
	const isSlow = random.next() < slow;
	const hasFailed = random.next() < failing;
	return {took: normal * (isSlow ? 5 : 1), hasFailed, isBad: isSlow || hasFailed};
}

/** Replays the answers of two versions on two routes until the decision is final or three times the time is over. */
function replay({seed, requestsPerSecond, target, baseline = () => ({}), timeBudget = 12_000, handover}: Day): Course {
	const random = createSeededRandom(seed);
	let decision = new RolloutDecision(options);
	let pending: Array<{readonly endsAt: number; readonly answer: AnswerCount}> = [];
	let share = 0;
	let requests = 0;
	let targetRequests = 0;
	let badAnswers = 0;
	const shares: number[] = [];
	for (let elapsed = 0; elapsed < 3 * timeBudget; elapsed += tickTime) {
		const answers: AnswerCount[] = [];
		const arrivals = Math.round((requestsPerSecond * tickTime / 1000) + random.next() - 0.5);
		for (let index = 0; index < arrivals; index++) {
			const route = random.next() < 0.8 ? 'chat' : 'look-up';
			const side = random.next() < share ? 'target' : 'baseline';
			const {took, hasFailed, isBad} = drawOutcome((side === 'target' ? target : baseline)({elapsed, route, share}), route, random);
			answers.push({
				route, side, outcome: encodeOutcome({type: 'sent'}), count: 1,
			});
			pending.push({
				endsAt: elapsed + took, answer: {
					route, side, outcome: encodeOutcome(hasFailed ? {type: 'failed'} : {type: 'answered', took, isCutShort: false}), count: 1,
				},
			});
			// The exposure limit holds until the end of the time budget.
			if (elapsed < timeBudget) {
				requests++;
				targetRequests += side === 'target' ? 1 : 0;
			}

			badAnswers += side === 'target' && isBad ? 1 : 0;
		}

		answers.push(...pending.filter(({endsAt}) => endsAt <= elapsed).map(({answer}) => answer));
		pending = pending.filter(({endsAt}) => endsAt > elapsed);
		const verdict = decision.decide({
			now: 1_000_000 + elapsed, elapsed, timeBudget, targetSlots: 100, baselineSlots: 100, baselineRequests: pending.filter(({answer}) => answer.side === 'baseline').length, answers,
		});
		share = verdict.share;
		shares.push(share);
		if (verdict.state !== 'running') {
			const rest = Math.max(Math.round((timeBudget - elapsed) / 1000 * requestsPerSecond), 0);
			return {
				state: verdict.state, elapsed, requests: requests + rest, targetRequests, badAnswers, shares,
			};
		}

		if (handover !== undefined && elapsed === handover) {
			decision = new RolloutDecision(options, decision.reached);
		}
	}

	return {
		state: 'running', elapsed: 3 * timeBudget, requests, targetRequests, badAnswers, shares,
	};
}

const seeds = Array.from({length: 40}, (_, index) => index + 1);

/** Plays a day for every seed. */
const replayAll = (day: Omit<Day, 'seed'>) => seeds.map(seed => replay({...day, seed}));
const shareOf = (courses: readonly Course[], condition: (course: Course) => boolean) => courses.filter(course => condition(course)).length / courses.length;
const isReverted = ({state}: Course) => state === 'reverted';
const isWithinExposure = ({requests, targetRequests}: Course) => targetRequests <= (options.exposureShare * requests) + options.exposureSlack;

const faults: Readonly<Record<string, Behaviour>> = {
	'fails some requests': () => ({failing: 0.15}),
	'answers some requests slowly': () => ({slow: 0.3}),
	'fails most requests': () => ({failing: 0.8}),
	'fails after a while': ({elapsed}) => elapsed > 5000 ? {failing: 0.3} : {},
	'fails under load': ({share}) => share >= 0.2 ? {failing: 0.3} : {},
	'is slow under load': ({share}) => share >= 0.4 ? {slow: 0.5} : {},
	'fails on the smaller route': ({route}) => route === 'look-up' ? {failing: 0.4} : {},
	'is slow on the larger route': ({route}) => route === 'chat' ? {slow: 0.4} : {},
};

for (const [name, target] of Object.entries(faults)) {
	test(`a version that ${name} is reverted within the exposure limit`, () => {
		for (const requestsPerSecond of [300, 1500]) {
			const courses = replayAll({requestsPerSecond, target});
			assert.is(shareOf(courses, isReverted), 1);
			assert.is(shareOf(courses, isWithinExposure), 1);
			assert.ok(courses.every(({elapsed}) => elapsed <= 12_000));
		}
	});

	test(`with little traffic, a version that ${name} is reverted within the exposure limit`, () => {
		const courses = replayAll({requestsPerSecond: 60, target});
		assert.is(shareOf(courses, isReverted), 1);
		assert.is(shareOf(courses, isWithinExposure), 1);
	});
}

test('a version that is as good is completed within its time', () => {
	for (const requestsPerSecond of [2, 10, 60, 300, 1500]) {
		const courses = replayAll({requestsPerSecond, target: () => ({})});
		assert.is(shareOf(courses, ({state}) => state === 'completed'), 1);
		assert.ok(courses.every(({elapsed}) => elapsed <= 12_000));
	}
});

test('what makes both versions bad is not held against the new one, also when it comes and goes', () => {
	const always: Behaviour = () => ({failing: 0.2, slow: 0.2});
	const forAWhile: Behaviour = ({elapsed}) => elapsed > 4000 && elapsed < 7000 ? {failing: 0.3, slow: 0.4} : {};
	for (const behaviour of [always, forAWhile]) {
		for (const requestsPerSecond of [60, 300, 1500]) {
			const courses = replayAll({requestsPerSecond, target: behaviour, baseline: behaviour});
			assert.ok(shareOf(courses, isReverted) <= 0.05, String(shareOf(courses, isReverted)));
		}
	}
});

test('a successor goes on from the step that was reached, and is in time', () => {
	for (const handover of [3000, 6500, 7500, 8700]) {
		for (const requestsPerSecond of [60, 300, 1500]) {
			const courses = replayAll({requestsPerSecond, target: () => ({}), handover});
			assert.ok(shareOf(courses, ({state, elapsed}) => state === 'completed' && elapsed <= 12_000) >= 0.95, `${handover} ${requestsPerSecond}`);
			const bad = replayAll({requestsPerSecond, target: () => ({failing: 0.4}), handover});
			assert.is(shareOf(bad, isReverted), 1);
		}
	}
});

test('a successor completes every good version in time', () => {
	for (const handover of [3000, 6500, 7500, 8700]) {
		for (const requestsPerSecond of [60, 300, 1500]) {
			for (const [index, {state, elapsed}] of replayAll({requestsPerSecond, target: () => ({}), handover}).entries()) {
				assert.ok(state === 'completed' && elapsed <= 12_000, `seed ${seeds[index]!}, ${requestsPerSecond} requests a second, hand-over at ${handover}: ${state} at ${elapsed}`);
			}
		}
	}
});

test('shares only rise while the version shows no fault, and the other version is given up only when it is empty', () => {
	const {shares} = replay({seed: 1, requestsPerSecond: 300, target: () => ({})});
	const trial = shares.filter(share => share > 0.15);
	assert.ok(shares[0]! <= 0.1);
	assert.equal(trial, trial.toSorted((left, right) => left - right));
	const decision = new RolloutDecision(options, {step: 3, beganAt: 0});
	for (let elapsed = 9000; elapsed < 30_000; elapsed += tickTime) {
		const verdict = decision.decide({
			now: elapsed, elapsed, timeBudget: 12_000, targetSlots: 100, baselineSlots: 100, baselineRequests: elapsed < 20_000 ? 1 : 0, answers: [],
		});
		assert.is(verdict.state, elapsed < 20_500 ? 'running' : 'completed');
	}
});

test.run();
