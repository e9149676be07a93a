import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PromptCacheIndex} from '../src/index.js';

const test = suite('PromptCacheIndex');
const seed = 4723;
const part = (id: string, tokens = 100) => ({id, tokens});

test('a part counts only when all parts before it match', () => {
	const index = new PromptCacheIndex();
	index.recordParts('server', 'salt', [part('a'), part('b')], 0);
	assert.is(index.matchPrefix('server', 'salt', [part('a'), part('b'), part('c')]).tokens, 200);
	assert.is(index.matchPrefix('server', 'salt', [part('x'), part('b')]).tokens, 0);
});

test('parts under another salt are not found', () => {
	const index = new PromptCacheIndex();
	index.recordParts('server', 'model 1', [part('a')], 0);
	assert.is(index.matchPrefix('server', 'model 2', [part('a')]).tokens, 0);
	assert.is(index.matchPrefix('server', 'model red 1', [part('a')]).tokens, 0);
});

test('the least recently used parts are evicted, the first parts of a prompt last', () => {
	const index = new PromptCacheIndex();
	index.setCapacity('server', 300);
	index.recordParts('server', 's', [part('root'), part('old')], 0);
	index.recordParts('server', 's', [part('root'), part('new')], 0);
	index.recordParts('server', 's', [part('root'), part('newest')], 0);
	assert.is(index.matchPrefix('server', 's', [part('root'), part('newest')]).tokens, 200);
	assert.is(index.matchPrefix('server', 's', [part('root'), part('old')]).tokens, 100);
});

test('a restart removes all parts of a location, a prompt that was not prefilled only its own', () => {
	const index = new PromptCacheIndex();
	index.recordParts('server', 's', [part('a'), part('b')], 0);
	index.removeParts('server', 's', [part('b')]);
	assert.is(index.matchPrefix('server', 's', [part('a'), part('b')]).tokens, 100);
	index.clearLocation('server');
	assert.is(index.matchPrefix('server', 's', [part('a')]).tokens, 0);
});

test('a match tells when its parts will be prefilled', () => {
	const index = new PromptCacheIndex();
	index.recordParts('server', 's', [part('a')], 500);
	index.recordParts('server', 's', [part('a'), part('b')], 800);
	assert.is(index.matchPrefix('server', 's', [part('a')]).availableAt, 500);
	assert.is(index.matchPrefix('server', 's', [part('a'), part('b')]).availableAt, 800);
});

test('the cached parts never exceed the capacity', () => {
	const prompts = fc.array(fc.array(fc.record({id: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), tokens: fc.constant(70)}), {minLength: 1, maxLength: 4}), {maxLength: 30});
	fc.assert(fc.property(prompts, recorded => {
		const index = new PromptCacheIndex();
		index.setCapacity('server', 200);
		for (const parts of recorded) {
			index.recordParts('server', 's', parts, 0);
		}

		const held = ['a', 'b', 'c', 'd', 'e', 'f'].filter(id => index.matchPrefix('server', 's', [part(id, 70)]).tokens > 0);
		assert.ok(held.length * 70 <= 200);
	}), {seed});
});

test.run();
