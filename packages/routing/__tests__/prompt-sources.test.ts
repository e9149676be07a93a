import {hashText, rendezvousWeight} from '@lacewingpoint/shared';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type PromptPart, type PromptSource, type PromptLocation, PromptCacheIndex, PromptSources,
} from '../src/index.js';

const test = suite('sources of prompt parts');

const now = 1000;
const store = {address: 'store', failureDomain: 'x'};
const parts: readonly PromptPart[] = [{id: 'instructions', tokens: 2000}, {id: 'document', tokens: 4000}, {id: 'case', tokens: 100}];
const rowsOf = (count: number): PromptLocation[] => Array.from({length: count}, (_, index) => ({id: `s${index}`, address: `address of s${index}`, failureDomain: index % 2 === 0 ? 'a' : 'b'}));

// Every server compared with every other one, as the placement did before.
function plainSource(index: PromptCacheIndex, rows: readonly PromptLocation[], server: string): PromptSource | undefined {
	let best: PromptSource | undefined;
	const places = [{id: 'store', ...store}, ...rows.filter(row => row.id !== server)];
	for (const {id, address, failureDomain} of places) {
		const match = index.matchPrefix(id, 'salt', parts);
		if (match.tokens > (best?.tokens ?? 0) && match.availableAt <= now) {
			best = {address, failureDomain, tokens: match.tokens};
		}
	}

	return best;
}

test('finds for every server what a comparison with every other one finds', () => {
	const held = fc.record({count: fc.nat({max: 3}), isReady: fc.boolean()});
	fc.assert(fc.property(fc.array(held, {minLength: 1, maxLength: 9}), held, (servers, stored) => {
		const index = new PromptCacheIndex();
		const rows = rowsOf(servers.length);
		for (const [place, {count, isReady}] of [...servers.map((entry, number) => [rows[number]!.id, entry] as const), ['store', stored] as const]) {
			index.recordParts(place, 'salt', parts.slice(0, count), isReady ? now - 1 : now + 500);
		}

		const sources = new PromptSources(index, {salt: 'salt', parts}, rows, store, now);
		for (const row of rows) {
			assert.equal(sources.findSource(row.id), plainSource(index, rows, row.id));
			assert.equal(sources.localMatch(row.id), index.matchPrefix(row.id, 'salt', parts));
		}
	}), {seed: 4731, numRuns: 1000});
});

test('a part has one home among the servers, the same however they are listed', () => {
	const rows = rowsOf(13);
	const homes = [rows, rows.toReversed()].map(listed => new PromptSources(new PromptCacheIndex(), {salt: 'salt', parts}, listed, undefined, now).findOwner(parts[1]!));
	const weights = rows.map(row => rendezvousWeight(hashText('document'), row.id));
	const expected = rows[weights.indexOf(Math.max(...weights))]!.id;
	assert.equal(homes, [expected, expected]);
});

test.run();
