import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {estimateTokenCount, splitPrompt} from '../src/index.js';

const test = suite('prompt parts');

test('prompts share exactly the parts within their common prefix', () => {
	fc.assert(fc.property(fc.string({maxLength: 9000}), fc.string({minLength: 1, maxLength: 50}), fc.string({minLength: 1, maxLength: 50}), (prefix, left, right) => {
		const first = splitPrompt(`${prefix}<${left}`);
		const second = splitPrompt(`${prefix}>${right}`);
		let end = 0;
		for (const [index, part] of first.entries()) {
			const isShared = second[index]?.id === part.id;
			end += part.tokens * 4;
			assert.is(isShared, end <= prefix.length, `part ${index} ends at character ${end}, the common prefix at ${prefix.length}`);
		}
	}), {seed: 4714, numRuns: 200});
});

test('the token counts of the parts add up to that of the prompt', () => {
	fc.assert(fc.property(fc.string({maxLength: 40_000}), text => {
		assert.is(splitPrompt(text).reduce((sum, part) => sum + part.tokens, 0), estimateTokenCount(text));
	}), {seed: 4714, numRuns: 100});
});

test('the part list of a prompt with 100,000 tokens fits into a request header', () => {
	const parts = splitPrompt('datasheet '.repeat(40_000));
	const header = parts.map(part => `${part.id}:${part.tokens}`).join(',');
	assert.ok(header.length < 4096, `${header.length} bytes`);
});

test('an empty prompt has one part', () => {
	assert.is(splitPrompt('').length, 1);
});

test.run();
