import type {Milliseconds} from '@lacewingpoint/shared';
import type {HostBounds} from '../ports.js';
import {defaultRetryAfter, limitRetryAfter} from '../requests/wait-decision.js';
import {
	type StopTimes, addressRetentionFactor, addressTimeToLive, computeStopTimes,
} from './stop-timing.js';

/** The cause of refusals by a host that is stopping. */
export const stoppingReason = 'the host is stopping; the request was not executed';

/** The cause of failures of requests that run when a stopping host has no time left. */
export const stopDeadlineReason = 'the host has stopped before the request ended';

/** An address with a shorter time to live is of no use to a client. */
const shortestTimeToLive: Milliseconds = 100;

/** The state of a planned stop: which requests the host still accepts. */
export class PlannedStop {
	readonly #now: () => Milliseconds;
	readonly #hasOtherHosts: () => boolean;
	#times: StopTimes | undefined;
	#hasDrained = false;

	/**
	 * @param now - Monotonic clock.
	 * @param hasOtherHosts - Returns whether clients can go on at another host.
	 */
	constructor(now: () => Milliseconds, hasOtherHosts: () => boolean) {
		this.#now = now;
		this.#hasOtherHosts = hasOtherHosts;
	}

	get isStopping(): boolean {
		return this.#times !== undefined;
	}

	/**
	 * Begins the stop.
	 *
	 * @param bounds - The bounds on the grace period and on cached addresses.
	 * @returns The times of the stop.
	 */
	begin(bounds: Pick<HostBounds, 'stopGrace' | 'longestKeep'>): StopTimes {
		this.#times = computeStopTimes(this.#now(), bounds);
		return this.#times;
	}

	/** Records that all requests have ended, so that no more are accepted. */
	recordDrained(): void {
		this.#hasDrained = true;
	}

	/**
	 * Decides whether a request is accepted. Clients that cannot know of the stop yet are served whatever they ask for. After that, a request
	 * that could still run at the end is refused: its client can try another host at once, and loses the response if it is cut off.
	 *
	 * @param remainingTime - Time until the deadline of the client or the time-out of the route, whichever is first.
	 * @returns False if the request may not end in time.
	 */
	admits(remainingTime: Milliseconds): boolean {
		if (this.#hasDrained) {
			return false;
		}

		return this.#times === undefined || this.#now() < this.#times.limitedFrom || this.#now() + remainingTime <= this.#times.deadline;
	}

	/**
	 * Computes when the client of a refused request may try again.
	 *
	 * @param remainingTime - The remaining time of the request.
	 * @returns The time to wait; `undefined` if another host can serve it at once.
	 */
	retryAfter(remainingTime: Milliseconds): Milliseconds | undefined {
		return this.#hasOtherHosts() ? undefined : limitRetryAfter(defaultRetryAfter, remainingTime);
	}

	/**
	 * Computes how long clients may cache the address of this host.
	 *
	 * @returns The time to live; 0 if new clients are not to use the address any more.
	 */
	ownTimeToLive(): Milliseconds {
		if (this.#times === undefined) {
			return addressTimeToLive;
		}

		const timeToLive = Math.min((this.#times.limitedFrom - this.#now()) / addressRetentionFactor, addressTimeToLive);
		return timeToLive < shortestTimeToLive ? 0 : timeToLive;
	}
}
