import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type EngineParameters, type EngineRequest, EventQueue, ModelEngine, florDeChimborazo, glenrath, instituto, institutoGrown, runExperiment, tanaRidge,
} from '../src/index.js';

const test = suite('simulated experiments');

const parameters: EngineParameters = {
	slots: 2, memoryTokens: 10_000, stepTime: 2, stepTimePerRequest: 0, prefillTokensPerMillisecond: 100, prefillTokensPerStep: 1000, tokensPerEvent: 1,
};

function createRequest(log: string[], name: string, overrides: Partial<EngineRequest> = {}): EngineRequest {
	return {
		parts: [{id: 'shared', tokens: 2000}, {id: name, tokens: 1000}], cacheSalt: 's', promptTokens: 3000, outputTokens: 3, fetchedTokens: 0,
		onFirstToken: cachedTokens => log.push(`${name} begins, ${cachedTokens} cached`),
		onCompleted: () => log.push(`${name} ends`),
		onCrashed: () => log.push(`${name} lost`),
		...overrides,
	};
}

test('an engine prefills a prompt in chunks, one per step, and does not prefill cached parts again', () => {
	const events = new EventQueue();
	const engine = new ModelEngine('e', parameters, events);
	const log: string[] = [];
	engine.submit(createRequest(log, 'a'));
	// Three steps, each 2 ms plus 10 ms for the prefill of 1000 tokens; then two steps for the remaining output tokens.
	events.runUntil(35.9);
	assert.equal(log, []);
	events.runUntil(36);
	assert.equal(log, ['a begins, 0 cached']);
	events.runUntil(40);
	assert.equal(log, ['a begins, 0 cached', 'a ends']);
	engine.submit(createRequest(log, 'b'));
	events.runUntil(100);
	assert.equal(log.slice(2), ['b begins, 2000 cached', 'b ends']);
	assert.is(engine.prefilledTokens, 4000);
});

test('a crash loses running and queued requests, and clears the cache', () => {
	const events = new EventQueue();
	const engine = new ModelEngine('e', parameters, events);
	const log: string[] = [];
	for (const name of ['a', 'b', 'c']) {
		engine.submit(createRequest(log, name));
	}

	events.runUntil(5);
	engine.crash(100);
	assert.equal(log.toSorted(), ['a lost', 'b lost', 'c lost']);
	assert.not.ok(engine.submit(createRequest(log, 'd')));
	events.runUntil(200);
	assert.ok(engine.submit(createRequest(log, 'e')));
	events.runUntil(400);
	assert.equal(log.slice(3), ['e begins, 0 cached', 'e ends']);
});

test('new weights are loaded after running requests have completed, and clear the cache', () => {
	const events = new EventQueue();
	const engine = new ModelEngine('e', parameters, events);
	const log: string[] = [];
	engine.submit(createRequest(log, 'a'));
	engine.loadWeights(2, 50, () => log.push('loaded'));
	assert.not.ok(engine.submit(createRequest(log, 'b')));
	events.runUntil(200);
	assert.equal(log, ['a begins, 0 cached', 'a ends', 'loaded']);
	assert.is(engine.weightsVersion, 2);
	engine.submit(createRequest(log, 'c'));
	events.runUntil(400);
	assert.equal(log.slice(3), ['c begins, 0 cached', 'c ends']);
});

test('the same seed gives the same results', () => {
	const run = () => runExperiment({
		site: tanaRidge, policy: 'lacewingpoint', pattern: 'burst', loadFactor: 1, durationSeconds: 8, seed: 4714,
	});
	assert.equal(run(), run());
});

// All caches become invalid at the same time, so that nine hosts may have the same parts prefilled redundantly.
test('after new weights, hosts that exchange placements have a higher hit rate and a lower time to first token', () => {
	const run = (policy: 'lacewingpoint' | 'no notes') => runExperiment({
		site: tanaRidge, policy, pattern: 'new weights', loadFactor: 1, durationSeconds: 20, seed: 4714,
	});
	const shared = run('lacewingpoint');
	const isolated = run('no notes');
	assert.ok(shared.hitRate > isolated.hitRate);
	assert.ok(shared.p95 < isolated.p95);
	assert.ok(shared.withinObjective > isolated.withinObjective);
});

