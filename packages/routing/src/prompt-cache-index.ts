import type {Milliseconds, Tokens} from '@lacewingpoint/shared';

/** One part of a prompt. Requests whose prompts begin with the same parts share the cached ones. */
export type PromptPart = {readonly id: string; readonly tokens: Tokens};

type CachedPart = {tokens: Tokens; availableAt: Milliseconds};

type LocationCache = {
	/** By salt and part, least recently used first. */
	readonly cachedParts: Map<string, CachedPart>;
	tokens: Tokens;
	capacity: Tokens;
};

/** The prefix of a prompt that a location holds. */
export type PromptMatch = {
	readonly tokens: Tokens;
	readonly partCount: number;
	/** The monotonic time at which the last of these parts will have been prefilled; in the past when all of them are. */
	readonly availableAt: Milliseconds;
};

const noMatch: PromptMatch = {tokens: 0, partCount: 0, availableAt: 0};

/**
 * Tracks which prompt parts each server and prompt store holds. The index is derived from placements, each of which prefills the whole
 * prompt at its server. Like the servers, it evicts the least recently used parts of a location beyond its capacity.
 */
export class PromptCacheIndex {
	readonly #caches = new Map<string, LocationCache>();

	/**
	 * Sets the capacity of a location.
	 *
	 * @param location - The server's id or the prompt store's address.
	 * @param capacity - The tokens that the location can hold.
	 */
	setCapacity(location: string, capacity: Tokens): void {
		this.#getCache(location).capacity = capacity;
	}

	/**
	 * Finds the longest prefix of a prompt that a location holds.
	 *
	 * @param location - The server's id or the prompt store's address.
	 * @param salt - The cache salt; parts are shared only under the same salt.
	 * @param parts - The parts of the prompt.
	 * @returns The match; empty for an unknown location.
	 */
	matchPrefix(location: string, salt: string, parts: readonly PromptPart[]): PromptMatch {
		const cache = this.#caches.get(location);
		if (cache === undefined) {
			return noMatch;
		}

		let tokens = 0;
		let partCount = 0;
		let availableAt = 0;
		for (const part of parts) {
			const cachedPart = cache.cachedParts.get(`${salt}/${part.id}`);
			if (cachedPart === undefined) {
				break;
			}

			tokens += part.tokens;
			partCount++;
			availableAt = Math.max(availableAt, cachedPart.availableAt);
		}

		return {tokens, partCount, availableAt};
	}

	/**
	 * Records that a location holds a prompt or will hold it.
	 *
	 * @param location - The server's id or the prompt store's address.
	 * @param salt - The cache salt; parts are shared only under the same salt.
	 * @param parts - The parts of the prompt.
	 * @param availableAt - The monotonic time at which the prompt will have been prefilled.
	 */
	recordParts(location: string, salt: string, parts: readonly PromptPart[], availableAt: Milliseconds): void {
		const cache = this.#getCache(location);
		// The first parts are touched last, so that they are evicted last: a part is useless without those before it.
		for (const part of parts.toReversed()) {
			const key = `${salt}/${part.id}`;
			const cachedPart = cache.cachedParts.get(key);
			cache.cachedParts.delete(key);
			cache.cachedParts.set(key, {tokens: part.tokens, availableAt: Math.min(cachedPart?.availableAt ?? availableAt, availableAt)});
			cache.tokens += part.tokens - (cachedPart?.tokens ?? 0);
		}

		for (const [key, cachedPart] of cache.cachedParts) {
			if (cache.tokens <= cache.capacity) {
				return;
			}

			cache.cachedParts.delete(key);
			cache.tokens -= cachedPart.tokens;
		}
	}

	/**
	 * Removes parts of a prompt that a location turned out not to hold.
	 *
	 * @param location - The server's id or the prompt store's address.
	 * @param salt - The cache salt; parts are shared only under the same salt.
	 * @param parts - The parts to remove, of one prompt.
	 */
	removeParts(location: string, salt: string, parts: readonly PromptPart[]): void {
		const cache = this.#caches.get(location);
		for (const part of cache === undefined ? [] : parts) {
			const key = `${salt}/${part.id}`;
			cache!.tokens -= cache!.cachedParts.get(key)?.tokens ?? 0;
			cache!.cachedParts.delete(key);
		}
	}

	/**
	 * Removes all parts of a location, for example after its restart, but keeps its capacity.
	 *
	 * @param location - The server's id or the prompt store's address.
	 */
	clearLocation(location: string): void {
		const cache = this.#caches.get(location);
		if (cache !== undefined) {
			cache.cachedParts.clear();
			cache.tokens = 0;
		}
	}

	/**
	 * Removes a location that no longer exists.
	 *
	 * @param location - The server's id or the prompt store's address.
	 */
	removeLocation(location: string): void {
		this.#caches.delete(location);
	}

	#getCache(location: string): LocationCache {
		const known = this.#caches.get(location);
		if (known !== undefined) {
			return known;
		}

		const cache: LocationCache = {cachedParts: new Map(), tokens: 0, capacity: Number.POSITIVE_INFINITY};
		this.#caches.set(location, cache);
		return cache;
	}
}
