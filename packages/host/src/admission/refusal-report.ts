import type {RefusedRequest, ReturningClients} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';

/** Refused requests are reported at most at this interval. */
const reportInterval: Milliseconds = 100;

/** The newest refused requests of a report; clients of others are not recognized at other hosts. */
const maximumRequests = 12;

/** Selects the refused requests that a peer does not know yet, within a bounded number of bytes. */
export class RefusalReporter {
	#sentUntil = 0;
	#sentAt = Number.NEGATIVE_INFINITY;

	/**
	 * Composes the next report.
	 *
	 * @param refusals - The refused requests that this host knows.
	 * @param isIncluded - Whether the refusals from a source, `undefined` for this host, are reported.
	 * @param now - Current monotonic time.
	 * @returns The newest refused requests.
	 */
	take(refusals: ReturningClients, isIncluded: (source: string | undefined) => boolean, now: Milliseconds): RefusedRequest[] {
		if (now - this.#sentAt < reportInterval) {
			return [];
		}

		this.#sentAt = now;
		const newest = refusals.listNewest(this.#sentUntil, maximumRequests, now, isIncluded);
		this.#sentUntil = refusals.sequence;
		return newest;
	}
}
