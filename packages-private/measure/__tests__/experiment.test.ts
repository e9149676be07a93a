import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type EngineParameters, type EngineRequest, EventQueue, ModelEngine, instituto, runExperiment, tanaRidge,
} from '../src/index.js';

const test = suite('experiments in event time');

const figures: EngineParameters = {
	slots: 2, memoryTokens: 10_000, stepTime: 2, stepTimePerRequest: 0, prefillTokensPerMillisecond: 100, prefillTokensPerStep: 1000,
};

function createWork(log: string[], name: string, more: Partial<EngineRequest> = {}): EngineRequest {
	return {
		parts: [{id: 'shared', tokens: 2000}, {id: name, tokens: 1000}], cacheSalt: 's', promptTokens: 3000, outputTokens: 3, fetchedTokens: 0,
		onFirstToken: cached => log.push(`${name} begins, ${cached} cached`),
		onCompleted: () => log.push(`${name} ends`),
		onCrashed: () => log.push(`${name} lost`),
		...more,
	};
}

test('an engine reads a prompt in pieces, one a step, and does not read again what it holds', () => {
	const events = new EventQueue();
	const engine = new ModelEngine('e', figures, events);
	const log: string[] = [];
	engine.submit(createWork(log, 'a'));
	// Three steps of 2 ms with 1000 tokens of 10 ms each; then two more tokens.
	events.runUntil(35.9);
	assert.equal(log, []);
	events.runUntil(36);
	assert.equal(log, ['a begins, 0 cached']);
	events.runUntil(40);
	assert.equal(log, ['a begins, 0 cached', 'a ends']);
	engine.submit(createWork(log, 'b'));
	events.runUntil(100);
	assert.equal(log.slice(2), ['b begins, 2000 cached', 'b ends']);
	assert.is(engine.prefilledTokens, 4000);
});

test('a crash loses what runs and waits, and empties the cache', () => {
	const events = new EventQueue();
	const engine = new ModelEngine('e', figures, events);
	const log: string[] = [];
	for (const name of ['a', 'b', 'c']) {
		engine.submit(createWork(log, name));
	}

	events.runUntil(5);
	engine.crash(100);
	assert.equal(log.toSorted(), ['a lost', 'b lost', 'c lost']);
	assert.not.ok(engine.submit(createWork(log, 'd')));
	events.runUntil(200);
	assert.ok(engine.submit(createWork(log, 'e')));
	events.runUntil(400);
	assert.equal(log.slice(3), ['e begins, 0 cached', 'e ends']);
});

test('new weights wait for what runs, and empty the cache', () => {
	const events = new EventQueue();
	const engine = new ModelEngine('e', figures, events);
	const log: string[] = [];
	engine.submit(createWork(log, 'a'));
	engine.loadWeights(2, 50, () => log.push('loaded'));
	assert.not.ok(engine.submit(createWork(log, 'b')));
	events.runUntil(200);
	assert.equal(log, ['a begins, 0 cached', 'a ends', 'loaded']);
	assert.is(engine.weightsVersion, 2);
	engine.submit(createWork(log, 'c'));
	events.runUntil(400);
	assert.equal(log.slice(3), ['c begins, 0 cached', 'c ends']);
});

test('the same seed gives the same run', () => {
	const run = () => runExperiment({
		site: tanaRidge, policy: 'lacewingpoint', pattern: 'burst', loadFactor: 1, durationSeconds: 8, seed: 4714,
	});
	assert.equal(run(), run());
});

// Load pattern: all caches are void at once, and nine hosts have the same parts read.
test('after new weights, hosts that tell each other their placements read less and answer sooner', () => {
	const run = (policy: 'lacewingpoint' | 'no notes') => runExperiment({
		site: tanaRidge, policy, pattern: 'new weights', loadFactor: 1, durationSeconds: 20, seed: 4714,
	});
	const together = run('lacewingpoint');
	const alone = run('no notes');
	assert.ok(together.hitRate > alone.hitRate);
	assert.ok(together.p95 < alone.p95);
	assert.ok(together.withinObjective > alone.withinObjective);
});

// Load pattern: 1.7 times the traffic for four seconds.
test('in a burst, placement by predicted time keeps more requests within their objective than servers in turn', () => {
	const run = (policy: 'lacewingpoint' | 'round robin') => runExperiment({
		site: instituto, policy, pattern: 'burst', loadFactor: 1, durationSeconds: 16, seed: 4714,
	});
	const predicted = run('lacewingpoint');
	const inTurn = run('round robin');
	assert.ok(predicted.withinObjective > inTurn.withinObjective);
	assert.ok(predicted.worstKind > inTurn.worstKind);
	assert.ok(predicted.p99 < inTurn.p99);
});

test.run();
