import {
	type Milliseconds, type Tokens, hashText, rendezvousWeight,
} from '@lacewingpoint/shared';
import type {PromptCacheIndex, PromptMatch, PromptPart} from './prompt-cache-index.js';

/** A server or prompt store that can hold prompt parts. */
export type PromptLocation = {readonly id: string; readonly address: string; readonly failureDomain: string};

/** A location from which parts can be fetched, and how many tokens of the prompt it holds. */
export type PromptSource = {readonly address: string; readonly failureDomain: string; readonly tokens: Tokens};

type Candidate = {readonly location: PromptLocation; readonly tokens: Tokens};

/**
 * The cached parts of one prompt among the servers that run one version of the weights. All servers are looked up once; comparing each
 * server with all others would take quadratic time.
 */
export class PromptSources {
	/** The prefix of the prompt that each server holds. */
	readonly #matches: ReadonlyMap<string, PromptMatch>;
	readonly #servers: readonly PromptLocation[];
	readonly #promptStore: PromptSource | undefined;
	/** The two servers with the longest fetchable prefixes; the second is the source for the first, which cannot fetch from itself. */
	readonly #bestServer: Candidate | undefined;
	readonly #nextBestServer: Candidate | undefined;
	readonly #owners = new Map<string, string>();

	/**
	 * @param index - The cached parts of all locations.
	 * @param prompt - The prompt to be placed.
	 * @param prompt.salt - The cache salt; parts are shared only under the same salt.
	 * @param prompt.parts - The parts of the prompt.
	 * @param servers - The servers that run the same version of the weights.
	 * @param store - The prompt store, if there is one.
	 * @param now - Current monotonic time; only parts that are already prefilled can be fetched.
	 */
	constructor(
		index: PromptCacheIndex,
		prompt: {readonly salt: string; readonly parts: readonly PromptPart[]},
		servers: readonly PromptLocation[],
		store: Omit<PromptLocation, 'id'> | undefined,
		now: Milliseconds,
	) {
		const {salt, parts} = prompt;
		this.#servers = servers;
		this.#matches = new Map(servers.map(server => [server.id, index.matchPrefix(server.id, salt, parts)]));
		const stored = store === undefined ? undefined : index.matchPrefix(store.address, salt, parts);
		this.#promptStore = store === undefined || stored === undefined || stored.tokens === 0 || stored.availableAt > now ? undefined : {...store, tokens: stored.tokens};
		let best: Candidate | undefined;
		let nextBest: Candidate | undefined;
		for (const server of servers) {
			const {tokens, availableAt} = this.#matches.get(server.id)!;
			if (tokens === 0 || availableAt > now) {
				continue;
			}

			if (best === undefined || tokens > best.tokens) {
				nextBest = best;
				best = {location: server, tokens};
			} else if (nextBest === undefined || tokens > nextBest.tokens) {
				nextBest = {location: server, tokens};
			}
		}

		this.#bestServer = best;
		this.#nextBestServer = nextBest;
	}

	/**
	 * Returns the prefix of the prompt that a server holds itself.
	 *
	 * @param server - The id of one of the servers.
	 * @returns The match; its `tokens` are 0 if the server holds no prefix.
	 */
	localMatch(server: string): PromptMatch {
		return this.#matches.get(server)!;
	}

	/**
	 * Finds the location from which a server would fetch. The prompt store is preferred to a server that holds no more, since servers
	 * are busy.
	 *
	 * @param server - The id of one of the servers.
	 * @returns The location, `undefined` when no other one holds a prefilled part.
	 */
	findSource(server: string): PromptSource | undefined {
		const other = this.#bestServer?.location.id === server ? this.#nextBestServer : this.#bestServer;
		if (other === undefined || other.tokens <= (this.#promptStore?.tokens ?? 0)) {
			return this.#promptStore;
		}

		return {address: other.location.address, failureDomain: other.location.failureDomain, tokens: other.tokens};
	}

	/**
	 * Finds the server that is to prefill a part which no location holds, by rendezvous hashing.
	 *
	 * @param part - A part of the prompt.
	 * @returns The server's id, the same on every host.
	 */
	findOwner(part: PromptPart): string {
		const known = this.#owners.get(part.id);
		if (known !== undefined) {
			return known;
		}

		const key = hashText(part.id);
		let owner = '';
		let highest = -1;
		for (const {id} of this.#servers) {
			const weight = rendezvousWeight(key, id);
			if (weight > highest) {
				highest = weight;
				owner = id;
			}
		}

		this.#owners.set(part.id, owner);
		return owner;
	}
}
