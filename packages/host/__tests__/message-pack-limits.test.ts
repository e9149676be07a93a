import {decode, encode} from '@msgpack/msgpack';
import * as fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {isMessagePackWithin} from '../src/members/message-pack-limits.js';

const test = suite('MessagePack limits');

const limits = {values: 10_000, depth: 16};

test('whatever can be encoded is within limits that cover it', () => {
	const value = fc.letrec(tie => ({
		any: fc.oneof({depthSize: 'small', maxDepth: 8}, tie('leaf'), fc.array(tie('any'), {maxLength: 20}), fc.dictionary(fc.string(), tie('any'), {maxKeys: 20})),
		leaf: fc.oneof(fc.integer(), fc.double(), fc.bigInt({min: -(2n ** 63n), max: (2n ** 63n) - 1n}).map(Number), fc.boolean(), fc.string({maxLength: 300}), fc.uint8Array({maxLength: 70_000}), fc.constant(null)),
	})).any;
	fc.assert(fc.property(value, candidate => {
		assert.ok(isMessagePackWithin(encode(candidate), limits));
	}), {seed: 56, numRuns: 500});
});

test('bytes that are accepted do not make the decoder allocate more than they cover', () => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
		if (isMessagePackWithin(bytes, limits)) {
			try {
				decode(bytes);
			} catch (error) {
				// A key that is no string, or bytes that are no text.
				assert.ok(error instanceof Error);
			}
		}
	}), {seed: 56, numRuns: 5000});
});

test('lengths that no bytes cover, and too many levels or values, are found', () => {
	assert.not.ok(isMessagePackWithin(Uint8Array.of(0xDD, 0x01, 0xC9, 0xC3, 0x80), limits));
	assert.not.ok(isMessagePackWithin(Uint8Array.of(0xDF, 0xFF, 0xFF, 0xFF, 0xFF), limits));
	assert.not.ok(isMessagePackWithin(Uint8Array.of(0xDC), limits));
	assert.not.ok(isMessagePackWithin(Uint8Array.of(0xC1), limits));
	assert.not.ok(isMessagePackWithin(new Uint8Array(0), limits));
	assert.not.ok(isMessagePackWithin(new Uint8Array(1000).fill(0x91), limits));
	assert.not.ok(isMessagePackWithin(encode(Array.from({length: 10_001}, () => 1)), limits));
	let nested: unknown = 1;
	for (let depth = 1; depth < limits.depth; depth++) {
		nested = [nested];
	}

	assert.ok(isMessagePackWithin(encode(nested), limits));
	assert.not.ok(isMessagePackWithin(encode([nested]), limits));
});

test.run();
