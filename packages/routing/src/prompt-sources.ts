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
	readonly #failureDomains: ReadonlyMap<string, string>;
	/** The prompt stores that hold a prefilled prefix. */
	readonly #stores: readonly PromptSource[];
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
	 * @param stores - The prompt stores.
	 * @param now - Current monotonic time; only parts that are already prefilled can be fetched.
	 */
	constructor(
		index: PromptCacheIndex,
		prompt: {readonly salt: string; readonly parts: readonly PromptPart[]},
		servers: readonly PromptLocation[],
		stores: ReadonlyArray<Omit<PromptLocation, 'id'>>,
		now: Milliseconds,
	) {
		const {salt, parts} = prompt;
		this.#servers = servers;
		this.#matches = new Map(servers.map(server => [server.id, index.matchPrefix(server.id, salt, parts)]));
		this.#failureDomains = new Map(servers.map(server => [server.id, server.failureDomain]));
		this.#stores = stores.flatMap(({address, failureDomain}) => {
			const {tokens, availableAt} = index.matchPrefix(address, salt, parts);
			return tokens === 0 || availableAt > now ? [] : [{address, failureDomain, tokens}];
		});
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
	 * Finds the location from which a server would fetch. A prompt store is preferred to a server that holds no more, since servers
	 * are busy; of stores that hold as much, the one in the server's failure domain.
	 *
	 * @param server - The id of one of the servers.
	 * @returns The location, `undefined` when no other one holds a prefilled part.
	 */
	findSource(server: string): PromptSource | undefined {
		const other = this.#bestServer?.location.id === server ? this.#nextBestServer : this.#bestServer;
		const store = this.findStore(this.#failureDomains.get(server)!);
		if (other === undefined || other.tokens <= (store?.tokens ?? 0)) {
			return store;
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

	/**
	 * Finds the prompt store from which a server in a failure domain would fetch.
	 *
	 * @param failureDomain - The server's failure domain.
	 * @returns The store that holds most, `undefined` when none holds a prefilled part.
	 */
	findStore(failureDomain: string): PromptSource | undefined {
		let best: PromptSource | undefined;
		for (const store of this.#stores) {
			if (best === undefined || store.tokens > best.tokens || (store.tokens === best.tokens && store.failureDomain === failureDomain && best.failureDomain !== failureDomain)) {
				best = store;
			}
		}

		return best;
	}
}
