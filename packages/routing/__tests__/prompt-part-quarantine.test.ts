import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PromptPartQuarantine, defaultPromptPartQuarantineOptions} from '../src/index.js';

const test = suite('PromptPartQuarantine');

const crashing = 1;
const popular = 2;
const rare = 3;
const {settlingTime, trialInterval} = defaultPromptPartQuarantineOptions;

const createQuarantine = () => new PromptPartQuarantine(defaultPromptPartQuarantineOptions);

let serverCount = 0;

/** A crash of a server of its own, with one entry for each request in flight. */
const crash = (requests: ReadonlyArray<{readonly fingerprint: number; readonly parts: readonly number[]}>, age = 0) => {
	const server = `server-${serverCount++}`;
	return requests.map(request => ({
		...request, server, incarnation: '1', failureDomain: 'a', age,
	}));
};

const isQuarantined = (quarantine: PromptPartQuarantine, part: number, now: number) => quarantine.admit([part], now, () => false).type === 'quarantined';

test('a part that is in flight at three crashes and never executed is quarantined, a popular one beside it is not', () => {
	const quarantine = createQuarantine();
	for (const now of [0, 200, 400]) {
		quarantine.recordCrashes(crash([{fingerprint: now, parts: [popular, crashing]}, {fingerprint: now + 1, parts: [popular, rare]}]), now);
		quarantine.recordExecution([popular], now + 50, now + 150);
	}

	quarantine.recordExecution([popular, rare], 250, 350);
	assert.equal(quarantine.review(400 + settlingTime - 1), [], 'reports of other hosts may be on their way');
	assert.equal(quarantine.review(400 + settlingTime).map(({part, crashCount}) => ({part, crashCount})), [{part: crashing, crashCount: 3}]);
	assert.ok(isQuarantined(quarantine, crashing, 1000));
	assert.not.ok(isQuarantined(quarantine, popular, 1000));
	assert.not.ok(isQuarantined(quarantine, rare, 1000));
});

// While all servers are down, nothing is executed that could exonerate a popular part.
test('a popular part is not quarantined when servers crash so fast that nothing is executed any more', () => {
	const quarantine = createQuarantine();
	for (let index = 0; index < 10; index++) {
		const now = index * 150;
		quarantine.recordCrashes(crash([{fingerprint: index, parts: [popular, crashing]}, {fingerprint: 100 + index, parts: index % 2 === 0 ? [popular, rare] : [popular]}]), now);
		if (index === 3) {
			quarantine.recordExecution([popular], now + 10, now + 120);
		}
	}

	assert.equal(quarantine.review(10_000).map(({part}) => part), [crashing]);
});

test('servers that fail together quarantine no part', () => {
	const quarantine = createQuarantine();
	for (let index = 0; index < 20; index++) {
		quarantine.recordCrashes(crash([{fingerprint: index, parts: [popular]}]), index * 5);
	}

	assert.equal(quarantine.review(1000), []);
});

test('one request that crashes server after server does not quarantine the parts that it shares with others', () => {
	const quarantine = createQuarantine();
	for (let index = 0; index < 6; index++) {
		quarantine.recordCrashes(crash([{fingerprint: 7, parts: [rare]}, {fingerprint: 100 + index, parts: [popular]}]), index * 200);
	}

	assert.equal(quarantine.review(5000), []);
});

test('requests that crash as many servers as their route allows quarantine the part that they share', () => {
	const quarantine = createQuarantine();
	for (let index = 0; index < 5; index++) {
		quarantine.recordCrashes(crash([{fingerprint: Math.floor(index / 3), parts: [crashing]}]), index * 200);
	}

	assert.equal(quarantine.review(5000).map(({part}) => part), [crashing]);
});

test('of parts in flight at the same crashes, none is quarantined before the fifth crash', () => {
	const quarantine = createQuarantine();
	const crashWithBoth = (index: number) => {
		quarantine.recordCrashes(crash([{fingerprint: index, parts: [crashing, rare]}]), index * 200);
	};

	for (let index = 0; index < 4; index++) {
		crashWithBoth(index);
	}

	assert.equal(quarantine.review(2000), []);
	quarantine.recordExecution([rare], 2100, 2200);
	assert.equal(quarantine.review(2200).map(({part}) => part), [crashing], 'an execution tells them apart');
	const other = createQuarantine();
	for (let index = 0; index < 5; index++) {
		other.recordCrashes(crash([{fingerprint: index, parts: [crashing, rare]}]), index * 200);
	}

	assert.equal(other.review(2000).map(({part}) => part).toSorted((left, right) => left - right), [crashing, rare]);
});

test('two parts that crash servers at the same time are both quarantined', () => {
	const quarantine = createQuarantine();
	for (let index = 0; index < 8; index++) {
		quarantine.recordCrashes(crash([{fingerprint: index, parts: [popular, index % 2 === 0 ? crashing : rare]}]), index * 200);
		quarantine.recordExecution([popular], (index * 200) + 50, (index * 200) + 150);
	}

	assert.equal(quarantine.review(3000).map(({part}) => part).toSorted((left, right) => left - right), [crashing, rare]);
});

