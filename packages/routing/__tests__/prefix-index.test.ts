import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PrefixIndex, cacheSalt, hashBlocks} from '../src/index.js';

const test = suite('PrefixIndex');
const seed = 4715;
const lifetime = 1000;

const newIndex = (blocksPerServer = 1000) => new PrefixIndex({blocksPerServer, lifetime});

type Step
	= | {readonly type: 'observe'; readonly server: string; readonly incarnation: string; readonly weights: string}
		| {readonly type: 'learn'; readonly server: string; readonly incarnation: string; readonly blocks: readonly number[]}
		| {readonly type: 'event'; readonly server: string; readonly incarnation: string; readonly sequence: number; readonly stored: readonly number[]}
		| {readonly type: 'restore'; readonly server: string; readonly incarnation: string; readonly weights: string; readonly blocks: readonly number[]};

const server = fc.constantFrom('a', 'b');
const incarnation = fc.constantFrom('1', '2', '3');
const weights = fc.constantFrom('v1', 'v2');
const blocks = fc.uniqueArray(fc.integer({min: 0, max: 9}), {maxLength: 5});
const step: fc.Arbitrary<Step> = fc.oneof(
	fc.record({
		type: fc.constant('observe' as const), server, incarnation, weights,
	}),
	fc.record({
		type: fc.constant('learn' as const), server, incarnation, blocks,
	}),
	fc.record({
		type: fc.constant('event' as const), server, incarnation, sequence: fc.integer({min: 1, max: 6}), stored: blocks,
	}),
	fc.record({
		type: fc.constant('restore' as const), server, incarnation, weights, blocks,
	}),
);

// What a server was said to have since it was last said to be someone else.
class Reference {
	readonly #said = new Map<string, {readonly identity: string; readonly blocks: Set<number>}>();

	take(current: Step): void {
		const held = this.#said.get(current.server);
		if (current.type === 'observe' || (current.type === 'restore' && held === undefined)) {
			const identity = `${current.incarnation} ${current.weights}`;
			const isSame = held?.identity === identity;
			this.#said.set(current.server, isSame ? held : {identity, blocks: new Set(current.type === 'restore' ? current.blocks : [])});
		} else if (held?.identity.startsWith(`${current.incarnation} `)) {
			for (const block of current.type === 'event' ? current.stored : (current.type === 'learn' ? current.blocks : [])) {
				held.blocks.add(block);
			}
		}
	}

	has(id: string, block: number): boolean {
		return this.#said.get(id)?.blocks.has(block) === true;
	}
}

test('no block of an older incarnation or of other weights is ever believed in, whatever comes late or out of order', () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
		const index = newIndex();
		const reference = new Reference();
		for (const current of steps) {
			reference.take(current);
			switch (current.type) {
				case 'observe': {
					index.observe(current.server, current.incarnation, current.weights);
					break;
				}

				case 'learn': {
					index.learn(current.server, current.incarnation, current.blocks, 0);
					break;
				}

				case 'event': {
					index.apply(current.server, {...current, removed: []}, 0);
					break;
				}

				case 'restore': {
					index.restore([{...current, weightsVersion: current.weights}], 0);
					break;
				}
			}

			for (const id of ['a', 'b']) {
				for (let block = 0; block < 10; block++) {
					assert.ok(index.match(id, [block], 0) === 0 || reference.has(id, block), `${id} is believed to have ${block}`);
				}
			}
		}
	}), {seed, numRuns: 500});
});

test('a gap in the events drops what it may have removed', () => {
	const index = newIndex();
	index.observe('a', '1', 'v1');
	index.apply('a', {
		incarnation: '1', sequence: 1, stored: [1, 2], removed: [],
	}, 0);
	assert.is(index.match('a', [1, 2], 0), 2);
	const isInSequence = index.apply('a', {
		incarnation: '1', sequence: 3, stored: [3], removed: [],
	}, 0);
	assert.not(isInSequence);
	assert.is(index.match('a', [1, 2], 0), 0);
	assert.is(index.match('a', [3], 0), 1);
});

test('a block unheard of for its lifetime is taken for evicted', () => {
	const index = newIndex();
	index.observe('a', '1', 'v1');
	index.learn('a', '1', [1], 0);
	assert.is(index.match('a', [1], lifetime), 1);
	assert.is(index.match('a', [1], lifetime + 1), 0);
});

test('the same prompt of another workspace, adapter or weights has no block in common', () => {
	const text = 'x'.repeat(256 * 20);
	const scope = {
		workspace: 'w', model: 'm', adapter: undefined, weightsVersion: 'v1',
	};
	const others = [{...scope, workspace: 'w2'}, {...scope, adapter: 'a'}, {...scope, weightsVersion: 'v2'}, {...scope, model: 'm2'}];
	const own = new Set(hashBlocks(cacheSalt(scope), text));
	for (const other of others) {
		assert.ok(hashBlocks(cacheSalt(other), text).every(block => !own.has(block)));
	}
});

test('no more blocks are kept than a server can hold; the least recently used go first', () => {
	const index = newIndex(3);
	index.observe('a', '1', 'v1');
	index.learn('a', '1', [1, 2], 0);
	index.learn('a', '1', [3, 4], 1);
	assert.is(index.size, 3);
	assert.is(index.match('a', [3, 4], 1), 2);
	assert.is(index.match('a', [1], 1), 1);
});

test.run();
