import {
	type Milliseconds, type Tokens, hashText, rendezvousWeight,
} from '@lacewingpoint/shared';
import type {PromptCacheIndex, PromptMatch, PromptPart} from './prompt-cache-index.js';

/** A place that can hold prompt parts. */
export type PromptLocation = {readonly id: string; readonly address: string; readonly failureDomain: string};

/** A place from which parts can be fetched, and how many tokens of the prompt it holds. */
export type PromptSource = {readonly address: string; readonly failureDomain: string; readonly tokens: Tokens};

type Candidate = {readonly row: PromptLocation; readonly tokens: Tokens};

/**
 * Where the parts of one prompt lie among the servers of one version of the weights. Everything is looked up once for all of them:
 * a comparison of every server with every other one would grow with their square.
 */
export class PromptSources {
	/** What each server holds of the whole prompt. */
	readonly #matches: ReadonlyMap<string, PromptMatch>;
	readonly #rows: readonly PromptLocation[];
	readonly #store: PromptSource | undefined;
	/** The server that holds most and can be fetched from, and the next one: the first is no source for itself. */
	readonly #best: Candidate | undefined;
	readonly #nextBest: Candidate | undefined;
	readonly #homes = new Map<string, string>();

	/**
	 * @param index - What is known of all places.
	 * @param prompt - The prompt and the text under which its parts are shared.
	 * @param prompt.salt - The text.
	 * @param prompt.parts - The parts.
	 * @param rows - The servers that run one version of the weights.
	 * @param store - The prompt store, if there is one.
	 * @param now - The present moment: only parts that have been read can be fetched.
	 */
	constructor(index: PromptCacheIndex, prompt: {readonly salt: string; readonly parts: readonly PromptPart[]}, rows: readonly PromptLocation[], store: Omit<PromptLocation, 'id'> | undefined, now: Milliseconds) {
		const {salt, parts} = prompt;
		this.#rows = rows;
		this.#matches = new Map(rows.map(row => [row.id, index.matchPrefix(row.id, salt, parts)]));
		const stored = store === undefined ? undefined : index.matchPrefix(store.address, salt, parts);
		this.#store = store === undefined || stored === undefined || stored.tokens === 0 || stored.availableAt > now ? undefined : {...store, tokens: stored.tokens};
		let best: Candidate | undefined;
		let nextBest: Candidate | undefined;
		for (const row of rows) {
			const {tokens, availableAt: readyAt} = this.#matches.get(row.id)!;
			if (tokens === 0 || readyAt > now) {
				continue;
			}

			if (best === undefined || tokens > best.tokens) {
				nextBest = best;
				best = {row, tokens};
			} else if (nextBest === undefined || tokens > nextBest.tokens) {
				nextBest = {row, tokens};
			}
		}

		this.#best = best;
		this.#nextBest = nextBest;
	}

	/**
	 * Reads what a server holds itself.
	 *
	 * @param server - The server.
	 * @returns The match.
	 */
	localMatch(server: string): PromptMatch {
		return this.#matches.get(server)!;
	}

	/**
	 * Finds the place from which a server would fetch; the store goes first among equals, since servers are busy.
	 *
	 * @param server - The server.
	 * @returns The place; nothing when no other one holds anything that has been read.
	 */
	findSource(server: string): PromptSource | undefined {
		const other = this.#best?.row.id === server ? this.#nextBest : this.#best;
		if (other === undefined || other.tokens <= (this.#store?.tokens ?? 0)) {
			return this.#store;
		}

		return {address: other.row.address, failureDomain: other.row.failureDomain, tokens: other.tokens};
	}

	/**
	 * Finds the server at which a part that nobody holds is to be read.
	 *
	 * @param part - The part.
	 * @returns The server, the same on every host.
	 */
	findOwner(part: PromptPart): string {
		const known = this.#homes.get(part.id);
		if (known !== undefined) {
			return known;
		}

		const key = hashText(part.id);
		let home = '';
		let highest = -1;
		for (const {id} of this.#rows) {
			const weight = rendezvousWeight(key, id);
			if (weight > highest) {
				highest = weight;
				home = id;
			}
		}

		this.#homes.set(part.id, home);
		return home;
	}
}
