import type {Milliseconds} from '@lacewingpoint/shared';
import type {HostBounds} from './ports.js';

/** How long clients may cache an address. Short, because some cache it three times as long and a stop has to wait for them. */
export const addressTimeToLive: Milliseconds = 1000;

/** Clients cache an address for up to this many times the time to live sent with it. */
const addressRetentionFactor = 3;

/** Time for the last clients that still have the address to send their requests. */
const lateRequestTime: Milliseconds = 400;

/** Part of the grace period of a stop that is reserved for ending the process. */
const shutdownReserve: Milliseconds = 700;

/**
 * Computes how long a stopping host goes on serving.
 *
 * @param startedAt - Monotonic time at which the stop began.
 * @param bounds - The bounds on the grace period and on cached addresses.
 * @returns When no client has the host's address any more, and when the host stops in any case.
 */
export function computeStopTimes(startedAt: Milliseconds, {stopGrace, longestKeep}: Pick<HostBounds, 'stopGrace' | 'longestKeep'>): {readonly addressesExpireAt: Milliseconds; readonly deadline: Milliseconds} {
	return {
		addressesExpireAt: startedAt + Math.min(addressTimeToLive * addressRetentionFactor, longestKeep) + lateRequestTime,
		deadline: startedAt + stopGrace - shutdownReserve,
	};
}
