import fc from 'fast-check';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import xxhash from 'xxhash-wasm';
import {hashText} from '../src/index.js';

const {h32} = await xxhash();

// Hosts of other builds compute the same owners of keys with the library.
test('hashes equal those of the xxhash-wasm library', () => {
	const text = fc.oneof(
		fc.string({maxLength: 100}),
		fc.string({unit: 'binary', maxLength: 100}),
		fc.string({unit: fc.constantFrom('a', 'é', '語', '😀', '\uD800'), minLength: 1000, maxLength: 3000}),
	);
	fc.assert(fc.property(text, fc.integer({min: 0, max: 0xFF_FF_FF_FF}), (value, seed) => {
		assert.is(hashText(value, seed), h32(value, seed));
	}), {numRuns: 1000, verbose: 1});
});

test.run();
