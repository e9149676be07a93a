import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type EngineCandidate, type GenerationRequest, EnginePlacer, PromptCacheIndex, noLoad,
} from '../src/index.js';

const test = suite('EnginePlacer');

function row(id: string, more: Partial<EngineCandidate> = {}): EngineCandidate {
	return {
		id, address: `${id}:1`, failureDomain: 'a', weightsVersion: 1, isOutdated: false, slots: 128, memoryTokens: 128_000, load: noLoad, slowness: 1, isRolloutDraining: false, isFailing: false, ...more,
	};
}

const generation: GenerationRequest = {
	parts: [{id: 'guide', tokens: 2500}, {id: 'sheet', tokens: 3800}, {id: 'own', tokens: 2900}], promptTokens: 9200, outputTokens: 50, objective: 500, cacheSaltFor: version => `m ${version}`,
};
const context = {failureDomain: 'a', store: undefined, now: 10_000};
const shared = generation.parts.slice(0, 2);
const busy = (requests: number, prefillTokens: number) => ({requests, prefillTokens, memoryTokens: 0});

test('hosts that know nothing agree on the server that reads a part first', () => {
	const rows = ['a', 'b', 'c', 'd'].map(id => row(id));
	const choices = [rows, rows.toReversed()].map(list => new EnginePlacer(new PromptCacheIndex()).choosePlacement(generation, list, context)!.server);
	assert.is(choices[0], choices[1]);
});

test('a held prompt is worth a queue, up to what reading it again costs', () => {
	const index = new PromptCacheIndex();
	index.recordParts('a', 'm 1', shared, 0);
	const placer = new EnginePlacer(index);
	assert.is(placer.choosePlacement(generation, [row('a', {load: busy(2, 2000)}), row('b')], context)!.server, 'a');
});

test('an overloaded holder is relieved: another server fetches the parts from it', () => {
	const index = new PromptCacheIndex();
	index.recordParts('a', 'm 1', shared, 0);
	const placed = new EnginePlacer(index).choosePlacement(generation, [row('a', {load: busy(40, 30_000)}), row('b')], context)!;
	assert.is(placed.server, 'b');
	assert.is(placed.fetchFrom, 'a:1');
	assert.is(placed.fetchedTokens, 6300);
	assert.is(placed.uncachedTokens, 2900);
});

test('the store is a source like any other, and is given what it lacks', () => {
	const index = new PromptCacheIndex();
	const store = {address: 'store:1', failureDomain: 'a'};
	const placer = new EnginePlacer(index);
	assert.is(placer.choosePlacement(generation, [row('a')], {...context, store})!.saveTo, 'store:1');
	index.recordParts('store:1', 'm 1', shared, 0);
	const placed = placer.choosePlacement(generation, [row('b')], {...context, store})!;
	assert.is(placed.saveTo, undefined);
	assert.is(placed.fetchFrom, 'store:1');
});

test('parts held under other weights are worth nothing', () => {
	const index = new PromptCacheIndex();
	index.recordParts('a', 'm 1', shared, 0);
	const placed = new EnginePlacer(index).choosePlacement(generation, [row('a', {weightsVersion: 2})], context)!;
	assert.is(placed.cachedTokens, 0);
	assert.is(placed.cacheSalt, 'm 2');
});

test('a part that is being read is waited for at its reader instead of being read twice', () => {
	const index = new PromptCacheIndex();
	index.recordParts('a', 'm 1', shared, context.now + 80);
	const placed = new EnginePlacer(index).choosePlacement(generation, [row('a'), row('b')], context)!;
	assert.is(placed.server, 'a');
	assert.is(placed.dispatchNotBefore, context.now + 80);
});

test('servers with new weights go first as long as they answer in time', () => {
	const placer = new EnginePlacer(new PromptCacheIndex());
	const old = row('old', {isOutdated: true});
	assert.is(placer.choosePlacement(generation, [old, row('new', {weightsVersion: 2, load: busy(10, 10_000)})], context)!.server, 'new');
	assert.is(placer.choosePlacement(generation, [old, row('new', {weightsVersion: 2, load: busy(80, 42_000)})], context)!.server, 'old');
});

test('servers that will load weights next are left to run empty', () => {
	const placer = new EnginePlacer(new PromptCacheIndex());
	const short: GenerationRequest = {
		...generation, parts: [], promptTokens: 500, objective: 300,
	};
	assert.is(placer.choosePlacement(short, [row('next', {isRolloutDraining: true}), row('other', {load: busy(20, 3000)})], context)!.server, 'other');
});

test('a batch that is already large is left for a smaller one, however short the prompt', () => {
	const placer = new EnginePlacer(new PromptCacheIndex());
	const short: GenerationRequest = {
		...generation, parts: [], promptTokens: 500, outputTokens: 300,
	};
	assert.is(placer.choosePlacement(short, [row('large', {load: busy(60, 0)}), row('small', {load: busy(10, 1000)})], context)!.server, 'small');
});

test('nothing is placed where memory, slots or the queue are full, so that it waits at the host', () => {
	const placer = new EnginePlacer(new PromptCacheIndex());
	const full = [
		row('memory', {load: {requests: 12, prefillTokens: 0, memoryTokens: 110_000}}),
		row('slots', {slots: 4, load: busy(4, 0)}),
		row('queue', {load: busy(20, 60_000)}),
	];
	assert.is(placer.choosePlacement(generation, full, context), undefined);
});

test('a request larger than the memory allows is still tried on an empty server', () => {
	const placer = new EnginePlacer(new PromptCacheIndex());
	assert.is(placer.choosePlacement({...generation, promptTokens: 126_000}, [row('a')], context)!.server, 'a');
});

test.run();
