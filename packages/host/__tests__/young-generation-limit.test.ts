import {execFileSync} from 'node:child_process';
import {bytesPerMebibyte} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {YoungGenerationLimit} from '../src/overload/young-generation-limit.js';

const test = suite('YoungGenerationLimit');

test('the growth is stopped once, as soon as the share of the memory is reached', () => {
	let size = 2 * bytesPerMebibyte;
	let stops = 0;
	const limit = new YoungGenerationLimit(80 * bytesPerMebibyte, {
		measureNewSpace: () => size,
		stopGrowth() {
			stops++;
		},
	});
	limit.review();
	assert.is(stops, 0);
	size = 8 * bytesPerMebibyte;
	limit.review();
	limit.review();
	assert.is(stops, 1);
});

// Replaying a burst: each object lives for some time, so that V8 would let the space grow to its maximum.
const burst = (review: string) => `
	import {getHeapSpaceStatistics} from 'node:v8';
	import {YoungGenerationLimit} from ${JSON.stringify(new URL('../src/overload/young-generation-limit.ts', import.meta.url).href)};
	const limit = new YoungGenerationLimit(${80 * bytesPerMebibyte});
	const kept = [];
	let largest = 0;
	for (let index = 0; index < 2e6; index++) {
		kept[index % 1e5] = {index, list: [index]};
		if (index % 1e4 === 0) {
			${review}
			largest = Math.max(largest, getHeapSpaceStatistics().find(space => space.space_name === 'new_space').space_size);
		}
	}

	process.stdout.write(String(largest));
`;

test('V8 keeps to it during a burst of allocations', () => {
	const measure = (review: string) => Number(execFileSync(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', burst(review)], {encoding: 'utf8'}));
	assert.ok(measure('') > 16 * bytesPerMebibyte);
	assert.ok(measure('limit.review();') <= 16 * bytesPerMebibyte);
});

test.run();
