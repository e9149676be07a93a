import type {Milliseconds} from '@lacewingpoint/shared';

/** The state of a model server that a rollout depends on. */
export type RolloutServer = {
	readonly server: string;
	readonly incarnation: string;
	readonly weightsVersion: number;
	/** Requests in flight, of all hosts. */
	readonly requests: number;
	/** The server is executing an order to load weights. */
	readonly isLoadingWeights: boolean;
	/** The server may be given an order now. */
	readonly isAvailable: boolean;
	/** The hosts have been asked to prefer other servers, so that this one becomes idle before it loads weights. */
	readonly isRolloutDraining: boolean;
};

/** The next step of a rollout. */
export type RolloutPlan = {
	/** Servers to be given an order now. */
	readonly due: readonly RolloutServer[];
	/** Servers that follow; draining them now lets them begin to load sooner. */
	readonly upcoming: readonly RolloutServer[];
};

export type RolloutOptions = {
	/** The share of all servers that may load weights at the same time. */
	readonly concurrentShare: number;
	/** An order that has had no effect for this long is given again. */
	readonly orderExpiry: Milliseconds;
};

type IssuedOrder = {readonly incarnation: string; readonly version: number; readonly givenAt: Milliseconds};

/**
 * Plans a rolling update of model weights. The servers with the oldest version go first, among them those already draining, then those
 * with the fewest requests. Only a share of the servers load at the same time, so that capacity is kept. A new target version supersedes
 * a rollout in progress.
 */
export class WeightsRollout {
	readonly #options: RolloutOptions;
	readonly #orders = new Map<string, IssuedOrder>();

	constructor(options: RolloutOptions) {
		this.#options = options;
	}

	/**
	 * Selects the servers that are to load the target version next.
	 *
	 * @param targetVersion - The version that all servers are to run.
	 * @param servers - The servers of the model.
	 * @param now - Current monotonic time.
	 * @returns The servers to be given an order now and those that follow.
	 */
	plan(targetVersion: number, servers: readonly RolloutServer[], now: Milliseconds): RolloutPlan {
		const concurrentLimit = Math.max(Math.round(servers.length * this.#options.concurrentShare), 1);
		const loadingCount = servers.filter(server => this.#isLoading(server, now)).length;
		const candidates = servers.filter(server => server.isAvailable && server.weightsVersion < targetVersion && !this.#isLoading(server, now));
		const ordered = candidates.toSorted((left, right) =>
			left.weightsVersion - right.weightsVersion || Number(right.isRolloutDraining) - Number(left.isRolloutDraining) || left.requests - right.requests);
		const freeSlots = Math.max(concurrentLimit - loadingCount, 0);
		return {due: ordered.slice(0, freeSlots), upcoming: ordered.slice(freeSlots, freeSlots + concurrentLimit)};
	}

	/**
	 * Records that an order was given: it was accepted or may have been.
	 *
	 * @param candidate - The server that the order is for.
	 * @param version - The ordered version.
	 * @param now - Current monotonic time.
	 */
	recordOrder(candidate: RolloutServer, version: number, now: Milliseconds): void {
		this.#orders.set(candidate.server, {incarnation: candidate.incarnation, version, givenAt: now});
	}

	/**
	 * Discards the order of a server, for example because the server rejected it.
	 *
	 * @param server - The server's id.
	 */
	clearOrder(server: string): void {
		this.#orders.delete(server);
	}

	/**
	 * Tells whether an order to a server is pending.
	 *
	 * @param server - The server's id.
	 * @returns Whether an order was given and has not taken effect.
	 */
	hasPendingOrder(server: string): boolean {
		return this.#orders.has(server);
	}

	#isLoading(candidate: RolloutServer, now: Milliseconds): boolean {
		const order = this.#orders.get(candidate.server);
		if (order === undefined) {
			return candidate.isLoadingWeights;
		}

		const isFinished = order.incarnation !== candidate.incarnation || candidate.weightsVersion >= order.version || now - order.givenAt > this.#options.orderExpiry;
		if (isFinished) {
			this.#orders.delete(candidate.server);
		}

		return candidate.isLoadingWeights || !isFinished;
	}
}
