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
