import * as fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {hasValuesWithin} from '../src/json-size.js';

const test = suite('size of JSON');

const encode = (text: string) => new TextEncoder().encode(text);

function countValues(value: unknown): number {
	if (Array.isArray(value)) {
		return value.reduce<number>((sum, element) => sum + countValues(element), 1);
	}

	return typeof value === 'object' && value !== null ? Object.values(value).reduce<number>((sum, element) => sum + countValues(element) + 1, 1) : 1;
}

test('a text with more values than the limit is found, whatever its strings contain', () => {
	fc.assert(fc.property(fc.jsonValue({depthSize: 'medium'}), value => {
		const count = countValues(value);
		assert.not.ok(count > 1 && hasValuesWithin(encode(JSON.stringify(value)), (count / 2) - 1));
		assert.ok(hasValuesWithin(encode(JSON.stringify(value)), count * 2));
	}), {seed: 56, numRuns: 500});
});

test('structural characters within strings do not count', () => {
	assert.ok(hasValuesWithin(encode(String.raw`{"a":"[[[[,,,,\"[[[[\\"}`), 3));
	assert.not.ok(hasValuesWithin(encode('[{},{},{}]'), 4));
	assert.ok(hasValuesWithin(encode(String.raw`"\"`), 1));
});

test.run();
