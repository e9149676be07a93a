import type {Milliseconds} from '@lacewingpoint/shared';

/** A model server as the roll-out sees it. */
export type RolloutServer = {
	readonly server: string;
	readonly incarnation: string;
	readonly weightsVersion: number;
	/** Requests under way there. */
	readonly requests: number;
	/** An order is under way there, as the server says. */
	readonly isLoadingWeights: boolean;
	/** It can be reached. */
	readonly isAvailable: boolean;
	/** The hosts have been asked to send it no more. */
	readonly isRolloutDraining: boolean;
};

/** What a roll-out does next. */
export type RolloutPlan = {
	/** Servers to order now. */
	readonly due: readonly RolloutServer[];
	/** Servers to order after those; with fewer requests under way by then, their loads begin sooner. */
	readonly upcoming: readonly RolloutServer[];
};

export type RolloutOptions = {
	/** Servers that load weights at once, as a share of all. */
	readonly concurrentShare: number;
	/** An order without effect is given again after this long. */
	readonly orderExpiry: Milliseconds;
};

type GivenOrder = {readonly incarnation: string; readonly version: number; readonly at: Milliseconds};

/**
 * Decides which servers load new weights next: the emptiest first, few at once, so that capacity is kept.
 * A version that is named while another is under way supersedes it.
 */
export class WeightsRollout {
	readonly #options: RolloutOptions;
	readonly #orders = new Map<string, GivenOrder>();

	constructor(options: RolloutOptions) {
		this.#options = options;
	}

	/**
	 * Chooses the servers to order next.
	 *
	 * @param wanted - The version that all servers ought to run.
	 * @param rows - The servers of the model.
	 * @param now - The present moment.
	 * @returns The servers to order and those that follow.
	 */
	plan(wanted: number, rows: readonly RolloutServer[], now: Milliseconds): RolloutPlan {
		const atOnce = Math.max(Math.round(rows.length * this.#options.concurrentShare), 1);
		const loading = rows.filter(row => this.#isLoading(row, now)).length;
		const candidates = rows.filter(row => row.isAvailable && row.weightsVersion < wanted && !this.#isLoading(row, now));
		const ordered = candidates.toSorted((left, right) =>
			left.weightsVersion - right.weightsVersion || Number(right.isRolloutDraining) - Number(left.isRolloutDraining) || left.requests - right.requests);
		const free = Math.max(atOnce - loading, 0);
		return {due: ordered.slice(0, free), upcoming: ordered.slice(free, free + atOnce)};
	}

	/**
	 * Notes that an order was accepted or may have been.
	 *
	 * @param row - The server.
	 * @param version - The version ordered.
	 * @param now - The present moment.
	 */
	recordOrder(row: RolloutServer, version: number, now: Milliseconds): void {
		this.#orders.set(row.server, {incarnation: row.incarnation, version, at: now});
	}

	/**
	 * Notes that an order was refused.
	 *
	 * @param server - The server.
	 */
	clearOrder(server: string): void {
		this.#orders.delete(server);
	}

	/**
	 * Tells whether a server is loading weights.
	 *
	 * @param server - The server.
	 * @returns Whether an order has been given and has not taken effect.
	 */
	hasPendingOrder(server: string): boolean {
		return this.#orders.has(server);
	}

	#isLoading(row: RolloutServer, now: Milliseconds): boolean {
		const order = this.#orders.get(row.server);
		if (order === undefined) {
			return row.isLoadingWeights;
		}

		const isOver = order.incarnation !== row.incarnation || row.weightsVersion >= order.version || now - order.at > this.#options.orderExpiry;
		if (isOver) {
			this.#orders.delete(row.server);
		}

		return row.isLoadingWeights || !isOver;
	}
}
