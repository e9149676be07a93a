import type {Milliseconds} from '@lacewingpoint/shared';

/** Clients follow a retry-after of at most this share of their remaining time. */
export const retryAfterShare = 0.33;

/** The part of a retry-after by which the clients' returns are spread. */
const spread = 0.4;

/**
 * Spreads the return of refused clients evenly, so that they do not cause the next overload together.
 *
 * @param wait - The expected wait.
 * @param remainingTime - The remaining time of the request.
 * @param randomValue - A random number, from 0 inclusive to 1 exclusive.
 * @returns The retry-after to send; its mean is the expected wait unless the client would not follow it.
 */
export function spreadRetryAfter(wait: Milliseconds, remainingTime: Milliseconds, randomValue: number): Milliseconds {
	const longest = Math.min(wait * (1 + (spread / 2)), Math.max(remainingTime, 0) * retryAfterShare);
	return longest * (1 - (spread * randomValue));
}
