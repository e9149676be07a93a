import {type RandomSource, createSeededRandom} from '@lacewingpoint/shared';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerLimits, defaultServerLimitsOptions} from '../src/index.js';

const test = suite('ServerLimits');

const server = {id: 'i-1', incarnation: '1'};
const firstTurn: RandomSource = {next: () => 0};

const createLimits = () => new ServerLimits(defaultServerLimitsOptions);

const respond = (limits: ServerLimits, requestsPerSecond: number | undefined, now: number, sentAt = now - 1) => limits.recordResponse(server, requestsPerSecond, {sentAt, now});

test('a server without a limit gets requests at once, one with a limit at its rate', () => {
	const limits = createLimits();
	assert.is(limits.waitTime(server, 0, firstTurn), 0);
	respond(limits, 2, 0);
	assert.is(limits.waitTime(server, 0, firstTurn), 500);
	let sent = 0;
	for (let now = 0; now < 10_000; now += 10) {
		if (limits.waitTime(server, now, firstTurn) === 0) {
			limits.recordRequest(server, now);
			sent++;
		}
	}

	assert.ok(sent >= 18 && sent <= 20, `${sent} requests in 10 s`);
});

test('a limit ends with a response to a request that was sent after the server had named it, not with an earlier one', () => {
	const limits = createLimits();
	respond(limits, 2, 100);
	assert.is(respond(limits, undefined, 120, 90), undefined);
	assert.is(limits.findRequestsPerSecond(server), 2);
	assert.equal(respond(limits, undefined, 150, 110), {...server, requestsPerSecond: undefined, age: 40});
	assert.is(limits.findRequestsPerSecond(server), undefined);
	assert.is(limits.waitTime(server, 150, firstTurn), 0);
});

test('the latest report of any host counts, in whatever order the reports arrive', () => {
	const limits = createLimits();
	const [named, ended] = [{...server, requestsPerSecond: 2, age: 300}, {...server, age: 100}];
	for (const reports of [[named, ended], [ended, named]]) {
		const other = createLimits();
		other.mergeReports(reports, 1000);
		assert.is(other.findRequestsPerSecond(server), undefined);
	}

	assert.equal(limits.mergeReports([named], 1000), [named]);
	assert.equal(limits.mergeReports([{...named, age: 200}], 1000), [], 'a confirmation is not forwarded');
	assert.is(limits.findRequestsPerSecond(server), 2);
});

test('a limit does not hold for the next process of a server', () => {
	const limits = createLimits();
	respond(limits, 2, 0);
	assert.is(limits.waitTime({id: 'i-1', incarnation: '2'}, 10, firstTurn), 0);
});

test('a limit that no response has confirmed for a minute ends, one of 0 lets a request through now and then', () => {
	const limits = createLimits();
	respond(limits, 0, 0);
	const wait = limits.waitTime(server, 0, firstTurn);
	assert.ok(wait > 0 && wait <= 10_000, `${wait} ms`);
	limits.removeExpired(60_001, () => true);
	assert.is(limits.waitTime(server, 60_001, firstTurn), 0);
});

// Hosts that hear of each other's requests with a delay, and demand that changes at random.
test('random hosts and demand: no window has more than one and a half times the limit and five requests', () => {
	const scenario = fc.record({
		hostCount: fc.integer({min: 1, max: 30}),
		rate: fc.double({min: 0.3, max: 30, noNaN: true}),
		delay: fc.integer({min: 10, max: 100}),
		// The share of the moments at which a host has a request, by second.
		demands: fc.array(fc.double({min: 0, max: 1, noNaN: true}), {minLength: 12, maxLength: 12}),
		seed: fc.nat(),
	});
	fc.assert(fc.property(scenario, ({hostCount, rate, delay, demands, seed}) => {
		const random = createSeededRandom(seed);
		const hosts = Array.from({length: hostCount}, (_, index) => ({name: `host-${index}`, limits: createLimits(), sent: 0}));
		for (const host of hosts) {
			host.limits.setPeers(hosts.filter(other => other !== host).map(({name}) => ({name, hostCount: 1, isMember: false})), 0);
			for (const other of hosts.filter(candidate => candidate !== host)) {
				host.limits.mergePeerTotals({name: other.name, incarnation: '1'}, new Map(), 0, true);
			}

			respond(host.limits, rate, 0);
		}

		const arrivals: number[] = [];
		const messages: Array<{readonly at: number; readonly from: string; readonly totals: ReadonlyMap<string, number>}> = [];
		for (let now = 0; now < 12_000; now += 10) {
			while (messages[0] !== undefined && messages[0].at <= now) {
				const {from, totals} = messages.shift()!;
				for (const host of hosts.filter(({name}) => name !== from)) {
					host.limits.mergePeerTotals({name: from, incarnation: '1'}, totals, now, true);
				}
			}

			for (const host of hosts) {
				if (random.next() < demands[Math.floor(now / 1000)]! && host.limits.waitTime(server, now, random) === 0) {
					host.limits.recordRequest(server, now);
					arrivals.push(now);
					messages.push({at: now + delay, from: host.name, totals: host.limits.groupTotals()});
				}
			}

			if (now % 200 === 0) {
				messages.push(...hosts.map(host => ({at: now + delay, from: host.name, totals: host.limits.groupTotals()})));
			}
		}

		const late = arrivals.filter(at => at >= 3000);
		const most = Math.max(0, ...late.map(start => late.filter(at => at >= start && at < start + 4000).length));
		assert.ok(most <= (1.5 * rate * 4) + 5, `${most} requests in 4 s at ${rate} a second from ${hostCount} hosts that hear of each other after ${delay} ms`);
	}), {numRuns: 60, seed: 29});
});

test.run();
