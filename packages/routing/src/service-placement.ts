import type {Milliseconds} from '@lacewingpoint/shared';

/** A server of a plain service as placement sees it. */
export type PlainServerRow = {
	readonly id: string;
	readonly failureDomain: string;
	readonly slots: number;
	/** Requests that all hosts have under way there. */
	readonly requests: number;
	readonly slowness: number;
	readonly isFailing: boolean;
};

export type PlainPlacementOptions = {
	/** What a request in another failure domain weighs, in requests under way. */
	readonly acrossDomains: number;
	/** What a failing server weighs, in requests under way. */
	readonly failing: number;
	/** Requests above a server's slots that are sent all the same, as a share of the slots. */
	readonly overbooking: number;
};

export const plainPlacementOptions: PlainPlacementOptions = {acrossDomains: 0.3, failing: 20, overbooking: 0.34};

/**
 * Chooses the server that will answer soonest: fewest requests under way for its slots and speed.
 * Load pattern: a few servers with few slots, of unequal speed, one of which may fail part of its requests.
 *
 * @param rows - The servers that may take the request.
 * @param failureDomain - The host's own failure domain.
 * @param options - The weights.
 * @returns The server; nothing when all are full.
 */
export function choosePlainServer(rows: readonly PlainServerRow[], failureDomain: string, options: PlainPlacementOptions = plainPlacementOptions): PlainServerRow | undefined {
	let best: PlainServerRow | undefined;
	let lowest = Number.POSITIVE_INFINITY;
	for (const row of rows) {
		if (row.requests >= Math.ceil(row.slots * (1 + options.overbooking))) {
			continue;
		}

		const cost = ((row.requests + 1) * row.slowness)
			+ (row.failureDomain === failureDomain ? 0 : options.acrossDomains)
			+ (row.isFailing ? options.failing : 0);
		if (cost < lowest) {
			lowest = cost;
			best = row;
		}
	}

	return best;
}

/**
 * Estimates how long a request waits for a slot when all are taken.
 *
 * @param rows - The servers.
 * @param waiting - Requests that wait already.
 * @param serviceTime - The time that one request takes.
 * @returns The wait.
 */
export function estimateWait(rows: readonly PlainServerRow[], waiting: number, serviceTime: Milliseconds): Milliseconds {
	const slots = rows.reduce((sum, row) => sum + row.slots, 0);
	return slots === 0 ? Number.POSITIVE_INFINITY : (waiting + 1) * serviceTime / slots;
}
