import {createSeededRandom} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Demand} from '../src/index.js';
import {
	type ModelOptions, type ModelOutcome, type ModelRequest, replayLoad,
} from './admission-model.js';

const test = suite('admission under load');

const fleet: ModelOptions = {
	hosts: 72, servers: 40, serverRate: 20, isShared: true, delay: 100,
};

/** What all servers execute per second. */
const capacity = fleet.servers * fleet.serverRate * 1000;

type LoadOptions = {
	readonly duration: number;
	readonly impatientShare?: number;
	/** Factors of the usual load at a time. */
	urgentFactor?(now: number): number;
	lesserFactor?(now: number, domain: number): number;
	/** Factor of the usual load of the first workspace, which sends what is less urgent. */
	hotFactor?(now: number): number;
};

// The usual load is 0.8 of the capacity, a tenth of it urgent and short.
function createLoad({duration, urgentFactor = () => 1, lesserFactor = () => 1, hotFactor = () => 1, impatientShare = 0}: LoadOptions): ModelRequest[] {
	const random = createSeededRandom(77);
	const load: ModelRequest[] = [];
	const add = (now: number, domain: number, isUrgent: boolean, workspace: number) => {
		const size = isUrgent ? 800 : 3000 + ((random.next() ** 3) * 25_000);
		load.push({
			id: load.length, workspace: `w${workspace}`, rank: isUrgent ? 0 : 2, size, objective: isUrgent ? 250 : 800, deadline: isUrgent ? 10_000 : 4000, domain, isImpatient: random.next() < impatientShare, firstSentAt: now,
		});
	};

	const urgentPerTick = capacity * 0.08 / 800 / 100;
	const lesserPerTick = capacity * 0.72 / 9250 / 100;
	const arrivals = (mean: number) => Math.floor(mean + random.next());
	for (let now = 0; now < duration; now += 10) {
		for (let domain = 0; domain < 3; domain++) {
			for (let workspace = 0; workspace < 8; workspace++) {
				const factor = workspace === 0 ? hotFactor(now) : 1;
				for (let count = arrivals(urgentPerTick * urgentFactor(now) / 24); count > 0; count--) {
					add(now, domain, true, workspace);
				}

				for (let count = arrivals(lesserPerTick * lesserFactor(now, domain) * factor / 24); count > 0; count--) {
					add(now, domain, false, workspace);
				}
			}
		}
	}

	return load;
}

function shareOf(outcomes: readonly ModelOutcome[], isIncluded: (request: ModelRequest) => boolean, isGood: (outcome: ModelOutcome) => boolean): number {
	const included = outcomes.filter(({request}) => isIncluded(request));
	return included.filter(outcome => isGood(outcome)).length / included.length;
}

const isTimely = (outcome: ModelOutcome) => outcome.isTimely;
const isServed = ({request, servedAt}: ModelOutcome) => servedAt !== undefined && servedAt <= request.firstSentAt + request.deadline;
const countTimely = (outcomes: readonly ModelOutcome[]) => outcomes.filter(outcome => outcome.isTimely).length;
const isBurst = (now: number) => now >= 3000 && now < 10_000;
const servesUrgentFirst = (outcomes: readonly ModelOutcome[]) => shareOf(outcomes, ({rank}) => rank === 0, isServed) >= shareOf(outcomes, ({rank}) => rank === 2, isServed) - 0.05;
const burst = createLoad({duration: 14_000, lesserFactor: now => isBurst(now) ? 2.4 : 1, hotFactor: now => isBurst(now) ? 6.5 : 1});

// The most urgent requests seem to wait all the time.
function announceWaiting(offered: number): Demand {
	return new Map([['s', {waiting: new Map([[0, {requests: 2000, size: 2_000_000}]]), usage: new Map([[0, new Map([['w0', {offered, admitted: 1000}]])]])}]]);
}

let burstOutcomes: ModelOutcome[] | undefined;

function burstWithOwnQueues(): readonly ModelOutcome[] {
	burstOutcomes ??= replayLoad(burst, {...fleet, isShared: false});
	return burstOutcomes;
}

function describe(name: string, shared: readonly ModelOutcome[], own: readonly ModelOutcome[]): void {
	if (process.env.REPORT === undefined) {
		return;
	}

	for (const [order, outcomes] of [['shared', shared], ['own', own]] as const) {
		const figures = [0, 2].map(rank => `rank ${rank}: timely ${shareOf(outcomes, request => request.rank === rank, isTimely).toFixed(3)}, served ${shareOf(outcomes, request => request.rank === rank, isServed).toFixed(3)}`);
		console.log(name, order, countTimely(outcomes), figures.join('; '));
	}
}

