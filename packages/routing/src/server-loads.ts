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

type PeerLoads = {receivedAt: Milliseconds; readonly loads: Map<string, ServerLoad>};

/**
 * Compares two loads.
 *
 * @param left - A load.
 * @param right - Another load.
 * @returns Whether they are equal.
 */
export function isSameLoad(left: ServerLoad, right: ServerLoad): boolean {
	return left.requests === right.requests && left.prefillTokens === right.prefillTokens && left.memoryTokens === right.memoryTokens;
}

/**
 * The load of each server over all hosts: this host's own requests exactly, those of the peers as of their last message. Without the
 * peers' loads, hosts that place requests at the same time would all choose the server that looks idle to each of them.
 */
export class ServerLoads {
	readonly #localLoads = new Map<string, ServerLoad>();
	readonly #peerLoads = new Map<string, PeerLoads>();
	/** Sums over the peers by server, as far as they were needed since they last changed. */
	readonly #peerTotals = new Map<string, ServerLoad>();
	readonly #peerExpiry: Milliseconds;
	/** No peer's last message is older. */
	#oldestMessageAt: Milliseconds = Number.POSITIVE_INFINITY;

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
	 * @returns Whether the peer's loads have changed.
	 */
	mergePeerLoads(peer: string, loads: ReadonlyMap<string, ServerLoad>, now: Milliseconds, isFullState = true): boolean {
		const known = this.#peerLoads.get(peer);
		this.#oldestMessageAt = Math.min(this.#oldestMessageAt, now);
		if (known === undefined) {
			this.#peerLoads.set(peer, {receivedAt: now, loads: new Map(loads)});
			this.#discardTotals(loads);
			return loads.size > 0;
		}

		known.receivedAt = now;
		let hasChanged = false;
		for (const [server, load] of loads) {
			if (!isSameLoad(known.loads.get(server) ?? noLoad, load)) {
				hasChanged = true;
				this.#peerTotals.delete(server);
			}

			known.loads.set(server, load);
		}

		if (isFullState && known.loads.size > loads.size) {
			for (const server of known.loads.keys()) {
				if (!loads.has(server)) {
					hasChanged = true;
					known.loads.delete(server);
					this.#peerTotals.delete(server);
				}
			}
		}

		return hasChanged;
	}

	/**
	 * Sums up the loads of this host and of some peers: what a relay reports to others on behalf of its members.
	 *
	 * @param isIncluded - Whether the loads of a peer, given by name, are included.
	 * @param now - Current monotonic time.
	 * @returns The sums by server.
	 */
	sumLoads(isIncluded: (peer: string) => boolean, now: Milliseconds): Map<string, ServerLoad> {
		const sums = new Map(this.#localLoads);
		for (const [peer, {receivedAt, loads}] of this.#peerLoads) {
			if (now - receivedAt <= this.#peerExpiry && isIncluded(peer)) {
				for (const [server, load] of loads) {
					sums.set(server, addLoads(sums.get(server) ?? noLoad, load));
				}
			}
		}

		return sums;
	}

	/**
	 * Subtracts the loads that a peer sent from sums that include them.
	 *
	 * @param sums - Sums by server.
	 * @param peer - The peer's name.
	 * @returns The sums without the peer's loads.
	 */
	subtractPeerLoads(sums: ReadonlyMap<string, ServerLoad>, peer: string): ReadonlyMap<string, ServerLoad> {
		const loads = this.#peerLoads.get(peer)?.loads;
		if (loads === undefined || loads.size === 0) {
			return sums;
		}

		const rest = new Map(sums);
		for (const [server, load] of loads) {
			const sum = rest.get(server);
			if (sum !== undefined) {
				rest.set(server, addLoads(sum, {requests: -load.requests, prefillTokens: -load.prefillTokens, memoryTokens: -load.memoryTokens}));
			}
		}

		return rest;
	}

	/**
	 * Forgets the loads of a peer with which state is no longer exchanged; another peer reports them from now on.
	 *
	 * @param peer - The peer's name.
	 */
	removePeer(peer: string): void {
		this.#discardTotals(this.#peerLoads.get(peer)?.loads);
		this.#peerLoads.delete(peer);
	}

	/**
	 * Sums the load of all hosts at a server; drops peers whose last message is too old.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 * @returns The total load.
	 */
	totalLoad(server: string, now: Milliseconds): ServerLoad {
		if (now - this.#oldestMessageAt > this.#peerExpiry) {
			this.#removeExpiredPeers(now);
		}

		if (this.#peerLoads.size === 0) {
			return this.localLoad(server);
		}

		const peerTotal = this.#peerTotals.get(server) ?? this.#sumPeerLoads(server);
		const localLoad = this.#localLoads.get(server);
		return localLoad === undefined ? peerTotal : addLoads(localLoad, peerTotal);
	}

	#sumPeerLoads(server: string): ServerLoad {
		let total = noLoad;
		for (const {loads} of this.#peerLoads.values()) {
			const load = loads.get(server);
			if (load !== undefined) {
				total = addLoads(total, load);
			}
		}

		this.#peerTotals.set(server, total);
		return total;
	}

	#removeExpiredPeers(now: Milliseconds): void {
		this.#oldestMessageAt = Number.POSITIVE_INFINITY;
		// Also forgets servers that are no longer listed.
		this.#peerTotals.clear();
		for (const [peer, {receivedAt}] of this.#peerLoads) {
			if (now - receivedAt > this.#peerExpiry) {
				this.#peerLoads.delete(peer);
			} else {
				this.#oldestMessageAt = Math.min(this.#oldestMessageAt, receivedAt);
			}
		}
	}

	#discardTotals(loads: ReadonlyMap<string, ServerLoad> = new Map()): void {
		for (const server of loads.keys()) {
			this.#peerTotals.delete(server);
		}
	}
}
