import type {Milliseconds} from '@lacewingpoint/shared';
import {rankOf} from './admission-level.js';
import {type Demand, type ServiceDemand, addDemand} from './demand.js';

/** How long what a peer announced counts in full, and when it no longer counts; in between its share falls evenly. */
export type FleetDemandOptions = {readonly freshTime: Milliseconds; readonly expiry: Milliseconds};

/** No client waits for longer than this, in seconds. */
const longestWaitSeconds = 60;

type PeerDemand = {
	readonly receivedAt: Milliseconds;
	readonly demand: Demand;
	/** When each service was announced last. */
	readonly announcedAt: ReadonlyMap<string, Milliseconds>;
};

/**
 * The demand that the peers have announced. A peer that falls silent loses its influence gradually, so that the admission changes over
 * to this host's own view without a jump.
 */
export class FleetDemand {
	readonly #options: FleetDemandOptions;
	readonly #peers = new Map<string, PeerDemand>();
	#localSource: (() => Demand) | undefined;

	constructor(options: FleetDemandOptions) {
		this.#options = options;
	}

	/**
	 * Sets the source of this host's own demand; without one, it has none.
	 *
	 * @param source - Returns the demand at present.
	 */
	setLocalSource(source: () => Demand): void {
		this.#localSource = source;
	}

	/**
	 * Merges what a peer announces: what waits replaces what it announced before, and so does the usage if it is given. A service that the
	 * peer announces no longer is forgotten, so that it does not hold back requests for good.
	 *
	 * @param peer - The peer's name.
	 * @param demand - Its demand, and that of the hosts that it reports.
	 * @param now - Current monotonic time.
	 */
	mergePeer(peer: string, demand: Demand, now: Milliseconds): void {
		const {demand: known, announcedAt: knownTimes} = this.#peers.get(peer) ?? {};
		const oldest = now - (2 * this.#options.expiry);
		const announcedAt = new Map([...knownTimes ?? []].filter(([service, time]) => time > oldest && !demand.has(service)));
		const merged = new Map([...known ?? []].filter(([service]) => announcedAt.has(service)));
		for (const [service, announced] of demand) {
			const usage = announced.usage.size > 0 ? announced.usage : known?.get(service)?.usage ?? announced.usage;
			announcedAt.set(service, now);
			merged.set(service, {waiting: selectCredible(announced.waiting, usage), usage});
		}

		this.#peers.set(peer, {receivedAt: now, demand: merged, announcedAt});
	}

	/**
	 * Records that a peer has sent a message without changes of its demand.
	 *
	 * @param peer - The peer's name.
	 * @param now - Current monotonic time.
	 */
	recordContact(peer: string, now: Milliseconds): void {
		if (this.#peers.has(peer)) {
			this.mergePeer(peer, new Map(), now);
		}
	}

	/**
	 * Sums up the demand of this host and of some peers.
	 *
	 * @param isIncluded - Whether a peer, given by name, is included.
	 * @param now - Current monotonic time.
	 * @returns The sum.
	 */
	sum(isIncluded: (peer: string) => boolean, now: Milliseconds): Demand {
		let sum: Demand = this.#localSource?.() ?? new Map<string, ServiceDemand>();
		for (const [peer, {receivedAt, demand}] of this.#peers) {
			const share = this.#shareAt(now - receivedAt);
			if (share === 0) {
				this.#peers.delete(peer);
			} else if (isIncluded(peer)) {
				sum = addDemand(sum, demand, share);
			}
		}

		return sum;
	}

	/**
	 * Forgets a peer with which state is no longer exchanged.
	 *
	 * @param peer - The peer's name.
	 */
	removePeer(peer: string): void {
		this.#peers.delete(peer);
	}

	#shareAt(age: Milliseconds): number {
		const {freshTime, expiry} = this.#options;
		return Math.min(Math.max((expiry - age) / (expiry - freshTime), 0), 1);
	}
}

// Requests that wait have arrived: what waits at a rank without arrivals, or is more than has arrived for long, is an error of the peer, and would hold back the requests of all hosts.
function selectCredible(waiting: ServiceDemand['waiting'], usage: ServiceDemand['usage']): ServiceDemand['waiting'] {
	return new Map([...waiting].filter(([level, {size}]) => {
		let offered = 0;
		for (const entry of usage.get(rankOf(level))?.values() ?? []) {
			offered += entry.offered;
		}

		return offered > 0 && size <= offered * longestWaitSeconds;
	}));
}
