import type {Milliseconds} from '@lacewingpoint/shared';

/** A server of a plain service as placement sees it. */
export type ServerCandidate = {
	readonly id: string;
	readonly failureDomain: string;
	readonly slots: number;
	/** Requests that all hosts have under way there. */
	readonly requests: number;
	readonly slowness: number;
	readonly isFailing: boolean;
};

export type ServerPlacementOptions = {
	/** What a request in another failure domain weighs, in requests under way. */
	readonly crossDomainCost: number;
	/** What a failing server weighs, in requests under way. */
	readonly failingServerCost: number;
	/** Requests above a server's slots that are sent all the same, as a share of the slots. */
	readonly overbookingRatio: number;
};

export const defaultServerPlacementOptions: ServerPlacementOptions = {crossDomainCost: 0.3, failingServerCost: 20, overbookingRatio: 0.34};

/**
 * Chooses the server that will answer soonest: fewest requests under way for its slots and speed.
 * Load pattern: a few servers with few slots, of unequal speed, one of which may fail part of its requests.
 *
 * @param rows - The servers that may take the request.
 * @param failureDomain - The host's own failure domain.
 * @param options - The weights.
 * @returns The server; nothing when all are full.
 */
export function chooseLeastLoadedServer(rows: readonly ServerCandidate[], failureDomain: string, options: ServerPlacementOptions = defaultServerPlacementOptions): ServerCandidate | undefined {
	let best: ServerCandidate | undefined;
	let lowest = Number.POSITIVE_INFINITY;
	for (const row of rows) {
		if (row.requests >= Math.ceil(row.slots * (1 + options.overbookingRatio))) {
			continue;
		}

		const cost = ((row.requests + 1) * row.slowness)
			+ (row.failureDomain === failureDomain ? 0 : options.crossDomainCost)
			+ (row.isFailing ? options.failingServerCost : 0);
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
export function estimateQueueTime(rows: readonly ServerCandidate[], waiting: number, serviceTime: Milliseconds): Milliseconds {
	const slots = rows.reduce((sum, row) => sum + row.slots, 0);
	return slots === 0 ? Number.POSITIVE_INFINITY : (waiting + 1) * serviceTime / slots;
}
