import {rankByRendezvous} from '@lacewingpoint/shared';
import type {ServerRow} from './server-table.js';

/**
 * Picks the servers that a workspace's requests for a model use: stable, the same on every router, spread over failure
 * domains, and overlapping with the subsets of other workspaces.
 *
 * @param key - The workspace and model.
 * @param servers - All servers of the model.
 * @param size - The most servers to pick.
 * @returns The subset; all of them when they are few.
 */
export function chooseSubset(key: string, servers: readonly ServerRow[], size: number): ServerRow[] {
	if (servers.length <= size) {
		return [...servers];
	}

	const byId = new Map(servers.map(row => [row.description.id, row]));
	const ranked = rankByRendezvous(key, [...byId.keys()]).map(id => byId.get(id)!);
	return spreadOverDomains(ranked, row => row.description.failureDomain).slice(0, size);
}

/**
 * Reorders a ranking so that failure domains take turns.
 *
 * @param ranked - The ranking.
 * @param domainOf - Tells an item's failure domain.
 * @returns The best of each domain first, then the second best of each, and so on.
 */
export function spreadOverDomains<Item>(ranked: readonly Item[], domainOf: (item: Item) => string): Item[] {
	const places = new Map<string, number>();
	const turns = ranked.map((item, rank) => {
		const domain = domainOf(item);
		const turn = places.get(domain) ?? 0;
		places.set(domain, turn + 1);
		return {item, rank, turn};
	});
	return turns
		.toSorted((left, right) => left.turn - right.turn || left.rank - right.rank)
		.map(entry => entry.item);
}
