import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {estimateTokenCount, splitPrompt} from '../src/index.js';

const test = suite('parts of a prompt');

test('prompts share exactly the parts that lie within their common beginning', () => {
	fc.assert(fc.property(fc.string({maxLength: 9000}), fc.string({minLength: 1, maxLength: 50}), fc.string({minLength: 1, maxLength: 50}), (shared, left, right) => {
		const first = splitPrompt(`${shared}<${left}`);
		const second = splitPrompt(`${shared}>${right}`);
		let end = 0;
		for (const [index, part] of first.entries()) {
			const isShared = second[index]?.id === part.id;
			end += part.tokens * 4;
			assert.is(isShared, end <= shared.length, `part ${index} ends at character ${end} of ${shared.length}`);
		}
	}), {seed: 4714, numRuns: 200});
});

test('parts count all tokens of a prompt, once each', () => {
	fc.assert(fc.property(fc.string({maxLength: 40_000}), text => {
		assert.is(splitPrompt(text).reduce((sum, part) => sum + part.tokens, 0), estimateTokenCount(text));
	}), {seed: 4714, numRuns: 100});
});

test('the parts of a prompt of a hundred thousand tokens fit a request\'s headers', () => {
	const parts = splitPrompt('datasheet '.repeat(40_000));
	const header = parts.map(part => `${part.id}:${part.tokens}`).join(',');
	assert.ok(header.length < 4096, `${header.length} bytes`);
});

test('an empty prompt has one part', () => {
	assert.is(splitPrompt('').length, 1);
});

test.run();
