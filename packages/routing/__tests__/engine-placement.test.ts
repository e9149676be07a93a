import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type EngineCandidate, type GenerationRequest, EnginePlacer, PromptCacheIndex, noLoad,
} from '../src/index.js';

const test = suite('EnginePlacer');

function candidate(id: string, more: Partial<EngineCandidate> = {}): EngineCandidate {
	return {
		id, address: `${id}:1`, failureDomain: 'a', weightsVersion: 1, isOutdated: false, slots: 128, memoryTokens: 128_000, load: noLoad,
		slowness: 1, isRolloutDraining: false, isFailing: false, ...more,
	};
}

const generation: GenerationRequest = {
	parts: [{id: 'guide', tokens: 2500}, {id: 'sheet', tokens: 3800}, {id: 'own', tokens: 2900}], promptTokens: 9200, outputTokens: 50, objective: 500, cacheSaltFor: version => `m ${version}`,
};
const context = {failureDomain: 'a', stores: [], now: 10_000};
const shared = generation.parts.slice(0, 2);
const loadOf = (requests: number, prefillTokens: number) => ({requests, prefillTokens, memoryTokens: 0});

test('hosts with empty cache indexes choose the same server for an uncached part', () => {
	const candidates = ['a', 'b', 'c', 'd'].map(id => candidate(id));
	const choices = [candidates, candidates.toReversed()].map(list => new EnginePlacer(new PromptCacheIndex()).choosePlacement(generation, list, context)!.server);
	assert.is(choices[0], choices[1]);
});

test('a cached prompt outweighs a queue that costs less than prefilling it again', () => {
	const index = new PromptCacheIndex();
	index.recordParts('a', 'm 1', shared, 0);
	const placer = new EnginePlacer(index);
	assert.is(placer.choosePlacement(generation, [candidate('a', {load: loadOf(2, 2000)}), candidate('b')], context)!.server, 'a');
});

test('another server is chosen when the one with the cached parts is overloaded, and fetches the parts from it', () => {
	const index = new PromptCacheIndex();
	index.recordParts('a', 'm 1', shared, 0);
	const placement = new EnginePlacer(index).choosePlacement(generation, [candidate('a', {load: loadOf(40, 30_000)}), candidate('b')], context)!;
	assert.is(placement.server, 'b');
	assert.is(placement.fetchFrom, 'a:1');
	assert.is(placement.fetchedTokens, 6300);
	assert.is(placement.uncachedTokens, 2900);
});

test('parts are fetched from the prompt store, and saved to it when it lacks them', () => {
	const index = new PromptCacheIndex();
	const store = {address: 'store:1', failureDomain: 'a'};
	const placer = new EnginePlacer(index);
	assert.is(placer.choosePlacement(generation, [candidate('a')], {...context, stores: [store]})!.saveTo, 'store:1');
	index.recordParts('store:1', 'm 1', shared, 0);
	const placement = placer.choosePlacement(generation, [candidate('b')], {...context, stores: [store]})!;
	assert.is(placement.saveTo, undefined);
	assert.is(placement.fetchFrom, 'store:1');
});

// A store of prompt parts in each failure domain: what crosses domains takes twice as long and has a price.
test('of several prompt stores, the one in the domain of the server is used, and another only for what that one lacks', () => {
	const index = new PromptCacheIndex();
	const stores = ['a', 'b', 'c'].map(failureDomain => ({address: `store-${failureDomain}:1`, failureDomain}));
	const placer = new EnginePlacer(index);
	const place = (failureDomain: string) => placer.choosePlacement(generation, [candidate('s', {failureDomain})], {...context, failureDomain, stores})!;
	assert.equal(['a', 'b', 'c', 'd'].map(domain => place(domain).saveTo), ['store-a:1', 'store-b:1', 'store-c:1', 'store-a:1']);
	index.recordParts('store-b:1', 'm 1', shared, 0);
	assert.equal([place('c').fetchFrom, place('c').saveTo], ['store-b:1', 'store-c:1']);
	assert.equal([place('b').fetchFrom, place('b').saveTo], ['store-b:1', undefined]);
	index.recordParts('store-c:1', 'm 1', shared, 0);
	assert.equal([place('c').fetchFrom, place('c').saveTo], ['store-c:1', undefined]);
	assert.ok(place('c').fetchTime < place('a').fetchTime);
	index.clearLocation('store-b:1');
	assert.equal([place('b').fetchFrom, place('b').saveTo], ['store-c:1', 'store-b:1']);
});

