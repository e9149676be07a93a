import type {Milliseconds, Tokens} from '@lacewingpoint/shared';

/** What one host has under way at a server. */
export type ServerLoad = {
	readonly requests: number;
	/** Prompt tokens of requests whose first token is still to come, cached ones left out. */
	readonly prefillTokens: Tokens;
	/** Tokens that the requests may fill in the server's memory. */
	readonly memoryTokens: Tokens;
};

/** A request's weight on a server. */
export type RequestLoad = {readonly prefillTokens: Tokens; readonly memoryTokens: Tokens};

export const noLoad: ServerLoad = {requests: 0, prefillTokens: 0, memoryTokens: 0};

function add(left: ServerLoad, right: ServerLoad): ServerLoad {
	return {
		requests: left.requests + right.requests,
		prefillTokens: left.prefillTokens + right.prefillTokens,
		memoryTokens: left.memoryTokens + right.memoryTokens,
	};
}

type PeerLoads = {heardAt: Milliseconds; loads: ReadonlyMap<string, ServerLoad>};

/**
 * What all hosts have under way at each server: this host's own requests exactly, the peers' as they last told.
 * Load pattern: many hosts place at once and would herd on the server that looked empty to each of them.
 */
export class ServerLoads {
	readonly #own = new Map<string, ServerLoad>();
	readonly #peers = new Map<string, PeerLoads>();
	readonly #peerExpiry: Milliseconds;

	/**
	 * @param peerExpiry - A peer's word is used for this long.
	 */
	constructor(peerExpiry: Milliseconds) {
		this.#peerExpiry = peerExpiry;
	}

	/**
	 * Notes that a request was sent.
	 *
	 * @param server - The server.
	 * @param load - The request's weight.
	 */
	addRequest(server: string, load: RequestLoad): void {
		this.#own.set(server, add(this.localLoad(server), {requests: 1, ...load}));
	}

	/**
	 * Notes that a prompt has been read: its first token came.
	 *
	 * @param server - The server.
	 * @param prefillTokens - The request's tokens that were to be read.
	 */
	completePrefill(server: string, prefillTokens: Tokens): void {
		this.#own.set(server, add(this.localLoad(server), {requests: 0, prefillTokens: -prefillTokens, memoryTokens: 0}));
	}

	/**
	 * Notes that a request has ended.
	 *
	 * @param server - The server.
	 * @param load - What of the request's weight is left.
	 */
	removeRequest(server: string, load: RequestLoad): void {
		const left = add(this.localLoad(server), {requests: -1, prefillTokens: -load.prefillTokens, memoryTokens: -load.memoryTokens});
		if (left.requests <= 0) {
			this.#own.delete(server);
		} else {
			this.#own.set(server, left);
		}
	}

	/**
	 * Reads what this host has under way.
	 *
	 * @param server - The server.
	 * @returns This host's load there.
	 */
	localLoad(server: string): ServerLoad {
		return this.#own.get(server) ?? noLoad;
	}

	/** @returns This host's loads, for its peers. */
	localLoads(): ReadonlyMap<string, ServerLoad> {
		return this.#own;
	}

	/**
	 * Takes in a peer's loads.
	 *
	 * @param peer - The peer's name.
	 * @param loads - Its loads by server.
	 * @param now - The present moment.
	 * @param isWhole - Whether they replace what it told before; otherwise those of other servers have not changed.
	 */
	mergePeerLoads(peer: string, loads: ReadonlyMap<string, ServerLoad>, now: Milliseconds, isWhole = true): void {
		const before = isWhole ? [] : this.#peers.get(peer)?.loads ?? [];
		this.#peers.set(peer, {heardAt: now, loads: new Map([...before, ...loads])});
	}

	/**
	 * Adds up the load of all hosts.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 * @returns The load.
	 */
	totalLoad(server: string, now: Milliseconds): ServerLoad {
		let total = this.localLoad(server);
		for (const [peer, {heardAt, loads}] of this.#peers) {
			if (now - heardAt > this.#peerExpiry) {
				this.#peers.delete(peer);
				continue;
			}

			total = add(total, loads.get(server) ?? noLoad);
		}

		return total;
	}
}
