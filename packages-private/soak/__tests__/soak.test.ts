import {createSeededRandom} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type ClientOutcome, checkAnswersInTime, checkLog, checkOrders, checkOutcomes, checkPlannedStops, createExpectedBody, createFaultSchedule, runSoak,
} from '../src/index.js';

const test = suite('soak');

/** Seeds that have failed, and why. */
const regressionSeeds = [
	// Hosts before e14cd18 framed streams as complete that had ended within an event.
	3,
];

const createOutcome = (overrides: Partial<ClientOutcome>): ClientOutcome => {
	const outcome = {
		id: 'r-1', kind: 'draft', host: 'h', status: 200, body: '', isComplete: true, sentAt: 0, endedAt: 10, ...overrides,
	} as const;
	return {...outcome, body: overrides.body ?? createExpectedBody(outcome)};
};

test('truncated, foreign, repeated and wrongly refused requests are found', () => {
	const find = (overrides: Partial<ClientOutcome>, executionCount = 1) => checkOutcomes([createOutcome(overrides)], {count: () => executionCount}).map(({promise}) => promise);
	const whole = createExpectedBody({id: 'r-1', kind: 'draft'});
	assert.equal(find({}), []);
	assert.equal(find({body: whole.slice(0, -40)}), ['whole answers']);
	assert.equal(find({body: whole.slice(0, -40), isComplete: false}), []);
	assert.equal(find({body: createExpectedBody({id: 'r-2', kind: 'draft'}), isComplete: false}), ['whole answers']);
	assert.equal(find({}, 2), ['at most once']);
	assert.equal(find({kind: 'check'}, 2), []);
	assert.equal(find({status: 503, body: ''}), ['truthful refusals']);
	assert.equal(find({status: 502, body: ''}), []);
});

test('answers that are cut off around a planned stop are found, with the excuses of the platform only', () => {
	const stop = {host: 'h', from: 10_000, to: 17_500};
	const find = (overrides: Partial<ClientOutcome>, options: {readonly count?: number; readonly isAtWork?: boolean; readonly impairedFrom?: number} = {}) => {
		const {count = 1, isAtWork = false, impairedFrom} = options;
		const impairments = impairedFrom === undefined ? [] : [{host: undefined, from: impairedFrom, to: impairedFrom + 100}];
		const outcome = createOutcome({
			kind: 'chat', isComplete: false, sentAt: 13_500, endedAt: 17_300, ...overrides,
		});
		return checkPlannedStops([outcome], {count: () => count, wasAtWork: () => isAtWork}, [stop], impairments).map(({promise}) => promise);
	};

	const lost = ['planned stops'];
	assert.equal(find({}), lost);
	assert.equal(find({status: 0}), lost);
	assert.equal(find({isComplete: true}), []);
	// Sent late in the stop, or cut off early in it, work in progress is no excuse.
	assert.equal(find({}, {isAtWork: true}), lost);
	assert.equal(find({sentAt: 12_900}, {isAtWork: true}), []);
	assert.equal(find({sentAt: 12_900, endedAt: 16_000}, {isAtWork: true}), lost);
	assert.equal(find({sentAt: 12_900}), lost);
	// Not executed, and closed at once or not.
	assert.equal(find({status: 0, sentAt: 17_300, endedAt: 17_400}, {count: 0}), []);
	assert.equal(find({status: 0, sentAt: 17_000, endedAt: 17_400}, {count: 0}), lost);
	assert.equal(find({sentAt: 10_100, endedAt: 20_101}), []);
	assert.equal(find({sentAt: 19_100, endedAt: 20_000}), []);
	assert.equal(find({host: 'other'}), []);
	assert.equal(find({}, {impairedFrom: 10_000}), lost);
	assert.equal(find({}, {impairedFrom: 10_600}), []);
	assert.equal(find({}, {impairedFrom: 17_200}), []);
});

test('a host that does not answer in time is found, unless it was disturbed', () => {
	const outcomes = Array.from({length: 8}, (_, index) => createOutcome({
		id: `r-${index}`, kind: 'book', sentAt: 1000, endedAt: 4600,
	}));
	assert.equal(checkAnswersInTime(outcomes, []).map(({promise}) => promise), ['answers in time']);
	assert.equal(checkAnswersInTime(outcomes, [{host: 'h', from: 900, to: 1100}]), []);
	assert.is(checkAnswersInTime(outcomes, [{host: 'other', from: 900, to: 1100}]).length, 1);
	assert.equal(checkAnswersInTime(outcomes.slice(1), []), []);
	assert.equal(checkAnswersInTime(outcomes.map(outcome => ({...outcome, endedAt: 4400})), []), []);
});

test('orders of two hosts within the time of the lease are found', () => {
	const find = (...orders: ReadonlyArray<readonly [string, number]>) => checkOrders('s', orders.map(([holder, receivedAt]) => ({holder, receivedAt}))).length;
	assert.is(find(['a', 0], ['a', 10], ['b', 1010]), 0);
	assert.is(find(['a', 0], ['b', 900]), 1);
});

test('configurations that go back and uncaught errors are found in logs', () => {
	const line = (version: number) => `{"event":"configuration","version":${version},"revision":1}`;
	assert.equal(checkLog('h', [line(1), line(3), line(2)].join('\n')).map(({promise}) => promise), ['no way back']);
	assert.equal(checkLog('h', '{"event":"uncaught","reason":"x"}').map(({promise}) => promise), ['no end by itself']);
	assert.equal(checkLog('h', [line(1), line(2)].join('\n')), []);
});

test('a seed always gives the same faults', () => {
	const create = () => createFaultSchedule(createSeededRandom(7), 10_000, 10);
	assert.equal(create(), create());
	assert.ok(create().length >= 10);
});

for (const seed of regressionSeeds) {
	test(`hosts keep their promises under the faults of seed ${seed}`, async () => {
		const report = await runSoak({
			seed, duration: 8000, hostCount: 3, clientCount: 12, seriesCount: 10,
		});
		assert.equal(report.violations, []);
		assert.ok(report.requests.served > 0);
	});
}

// Guards against stopping hosts that cut off what they have accepted, against malformed responses and entries that block or break hosts, and against
// clients that take their memory.
for (const [profile, seed] of [['planned', 1], ['malformed', 1], ['clients', 2]] as const) {
	test(`hosts keep their promises under ${profile} faults of seed ${seed}`, async () => {
		const report = await runSoak({
			seed, profile, duration: 8000, hostCount: 3, clientCount: 12, seriesCount: 8,
		});
		assert.equal(report.violations, []);
		assert.ok(report.requests.served > 0);
	});
}

test.run();