test('parts cached under another version of the weights do not count', () => {
	const index = new PromptCacheIndex();
	index.recordParts('a', 'm 1', shared, 0);
	const placement = new EnginePlacer(index).choosePlacement(generation, [candidate('a', {weightsVersion: 2})], context)!;
	assert.is(placement.cachedTokens, 0);
	assert.is(placement.cacheSalt, 'm 2');
});

test('a part that is being prefilled is waited for at its server instead of being prefilled twice', () => {
	const index = new PromptCacheIndex();
	index.recordParts('a', 'm 1', shared, context.now + 80);
	const placement = new EnginePlacer(index).choosePlacement(generation, [candidate('a'), candidate('b')], context)!;
	assert.is(placement.server, 'a');
	assert.is(placement.dispatchNotBefore, context.now + 80);
});

test('servers with new weights are preferred as long as they respond in time', () => {
	const placer = new EnginePlacer(new PromptCacheIndex());
	const outdated = candidate('old', {isOutdated: true});
	assert.is(placer.choosePlacement(generation, [outdated, candidate('new', {weightsVersion: 2, load: loadOf(10, 10_000)})], context)!.server, 'new');
	assert.is(placer.choosePlacement(generation, [outdated, candidate('new', {weightsVersion: 2, load: loadOf(80, 42_000)})], context)!.server, 'old');
});

test('servers that drain for a rollout are avoided', () => {
	const placer = new EnginePlacer(new PromptCacheIndex());
	const shortGeneration: GenerationRequest = {
		...generation, parts: [], promptTokens: 500, objective: 300,
	};
	assert.is(placer.choosePlacement(shortGeneration, [candidate('next', {isRolloutDraining: true}), candidate('other', {load: loadOf(20, 3000)})], context)!.server, 'other');
});

test('a smaller batch is preferred to a large one even for a short prompt', () => {
	const placer = new EnginePlacer(new PromptCacheIndex());
	const shortGeneration: GenerationRequest = {
		...generation, parts: [], promptTokens: 500, outputTokens: 300,
	};
	assert.is(placer.choosePlacement(shortGeneration, [candidate('large', {load: loadOf(60, 0)}), candidate('small', {load: loadOf(10, 1000)})], context)!.server, 'small');
});

test('nothing is placed on servers whose memory, slots or queue are full, so that the request is queued at the host', () => {
	const placer = new EnginePlacer(new PromptCacheIndex());
	const full = [
		candidate('memory', {load: {requests: 12, prefillTokens: 0, memoryTokens: 110_000}}),
		candidate('slots', {slots: 4, load: loadOf(4, 0)}),
		candidate('queue', {load: loadOf(20, 60_000)}),
	];
	assert.is(placer.choosePlacement(generation, full, context), undefined);
});

test('a request that exceeds the usable memory is still placed on an idle server', () => {
	const placer = new EnginePlacer(new PromptCacheIndex());
	assert.is(placer.choosePlacement({...generation, promptTokens: 126_000}, [candidate('a')], context)!.server, 'a');
});

// Long prompts and short streams on slow engines: a second long prompt behind the first pauses all running streams for too long.
test('a long prompt goes to the server with few running streams when its backlog would pause those of another for too long', () => {
	const index = new PromptCacheIndex();
	const placer = new EnginePlacer(index);
	index.recordParts('a', 'm 1', shared, 0);
	index.recordParts('b', 'm 1', shared, 0);
	const candidates = [candidate('a', {load: loadOf(6, 6000)}), candidate('b', {load: loadOf(1, 12_000)})];
	assert.is(placer.choosePlacement(generation, candidates, context)!.server, 'a');
	assert.is(placer.choosePlacement(generation, candidates, {...context, prefillBacklogLimit: 8000})!.server, 'b');
});

test.run();
