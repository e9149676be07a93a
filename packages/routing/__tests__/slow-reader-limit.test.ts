import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SlowReaderLimit} from '../src/index.js';

const test = suite('slow reader limit');

const stallTime = 10_000;

// Reviews once a second clients that read at constant rates; returns when each was closed and why.
function readAt(rates: Readonly<Record<string, number>>, {heldBytes, totalBytes, seconds}: {readonly heldBytes: number; readonly totalBytes: number; readonly seconds: number}): Record<string, string> {
	const limit = new SlowReaderLimit<string>({totalBytes, slowestRate: 64});
	const closed: Record<string, string> = {};
	for (let second = 0; second <= seconds; second++) {
		const open = Object.entries(rates).filter(([key]) => closed[key] === undefined);
		for (const {key, reason} of limit.review(open.map(([key, rate]) => ({key, heldBytes, sentBytes: rate * second})), stallTime, second * 1000)) {
			closed[key] = `${reason} after ${second} s`;
		}
	}

	return closed;
}

test('clients that read nothing, or a byte now and then, are closed; a slow one that goes on reading is not', () => {
	const closed = readAt({
		none: 0, bytes: 1, slow: 200, fast: 100_000,
	}, {heldBytes: 80_000, totalBytes: 1_000_000, seconds: 120});
	assert.equal(closed, {none: 'stalled after 10 s', bytes: 'stalled after 10 s'});
});

test('two hundred slow clients: no more is held for them than the limit, and the slowest go first', () => {
	const rates = Object.fromEntries(Array.from({length: 200}, (_, index) => [`client ${index}`, 100 + index]));
	const closed = readAt(rates, {heldBytes: 80_000, totalBytes: 8_000_000, seconds: 5});
	assert.is(Object.keys(closed).length, 100);
	assert.ok(Object.values(closed).every(reason => reason.startsWith('memory')));
	const later = readAt(rates, {heldBytes: 80_000, totalBytes: 16_000_000, seconds: 60});
	assert.equal(later, {});
});

test('a client that has caught up begins anew', () => {
	const limit = new SlowReaderLimit<string>({totalBytes: 1000, slowestRate: 64});
	const held = [{key: 'a', heldBytes: 10, sentBytes: 0}];
	assert.equal(limit.review(held, stallTime, 0), []);
	assert.equal(limit.review([], stallTime, 5000), []);
	assert.equal(limit.review(held, stallTime, 11_000), []);
	assert.is(limit.review(held, stallTime, 21_000)[0]?.reason, 'stalled');
});

test.run();
