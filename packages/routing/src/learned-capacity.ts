import type {Milliseconds} from '@lacewingpoint/shared';
import type {ServerProcess} from './server-notices.js';

export type LearnedCapacityOptions = {
	/** Time after which a learned capacity is raised by one request; doubles each time the server asks for rest again. */
	readonly growthInterval: Milliseconds;
	readonly longestGrowthInterval: Milliseconds;
};

/** The options for use in production. */
export const defaultLearnedCapacityOptions: LearnedCapacityOptions = {growthInterval: 10_000, longestGrowthInterval: 60_000};

type Capacity = {readonly incarnation: string; readonly requests: number; readonly learnedAt: Milliseconds; readonly growthInterval: Milliseconds};

/**
 * The requests that servers take at the same time, learned from those that they turn away with a request for rest. Designed for an overload
 * of all servers of a service: a host that sends as much again after the rest would lose them for most of the time.
 */
export class LearnedCapacity {
	readonly #options: LearnedCapacityOptions;
	readonly #capacities = new Map<string, Capacity>();

	constructor(options: LearnedCapacityOptions) {
		this.#options = options;
	}

	/**
	 * Records that a server has turned a request away and asked for rest.
	 *
	 * @param server - The process.
	 * @param requests - The requests in flight at the server, the rejected one included.
	 * @param now - Current monotonic time.
	 */
	recordRejection({id, incarnation}: ServerProcess, requests: number, now: Milliseconds): void {
		const known = this.#capacities.get(id);
		const previous = known?.incarnation === incarnation ? known : undefined;
		const limit = previous === undefined ? Number.POSITIVE_INFINITY : this.#grownLimit(previous, now);
		const hasGrown = previous !== undefined && limit > previous.requests;
		const {growthInterval, longestGrowthInterval} = this.#options;
		this.#capacities.set(id, {
			incarnation,
			requests: Math.max(Math.min(limit, requests - 1), 1),
			learnedAt: now,
			growthInterval: hasGrown ? Math.min(previous.growthInterval * 2, longestGrowthInterval) : previous?.growthInterval ?? growthInterval,
		});
	}

	/**
	 * Returns how many requests a server takes at the same time.
	 *
	 * @param server - The process.
	 * @param now - Current monotonic time.
	 * @returns The limit on the requests in flight; infinite if nothing was learned.
	 */
	limit({id, incarnation}: ServerProcess, now: Milliseconds): number {
		const known = this.#capacities.get(id);
		return known?.incarnation === incarnation ? this.#grownLimit(known, now) : Number.POSITIVE_INFINITY;
	}

	/**
	 * Discards what is known of servers that are gone.
	 *
	 * @param isKnown - Whether a process is registered.
	 */
	removeUnknown(isKnown: (server: ServerProcess) => boolean): void {
		for (const [id, {incarnation}] of this.#capacities) {
			if (!isKnown({id, incarnation})) {
				this.#capacities.delete(id);
			}
		}
	}

	#grownLimit({requests, learnedAt, growthInterval}: Capacity, now: Milliseconds): number {
		return requests + Math.floor((now - learnedAt) / growthInterval);
	}
}