// The burst is 1.7 times the normal traffic for four seconds.
test('in a burst, placement by predicted time keeps more requests within their objective than round robin', () => {
	const run = (policy: 'lacewingpoint' | 'round robin') => runExperiment({
		site: instituto, policy, pattern: 'burst', loadFactor: 1, durationSeconds: 16, seed: 4714,
	});
	const predicted = run('lacewingpoint');
	const roundRobin = run('round robin');
	assert.ok(predicted.withinObjective > roundRobin.withinObjective);
	assert.ok(predicted.worstKind > roundRobin.worstKind);
	assert.ok(predicted.p99 < roundRobin.p99);
});

test('an engine reports the longest time between two events of a stream', () => {
	const events = new EventQueue();
	const engine = new ModelEngine('e', parameters, events);
	let pause = 0;
	engine.submit(createRequest([], 'stream', {
		promptTokens: 100, parts: [{id: 'short', tokens: 100}], outputTokens: 20, onCompleted(longestPause) {
			pause = longestPause;
		},
	}));
	events.runUntil(10);
	// A prompt of 3000 tokens is prefilled in three steps of 12 ms.
	engine.submit(createRequest([], 'long'));
	events.runUntil(200);
	assert.is(pause, 12);
});

// Flor de Chimborazo: prompts of 9,000 tokens take 200 ms of an engine, and each running stream there pauses meanwhile.
test('with long prompts and short streams on slow engines, fewer streams pause for too long than without observing the engines', () => {
	const run = (policy: 'lacewingpoint' | 'no observations') => [1, 2, 3].map(seed => runExperiment({
		site: florDeChimborazo, policy, pattern: 'new weights', loadFactor: 1, durationSeconds: 20, seed,
	}));
	const sum = (results: ReturnType<typeof run>, read: (result: ReturnType<typeof run>[number]) => number) => results.reduce((total, result) => total + read(result), 0);
	const [learned, baseline] = [run('lacewingpoint'), run('no observations')];
	assert.ok(sum(learned, result => result.latePauses) <= sum(baseline, result => result.latePauses) * 0.8, `${sum(learned, result => result.latePauses)} of ${sum(baseline, result => result.latePauses)}`);
	assert.ok(sum(learned, result => result.withinObjective) >= sum(baseline, result => result.withinObjective) - 0.01);
});

// The Instituto after it has grown: with 65 hosts, announcements pass up to three hops of 25 to 80 ms.
test('hosts that learn of each other\'s placements after 100 ms do not send their requests to the same servers', () => {
	const run = (policy: 'lacewingpoint' | 'no sample') => runExperiment({
		site: institutoGrown, policy, pattern: 'calm', loadFactor: 1.1, durationSeconds: 6, seed: 3, hostCount: 65, gossipDelay: 100,
	});
	const [sampled, baseline] = [run('lacewingpoint'), run('no sample')];
	assert.ok(sampled.withinObjective >= 0.98, String(sampled.withinObjective));
	assert.ok(sampled.p95 <= baseline.p95 / 2, `${sampled.p95} ms and ${baseline.p95} ms`);
});

// Glenrath: a quarter of the engines has less than half the speed of the others, and all are slowed by neighbors at times.
test('on engines of uneven speed, learned paces keep more streams without late pauses, and no fewer first tokens on time', () => {
	const run = (policy: 'lacewingpoint' | 'no paces') => runExperiment({
		site: glenrath, policy, pattern: 'calm', loadFactor: 1.4, durationSeconds: 8, seed: 1,
	});
	const learned = run('lacewingpoint');
	const assumed = run('no paces');
	assert.ok(learned.latePauses < assumed.latePauses, `${learned.latePauses} ${assumed.latePauses}`);
	assert.ok(learned.withinObjective >= assumed.withinObjective, `${learned.withinObjective} ${assumed.withinObjective}`);
	assert.ok(learned.p50 < assumed.p50);
});

test.run();