test('a burst of the lesser kind with a workspace at 6.5 times its usual', () => {
	const shared = replayLoad(burst, fleet);
	const own = burstWithOwnQueues();
	describe('burst', shared, own);
	const inBurst = (request: ModelRequest) => isBurst(request.firstSentAt);
	const urgent = shareOf(shared, request => inBurst(request) && request.rank === 0, isServed);
	assert.ok(urgent >= shareOf(shared, request => inBurst(request) && request.rank === 2, isServed) - 0.05);
	assert.ok(countTimely(shared) >= countTimely(own), `${countTimely(shared)} in time, ${countTimely(own)} with a queue for each host`);

	const served = [1, 2, 3, 4, 5, 6, 7].map(workspace => shareOf(shared, request => inBurst(request) && request.workspace === `w${workspace}`, isServed));
	const mean = served.reduce((sum, share) => sum + share, 0) / served.length;
	assert.ok(Math.min(...served) >= 0.8 * mean, `the worst workspace is served ${Math.min(...served)}, the mean ${mean}`);
	assert.ok(shareOf(shared, request => inBurst(request) && request.rank === 2 && request.workspace === 'w0', isServed) < mean);

	const executed = shared.filter(outcome => isServed(outcome) && isBurst(outcome.servedAt!)).reduce((sum, {request}) => sum + request.size, 0);
	assert.ok(executed >= 0.9 * capacity * 7, `${executed / capacity / 7} of the capacity is used`);

	const sizes = burst.filter(request => inBurst(request) && request.rank === 2 && request.workspace !== 'w0').map(({size}) => size).toSorted((left, right) => left - right);
	const largest = sizes[Math.floor(sizes.length * 0.9)]!;
	const isOther = (request: ModelRequest) => inBurst(request) && request.rank === 2 && request.workspace !== 'w0';
	assert.ok(shareOf(shared, request => isOther(request) && request.size >= largest, isServed) >= 0.5 * shareOf(shared, request => isOther(request) && request.size < largest, isServed));
});

test('waves that are out of phase between failure domains', () => {
	const load = createLoad({duration: 12_000, lesserFactor: (now, domain) => 1 + (1.2 * Math.sin((now / 2000 * Math.PI) + (domain * 2 * Math.PI / 3)))});
	const shared = replayLoad(load, fleet);
	const own = replayLoad(load, {...fleet, isShared: false});
	describe('waves', shared, own);
	assert.ok(countTimely(shared) >= countTimely(own), `${countTimely(shared)} in time, ${countTimely(own)} with a queue for each host`);
	assert.ok(servesUrgentFirst(shared));
	for (const domain of [0, 1, 2]) {
		assert.ok(shareOf(shared, request => request.domain === domain, isServed) > 0.95);
	}
});

test('clients that repeat at once get no advantage', () => {
	const load = createLoad({duration: 10_000, lesserFactor: now => now >= 2000 ? 2 : 1, impatientShare: 0.2});
	const shared = replayLoad(load, fleet);
	const own = replayLoad(load, {...fleet, isShared: false});
	describe('impatient', shared, own);
	assert.ok(countTimely(shared) >= countTimely(own), `${countTimely(shared)} in time, ${countTimely(own)} with a queue for each host`);
	assert.ok(servesUrgentFirst(shared));
	const isLesser = (request: ModelRequest) => request.rank === 2 && request.firstSentAt >= 2000;
	const impatient = shareOf(shared, request => isLesser(request) && request.isImpatient === true, isServed);
	const patient = shareOf(shared, request => isLesser(request) && request.isImpatient !== true, isServed);
	assert.ok(impatient <= 1.05 * patient, `${impatient} of the impatient clients are served, ${patient} of the others`);
});

for (const factor of [0.7, 1, 1.2, 1.5, 2, 3]) {
	test(`as many requests as with a queue for each host are in time at ${factor} of the usual load`, () => {
		const load = createLoad({duration: 4000, lesserFactor: () => factor, urgentFactor: () => factor});
		const shared = replayLoad(load, fleet);
		const own = replayLoad(load, {...fleet, isShared: false});
		describe(`load ${factor}`, shared, own);
		assert.ok(countTimely(shared) >= countTimely(own), `${countTimely(shared)} in time, ${countTimely(own)} with a queue for each host`);
		assert.ok(servesUrgentFirst(shared));
	});
}

test('failures of the announcements leave each host with its own view, without a jump', () => {
	const own = countTimely(burstWithOwnQueues());
	const cases: ReadonlyArray<readonly [string, Partial<ModelOptions>]> = [
		['no news', {isSilent: () => true}],
		['half of the hosts are gone', {isSilent: (host, now) => host % 2 === 0 && now > 5000}],
		['late by a second', {delay: 1000}],
		['one host announces more than can have arrived', {announce: (host, demand) => host === 0 ? announceWaiting(1000) : demand}],
		['one host announces demand that it does not have', {announce: (host, demand) => host === 0 ? announceWaiting(1_000_000) : demand}],
		['one host announces nonsense', {announce: (host, demand) => host === 0 ? new Map([['s', {waiting: new Map([[0, {requests: 2000, size: 0}]]), usage: new Map()}]]) : demand}],
	];
	for (const [name, options] of cases) {
		const outcomes = replayLoad(burst, {...fleet, ...options});
		describe(name, outcomes, burstWithOwnQueues());
		assert.ok(countTimely(outcomes) >= own, `${name}: ${countTimely(outcomes)} in time, ${own} with a queue for each host`);
	}
});

test.run();
