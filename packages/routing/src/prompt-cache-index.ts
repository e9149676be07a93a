import type {Milliseconds, Tokens} from '@lacewingpoint/shared';

/** One part of a prompt: requests that begin with the same parts share them. */
export type PromptPart = {readonly id: string; readonly tokens: Tokens};

type Held = {tokens: Tokens; readyAt: Milliseconds};

type Location = {
	readonly held: Map<string, Held>;
	tokens: Tokens;
	capacity: Tokens;
};

/** How much of a prompt a place holds. */
export type PromptMatch = {
	readonly tokens: Tokens;
	readonly partCount: number;
	/** When the last of these parts will have been read; in the past when all of them have. */
	readonly availableAt: Milliseconds;
};

const noMatch: PromptMatch = {tokens: 0, partCount: 0, availableAt: 0};

/**
 * Which prompt parts each server and prompt store holds, as told by placements: every placement reads the whole prompt there.
 * Each place forgets the least recently used parts beyond its memory, as the servers do.
 */
export class PromptCacheIndex {
	readonly #locations = new Map<string, Location>();

	/**
	 * Sets how much a place can hold.
	 *
	 * @param place - A server's id or a store's address.
	 * @param capacity - The tokens that it keeps.
	 */
	setCapacity(place: string, capacity: Tokens): void {
		this.#location(place).capacity = capacity;
	}

	/**
	 * Matches a prompt against what a place holds; a part counts only after all before it.
	 *
	 * @param place - The server or store.
	 * @param salt - The text under which parts are shared.
	 * @param parts - The prompt.
	 * @returns The match.
	 */
	matchPrefix(place: string, salt: string, parts: readonly PromptPart[]): PromptMatch {
		const location = this.#locations.get(place);
		if (location === undefined) {
			return noMatch;
		}

		let tokens = 0;
		let count = 0;
		let readyAt = 0;
		for (const part of parts) {
			const held = location.held.get(`${salt}/${part.id}`);
			if (held === undefined) {
				break;
			}

			tokens += part.tokens;
			count++;
			readyAt = Math.max(readyAt, held.readyAt);
		}

		return {tokens, partCount: count, availableAt: readyAt};
	}

	/**
	 * Notes that a place holds a prompt or will soon.
	 *
	 * @param place - The server or store.
	 * @param salt - The text under which parts are shared.
	 * @param parts - The prompt.
	 * @param readyAt - When it will have been read.
	 */
	recordParts(place: string, salt: string, parts: readonly PromptPart[], readyAt: Milliseconds): void {
		const location = this.#location(place);
		// The first parts are touched last: a part is of no use without those before it.
		for (const part of parts.toReversed()) {
			const key = `${salt}/${part.id}`;
			const held = location.held.get(key);
			location.held.delete(key);
			location.held.set(key, {tokens: part.tokens, readyAt: Math.min(held?.readyAt ?? readyAt, readyAt)});
			location.tokens += part.tokens - (held?.tokens ?? 0);
		}

		for (const [key, held] of location.held) {
			if (location.tokens <= location.capacity) {
				return;
			}

			location.held.delete(key);
			location.tokens -= held.tokens;
		}
	}

	/**
	 * Forgets parts of a prompt that a place turned out not to hold.
	 *
	 * @param place - The server or store.
	 * @param salt - The text under which parts are shared.
	 * @param parts - The parts.
	 */
	removeParts(place: string, salt: string, parts: readonly PromptPart[]): void {
		const location = this.#locations.get(place);
		for (const part of location === undefined ? [] : parts) {
			const key = `${salt}/${part.id}`;
			location!.tokens -= location!.held.get(key)?.tokens ?? 0;
			location!.held.delete(key);
		}
	}

	/**
	 * Forgets all that a place held, as after its restart.
	 *
	 * @param place - The server or store.
	 */
	clearLocation(place: string): void {
		const location = this.#locations.get(place);
		if (location !== undefined) {
			location.held.clear();
			location.tokens = 0;
		}
	}

	/**
	 * Forgets a place that is gone.
	 *
	 * @param place - The server or store.
	 */
	removeLocation(place: string): void {
		this.#locations.delete(place);
	}

	#location(place: string): Location {
		const known = this.#locations.get(place);
		if (known !== undefined) {
			return known;
		}

		const location: Location = {held: new Map(), tokens: 0, capacity: Number.POSITIVE_INFINITY};
		this.#locations.set(place, location);
		return location;
	}
}
