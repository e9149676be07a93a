import type {Milliseconds, Tokens} from '@lacewingpoint/shared';

/** The requests in flight at a server, of one host or of all. */
export type ServerLoad = {
	readonly requests: number;
	/** Prompt tokens still to be prefilled: the uncached ones of requests whose first token has not arrived. */
	readonly prefillTokens: Tokens;
	/** The estimated use of the server's KV cache by the requests. */
	readonly memoryTokens: Tokens;
};

/** The load that one request adds to a server. */
export type RequestLoad = {readonly prefillTokens: Tokens; readonly memoryTokens: Tokens};

export const noLoad: ServerLoad = {requests: 0, prefillTokens: 0, memoryTokens: 0};

function addLoads(left: ServerLoad, right: ServerLoad): ServerLoad {
	return {
		requests: left.requests + right.requests,
		prefillTokens: left.prefillTokens + right.prefillTokens,
		memoryTokens: left.memoryTokens + right.memoryTokens,
	};
}

type PeerLoads = {receivedAt: Milliseconds; loads: ReadonlyMap<string, ServerLoad>};

/**
 * The load of each server over all hosts: this host's own requests exactly, those of the peers as of their last message. Without the
 * peers' loads, hosts that place requests at the same time would all choose the server that looks idle to each of them.
 */
export class ServerLoads {
	readonly #localLoads = new Map<string, ServerLoad>();
	readonly #peerLoads = new Map<string, PeerLoads>();
	readonly #peerExpiry: Milliseconds;

	/**
	 * @param peerExpiry - How long the loads of a peer are counted after its last message.
	 */
	constructor(peerExpiry: Milliseconds) {
		this.#peerExpiry = peerExpiry;
	}

	/**
	 * Adds a request that was sent.
	 *
	 * @param server - The server's id.
	 * @param load - The request's load.
	 */
	addRequest(server: string, load: RequestLoad): void {
		this.#localLoads.set(server, addLoads(this.localLoad(server), {requests: 1, ...load}));
	}

	/**
	 * Subtracts the prefill of a request whose first token has arrived.
	 *
	 * @param server - The server's id.
	 * @param prefillTokens - The tokens that were to be prefilled for the request.
	 */
	completePrefill(server: string, prefillTokens: Tokens): void {
		this.#localLoads.set(server, addLoads(this.localLoad(server), {requests: 0, prefillTokens: -prefillTokens, memoryTokens: 0}));
	}

	/**
	 * Removes a request that has ended.
	 *
	 * @param server - The server's id.
	 * @param load - The part of the request's load that is still counted.
	 */
	removeRequest(server: string, load: RequestLoad): void {
		const remaining = addLoads(this.localLoad(server), {requests: -1, prefillTokens: -load.prefillTokens, memoryTokens: -load.memoryTokens});
		if (remaining.requests <= 0) {
			this.#localLoads.delete(server);
		} else {
			this.#localLoads.set(server, remaining);
		}
	}

	/**
	 * Returns the load of this host's own requests.
	 *
	 * @param server - The server's id.
	 * @returns This host's load at the server.
	 */
	localLoad(server: string): ServerLoad {
		return this.#localLoads.get(server) ?? noLoad;
	}

	/** @returns This host's loads by server, to be sent to its peers. */
	localLoads(): ReadonlyMap<string, ServerLoad> {
		return this.#localLoads;
	}

	/**
	 * Merges the loads that a peer sent.
	 *
	 * @param peer - The peer's name.
	 * @param loads - The peer's loads by server.
	 * @param now - Current monotonic time.
	 * @param isFullState - Whether `loads` replaces all earlier loads of the peer; otherwise the loads of other servers are unchanged.
	 */
	mergePeerLoads(peer: string, loads: ReadonlyMap<string, ServerLoad>, now: Milliseconds, isFullState = true): void {
		const previous = isFullState ? [] : this.#peerLoads.get(peer)?.loads ?? [];
		this.#peerLoads.set(peer, {receivedAt: now, loads: new Map([...previous, ...loads])});
	}

	/**
	 * Sums the load of all hosts at a server; drops peers whose last message is too old.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 * @returns The total load.
	 */
	totalLoad(server: string, now: Milliseconds): ServerLoad {
		let total = this.localLoad(server);
		for (const [peer, {receivedAt, loads}] of this.#peerLoads) {
			if (now - receivedAt > this.#peerExpiry) {
				this.#peerLoads.delete(peer);
				continue;
			}

			total = addLoads(total, loads.get(server) ?? noLoad);
		}

		return total;
	}
}