test('an execution at any host releases a part, and a peer that still reports it is corrected', () => {
	const quarantine = createQuarantine();
	const peer = createQuarantine();
	for (let index = 0; index < 3; index++) {
		const suspects = crash([{fingerprint: index, parts: [rare]}]);
		quarantine.recordCrashes(suspects, index * 200);
		peer.recordCrashes(suspects, index * 200);
	}

	quarantine.review(1000);
	peer.review(1000);
	const released = peer.recordExecution([rare], 900, 1000);
	assert.equal(released, [{part: rare, age: 100}]);
	assert.not.ok(isQuarantined(peer, rare, 1000));
	assert.equal(peer.mergeQuarantined(quarantine.listQuarantined(1100), 1100), [{part: rare, age: 200}]);
	assert.not.ok(isQuarantined(peer, rare, 1100), 'a report that is older than the execution changes nothing');
	assert.equal(quarantine.mergeExecutions(released, 1000), released);
	assert.not.ok(isQuarantined(quarantine, rare, 1100));
	assert.equal(quarantine.mergeExecutions(released, 1000), [], 'a report is forwarded once');
});

test('a crash report that arrives after the execution does not count, and the execution is reported', () => {
	const quarantine = createQuarantine();
	quarantine.recordExecution([popular], 1000, 1100);
	for (const at of [200, 400, 600, 800, 1000]) {
		assert.equal(quarantine.recordCrashes(crash([{fingerprint: at, parts: [popular]}], 1200 - at), 1200), [{part: popular, age: 200}]);
	}

	assert.equal(quarantine.review(5000), []);
});

test('a host that joins learns the quarantine from a peer', () => {
	const quarantine = createQuarantine();
	for (let index = 0; index < 3; index++) {
		quarantine.recordCrashes(crash([{fingerprint: index, parts: [crashing]}]), index * 200);
	}

	quarantine.review(1000);
	const joined = createQuarantine();
	assert.equal(joined.mergeQuarantined(quarantine.listQuarantined(1000), 50_000), []);
	assert.ok(isQuarantined(joined, crashing, 50_000));
});

test('a quarantined part is tried again once an interval, which doubles with each crash', () => {
	const quarantine = createQuarantine();
	for (let index = 0; index < 3; index++) {
		quarantine.recordCrashes(crash([{fingerprint: index, parts: [crashing]}]), index * 200);
	}

	quarantine.review(1000);
	const admit = (now: number, mayTry = true) => quarantine.admit([popular, crashing], now, () => mayTry).type;
	const firstTrialAt = 400 + trialInterval;
	assert.is(admit(firstTrialAt - 1), 'quarantined');
	assert.is(admit(firstTrialAt, false), 'quarantined', 'another host tries it');
	assert.is(admit(firstTrialAt), 'trial');
	assert.is(admit(firstTrialAt), 'quarantined');
	quarantine.recordCrashes(crash([{fingerprint: 9, parts: [crashing]}]), firstTrialAt + 100);
	assert.is(admit(firstTrialAt + 100 + (2 * trialInterval) - 1), 'quarantined');
	assert.is(admit(firstTrialAt + 100 + (2 * trialInterval)), 'trial');
	quarantine.recordExecution([crashing], firstTrialAt + 200 + (2 * trialInterval), firstTrialAt + 300 + (2 * trialInterval));
	assert.is(admit(firstTrialAt + 300 + (2 * trialInterval)), 'clear');
});

// Random requests with one crashing part among shared ones, and servers that crash by themselves.
test('in random traffic, the crashing part is quarantined and no part that is executed between crashes ever is', () => {
	const request = fc.record({parts: fc.uniqueArray(fc.integer({min: 10, max: 14}), {minLength: 1, maxLength: 3}), isCrashing: fc.boolean(), hasOtherCause: fc.boolean()});
	fc.assert(fc.property(fc.array(request, {minLength: 30, maxLength: 60}), requests => {
		const quarantine = createQuarantine();
		let now = 0;
		let crashCount = 0;
		let hasOtherQuarantine = false;
		const crashesSinceExecution = new Map<number, number>();
		for (const [fingerprint, {parts, isCrashing, hasOtherCause}] of requests.entries()) {
			now += 150;
			if (isCrashing || hasOtherCause) {
				crashCount += isCrashing ? 1 : 0;
				quarantine.recordCrashes(crash([{fingerprint, parts: isCrashing ? [...parts, crashing] : parts}]), now);
				for (const part of parts) {
					crashesSinceExecution.set(part, (crashesSinceExecution.get(part) ?? 0) + 1);
				}
			} else {
				quarantine.recordExecution(parts, now, now + 100);
				for (const part of parts) {
					crashesSinceExecution.set(part, 0);
				}
			}

			for (const {part} of quarantine.review(now)) {
				hasOtherQuarantine ||= part !== crashing;
				assert.ok(part === crashing || (crashesSinceExecution.get(part) ?? 0) >= 3, 'a part was quarantined for less than three crashes since its execution');
			}
		}

		quarantine.review(now + settlingTime);
		assert.ok(hasOtherQuarantine || crashCount < 5 || isQuarantined(quarantine, crashing, now + settlingTime), `${crashCount} crashes did not quarantine the part`);
	}), {numRuns: 200, seed: 29});
});

test.run();
