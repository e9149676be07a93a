import type {Milliseconds} from '@lacewingpoint/shared';

/** The state of a server that a placement depends on, for services without an inference engine. */
export type ServerCandidate = {
	readonly id: string;
	readonly failureDomain: string;
	readonly slots: number;
	/** Requests in flight, of all hosts. */
	readonly requests: number;
	/** The recent ratio of measured to predicted time. */
	readonly slowness: number;
	/** The server fails part of its requests and is a last resort. */
	readonly isFailing: boolean;
	/** A connection to the server can be used again. */
	readonly hasIdleConnection?: boolean;
};

export type ServerPlacementOptions = {
	/** The cost of a server in another failure domain, in requests in flight. */
	readonly crossDomainCost: number;
	/** The cost of a failing server, in requests in flight. */
	readonly failingServerCost: number;
	/** The cost of a new connection, in requests in flight: less than that of one request, so that connections do not unbalance the loads. */
	readonly connectionCost: number;
	/** How many requests are sent to a server beyond its slots, as a share of the slots. */
	readonly overbookingRatio: number;
};

export const defaultServerPlacementOptions: ServerPlacementOptions = {
	crossDomainCost: 0.3, failingServerCost: 20, connectionCost: 0.1, overbookingRatio: 0.34,
};

/**
 * Chooses the least loaded server: the one with the fewest requests in flight, scaled by its slowness. Meant for a few servers with few
 * slots and unequal speed, one of which may fail part of its requests.
 *
 * @param candidates - The servers that may get the request.
 * @param failureDomain - The host's own failure domain.
 * @param options - The costs and the overbooking limit.
 * @returns The server, `undefined` when all are full.
 */
export function chooseLeastLoadedServer(candidates: readonly ServerCandidate[], failureDomain: string, options: ServerPlacementOptions = defaultServerPlacementOptions): ServerCandidate | undefined {
	let best: ServerCandidate | undefined;
	let lowestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		if (candidate.requests >= Math.ceil(candidate.slots * (1 + options.overbookingRatio))) {
			continue;
		}

		const cost = ((candidate.requests + 1) * candidate.slowness)
			+ (candidate.failureDomain === failureDomain ? 0 : options.crossDomainCost)
			+ (candidate.hasIdleConnection === true ? 0 : options.connectionCost)
			+ (candidate.isFailing ? options.failingServerCost : 0);
		if (cost < lowestCost) {
			lowestCost = cost;
			best = candidate;
		}
	}

	return best;
}

/**
 * Estimates how long a request is queued when all slots are occupied.
 *
 * @param candidates - The servers that may execute the request; their slots are counted.
 * @param queuedRequests - The number of requests that are queued already.
 * @param serviceTime - The time that one request occupies a slot.
 * @returns The queue time; infinite without slots.
 */
export function estimateQueueTime(candidates: readonly ServerCandidate[], queuedRequests: number, serviceTime: Milliseconds): Milliseconds {
	const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0);
	return slots === 0 ? Number.POSITIVE_INFINITY : (queuedRequests + 1) * serviceTime / slots;
}
