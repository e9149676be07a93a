import {hashText, rendezvousWeight} from '@lacewingpoint/shared';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type PromptPart, type PromptSource, type PromptLocation, PromptCacheIndex, PromptSources,
} from '../src/index.js';

const test = suite('PromptSources');

const now = 1000;
const store = {address: 'store', failureDomain: 'x'};
const parts: readonly PromptPart[] = [{id: 'instructions', tokens: 2000}, {id: 'document', tokens: 4000}, {id: 'case', tokens: 100}];
const createServers = (count: number): PromptLocation[] => Array.from({length: count}, (_, index) => ({id: `s${index}`, address: `address of s${index}`, failureDomain: index % 2 === 0 ? 'a' : 'b'}));

// The reference: compares the server with every other one.
function findSourceByComparison(index: PromptCacheIndex, servers: readonly PromptLocation[], server: string): PromptSource | undefined {
	let best: PromptSource | undefined;
	const locations = [{id: 'store', ...store}, ...servers.filter(other => other.id !== server)];
	for (const {id, address, failureDomain} of locations) {
		const match = index.matchPrefix(id, 'salt', parts);
		if (match.tokens > (best?.tokens ?? 0) && match.availableAt <= now) {
			best = {address, failureDomain, tokens: match.tokens};
		}
	}

	return best;
}

test('finds the same source as a comparison of every server with every other one', () => {
	const cacheState = fc.record({count: fc.nat({max: 3}), isReady: fc.boolean()});
	fc.assert(fc.property(fc.array(cacheState, {minLength: 1, maxLength: 9}), cacheState, (serverCaches, storeCache) => {
		const index = new PromptCacheIndex();
		const servers = createServers(serverCaches.length);
		for (const [location, {count, isReady}] of [...serverCaches.map((entry, number) => [servers[number]!.id, entry] as const), ['store', storeCache] as const]) {
			index.recordParts(location, 'salt', parts.slice(0, count), isReady ? now - 1 : now + 500);
		}

		const sources = new PromptSources(index, {salt: 'salt', parts}, servers, [store], now);
		for (const server of servers) {
			assert.equal(sources.findSource(server.id), findSourceByComparison(index, servers, server.id));
			assert.equal(sources.localMatch(server.id), index.matchPrefix(server.id, 'salt', parts));
		}
	}), {seed: 4731, numRuns: 1000});
});

test('a part has one owner among the servers, whatever their order', () => {
	const servers = createServers(13);
	const owners = [servers, servers.toReversed()].map(listed => new PromptSources(new PromptCacheIndex(), {salt: 'salt', parts}, listed, [], now).findOwner(parts[1]!));
	const weights = servers.map(server => rendezvousWeight(hashText('document'), server.id));
	const expected = servers[weights.indexOf(Math.max(...weights))]!.id;
	assert.equal(owners, [expected, expected]);
});

test.run();
