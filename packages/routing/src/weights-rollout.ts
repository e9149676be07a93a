import type {Milliseconds} from '@lacewingpoint/shared';

/** A model server as the roll-out sees it. */
export type RolloutRow = {
	readonly server: string;
	readonly incarnation: string;
	readonly weightsVersion: number;
	/** Requests under way there. */
	readonly requests: number;
	/** An order is under way there, as the server says. */
	readonly isBusy: boolean;
	/** It can be reached. */
	readonly isUsable: boolean;
	/** The hosts have been asked to send it no more. */
	readonly isEmptying: boolean;
};

/** What a roll-out does next. */
export type RolloutPlan = {
	/** Servers to order now. */
	readonly due: readonly RolloutRow[];
	/** Servers to order after those; with fewer requests under way by then, their loads begin sooner. */
	readonly upcoming: readonly RolloutRow[];
};

export type RolloutOptions = {
	/** Servers that load weights at once, as a share of all. */
	readonly shareAtOnce: number;
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
	plan(wanted: number, rows: readonly RolloutRow[], now: Milliseconds): RolloutPlan {
		const atOnce = Math.max(Math.round(rows.length * this.#options.shareAtOnce), 1);
		const loading = rows.filter(row => this.#isLoading(row, now)).length;
		const candidates = rows.filter(row => row.isUsable && row.weightsVersion < wanted && !this.#isLoading(row, now));
		const ordered = candidates.toSorted((left, right) =>
			left.weightsVersion - right.weightsVersion || Number(right.isEmptying) - Number(left.isEmptying) || left.requests - right.requests);
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
	noteOrder(row: RolloutRow, version: number, now: Milliseconds): void {
		this.#orders.set(row.server, {incarnation: row.incarnation, version, at: now});
	}

	/**
	 * Notes that an order was refused.
	 *
	 * @param server - The server.
	 */
	noteRefusal(server: string): void {
		this.#orders.delete(server);
	}

	/**
	 * Tells whether a server is loading weights.
	 *
	 * @param server - The server.
	 * @returns Whether an order has been given and has not taken effect.
	 */
	isOrdered(server: string): boolean {
		return this.#orders.has(server);
	}

	#isLoading(row: RolloutRow, now: Milliseconds): boolean {
		const order = this.#orders.get(row.server);
		if (order === undefined) {
			return row.isBusy;
		}

		const isOver = order.incarnation !== row.incarnation || row.weightsVersion >= order.version || now - order.at > this.#options.orderExpiry;
		if (isOver) {
			this.#orders.delete(row.server);
		}

		return row.isBusy || !isOver;
	}
}
