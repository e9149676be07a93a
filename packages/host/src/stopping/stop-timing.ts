import type {Milliseconds} from '@lacewingpoint/shared';
import type {HostBounds} from '../ports.js';

/** How long clients may cache an address. Short, because some cache it three times as long and a stop has to wait for them. */
export const addressTimeToLive: Milliseconds = 1000;

/** Clients cache an address for up to this many times the time to live sent with it. */
export const addressRetentionFactor = 3;

/** Time for the last clients that still have the address to send their requests. */
const lateRequestTime: Milliseconds = 400;

/** Part of the grace period of a stop that is reserved for ending the process. */
const shutdownReserve: Milliseconds = 700;

/** Until then, clients may have got the host's address just before the stop. */
const longestUnawareTime: Milliseconds = 2500;

/** Largest share of the grace period in which requests are accepted regardless of the time that they may take. */
const unawareShare = 0.3;

/** Monotonic times of a planned stop. */
export type StopTimes = {
	/** From then on, a request is accepted only if it ends before the deadline even if it uses up its time. */
	readonly limitedFrom: Milliseconds;
	/** No client has the host's address any more. */
	readonly addressesExpireAt: Milliseconds;
	/** What still runs gets its final response. */
	readonly deadline: Milliseconds;
};

/**
 * Computes how long a stopping host goes on serving.
 *
 * @param startedAt - Monotonic time at which the stop began.
 * @param bounds - The bounds on the grace period and on cached addresses.
 * @returns The times of the stop.
 */
export function computeStopTimes(startedAt: Milliseconds, {stopGrace, longestKeep}: Pick<HostBounds, 'stopGrace' | 'longestKeep'>): StopTimes {
	return {
		limitedFrom: startedAt + Math.min(longestUnawareTime, stopGrace * unawareShare),
		addressesExpireAt: startedAt + Math.min(addressTimeToLive * addressRetentionFactor, longestKeep) + lateRequestTime,
		deadline: startedAt + stopGrace - shutdownReserve,
	};
}
