import type {Milliseconds} from '@lacewingpoint/shared';

export type ServerHealthOptions = {
	/** How long a server gets no requests after it was unreachable; doubles with each further failure in a row. */
	readonly initialBackoff: Milliseconds;
	readonly maximumBackoff: Milliseconds;
	/** Weight of the newest sample in the moving average of failures, from 0 to 1. */
	readonly smoothingFactor: number;
	/** A server whose failure rate is above this is used only as a last resort. */
	readonly failureRateThreshold: number;
	/** A server with requests in flight that has sent nothing for this long is used only as a last resort. */
	readonly stallTimeout: Milliseconds;
	/** A peer's report that a server is unreachable is ignored when this host received data from the server within this time. */
	readonly recentContactWindow: Milliseconds;
	/** A failure rate that has not been updated for this long no longer counts, so that the server is fully used again. */
	readonly statisticsExpiry: Milliseconds;
};

/** The requests in flight at a server, since when it has sent nothing for them, when it last sent anything, and when it last rejected a request. */
type Contact = {waitingSince: Milliseconds | undefined; receivedAt: Milliseconds; rejectedAt: Milliseconds; requestsInFlight: number};

type ServerStatistics = {
	consecutiveFailures: number;
	pausedUntil: Milliseconds;
	failureRate: number;
	updatedAt: Milliseconds;
};

/**
 * Passive health checks: derives the health of each server from the outcomes of its requests. Detects a server that fails
 * part of its requests while it reports itself as healthy, and one that stalls or disappears before the store reports it.
 */
export class ServerHealth {
	readonly #options: ServerHealthOptions;
	readonly #statistics = new Map<string, ServerStatistics>();
	readonly #contacts = new Map<string, Contact>();

	constructor(options: ServerHealthOptions) {
		this.#options = options;
	}

	/**
	 * Records that a server was unreachable or stalled, and pauses it with exponential backoff.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 */
	recordUnreachable(server: string, now: Milliseconds): void {
		const statistics = this.#getStatistics(server, now);
		statistics.consecutiveFailures++;
		const pause = this.#options.initialBackoff * (2 ** (statistics.consecutiveFailures - 1));
		this.#pause(server, now, Math.min(pause, this.#options.maximumBackoff));
	}

	/**
	 * Records that a request was sent, so that a response is due.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 */
	recordRequestSent(server: string, now: Milliseconds): void {
		const contact = this.#contacts.get(server) ?? {
			waitingSince: undefined, receivedAt: Number.NEGATIVE_INFINITY, rejectedAt: Number.NEGATIVE_INFINITY, requestsInFlight: 0,
		};
		contact.requestsInFlight++;
		contact.waitingSince ??= now;
		this.#contacts.set(server, contact);
	}

	/**
	 * Records that data arrived from a server.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 * @returns How long the server had sent nothing although requests were in flight.
	 */
	recordDataReceived(server: string, now: Milliseconds): Milliseconds {
		const contact = this.#contacts.get(server);
		if (contact === undefined) {
			return 0;
		}

		const silence = now - (contact.waitingSince ?? now);
		contact.receivedAt = now;
		contact.waitingSince = contact.requestsInFlight > 0 ? now : undefined;
		return silence;
	}

	/**
	 * Records that a server has rejected a request for want of capacity.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 */
	recordRejection(server: string, now: Milliseconds): void {
		const contact = this.#contacts.get(server);
		if (contact !== undefined) {
			contact.rejectedAt = now;
		}
	}

	/**
	 * Records that a request is no longer in flight.
	 *
	 * @param server - The server's id.
	 */
	recordRequestEnded(server: string): void {
		const contact = this.#contacts.get(server);
		if (contact !== undefined) {
			contact.requestsInFlight--;
			if (contact.requestsInFlight <= 0) {
				contact.requestsInFlight = 0;
				contact.waitingSince = undefined;
			}
		}
	}

	/**
	 * Applies a peer's report that a server is unreachable. A host that is itself partitioned reports every server, so the report is
	 * ignored when this host has received data from the server recently.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 */
	applyUnreachableReport(server: string, now: Milliseconds): void {
		const receivedAt = this.#contacts.get(server)?.receivedAt ?? Number.NEGATIVE_INFINITY;
		const isPaused = now < (this.#statistics.get(server)?.pausedUntil ?? 0);
		if (!isPaused && now - receivedAt > this.#options.recentContactWindow) {
			this.#pause(server, now, this.#options.initialBackoff);
		}
	}

	/** Ends the pauses of all servers, because they were due to lost links of this host. */
	endPauses(): void {
		for (const statistics of this.#statistics.values()) {
			statistics.consecutiveFailures = 0;
			statistics.pausedUntil = 0;
		}
	}

	/**
	 * Records the outcome of a request; a success ends the server's pause.
	 *
	 * @param server - The server's id.
	 * @param isFailure - Whether the server aborted it, sent a response to another request, or let it time out.
	 * @param now - Current monotonic time.
	 */
	recordOutcome(server: string, isFailure: boolean, now: Milliseconds): void {
		const statistics = this.#getStatistics(server, now);
		statistics.failureRate += this.#options.smoothingFactor * ((isFailure ? 1 : 0) - statistics.failureRate);
		statistics.updatedAt = now;
		if (!isFailure) {
			statistics.consecutiveFailures = 0;
			statistics.pausedUntil = 0;
		}
	}

	/**
	 * Discards everything known about a server, for example after its restart.
	 *
	 * @param server - The server's id.
	 */
	clearServer(server: string): void {
		this.#statistics.delete(server);
		this.#contacts.delete(server);
	}

	/**
	 * Returns how long a server has sent nothing although requests are in flight. A busy server delays some requests, a crashed one
	 * all of them.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 * @returns The time since data last arrived for the requests in flight or, if none has arrived, since the first of them was sent; 0
	 * when none is in flight.
	 */
	stallDuration(server: string, now: Milliseconds): Milliseconds {
		const waitingSince = this.#contacts.get(server)?.waitingSince;
		return waitingSince === undefined ? 0 : now - waitingSince;
	}

	/**
	 * Tells whether a server has sent anything since some time.
	 *
	 * @param server - The server's id.
	 * @param time - Monotonic time.
	 * @returns Whether data arrived from it later.
	 */
	hasSentSince(server: string, time: Milliseconds): boolean {
		return (this.#contacts.get(server)?.receivedAt ?? Number.NEGATIVE_INFINITY) > time;
	}

	/**
	 * Tells whether a server has rejected a request for want of capacity since some time.
	 *
	 * @param server - The server's id.
	 * @param time - Monotonic time.
	 * @returns Whether it did so later.
	 */
	hasRejectedSince(server: string, time: Milliseconds): boolean {
		return (this.#contacts.get(server)?.rejectedAt ?? Number.NEGATIVE_INFINITY) > time;
	}

	/**
	 * Evaluates whether a server may get requests.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 * @param stallTimeout - The time without data after which the server is a last resort.
	 * @returns `good`, `failing` (to be used as a last resort) or `paused` (not to be used).
	 */
	evaluateStatus(server: string, now: Milliseconds, stallTimeout = this.#options.stallTimeout): 'good' | 'failing' | 'paused' {
		if (this.stallDuration(server, now) > stallTimeout) {
			return 'failing';
		}

		const statistics = this.#statistics.get(server);
		if (statistics === undefined) {
			return 'good';
		}

		if (now < statistics.pausedUntil) {
			return 'paused';
		}

		const isCurrent = now - statistics.updatedAt < this.#options.statisticsExpiry;
		return isCurrent && statistics.failureRate > this.#options.failureRateThreshold ? 'failing' : 'good';
	}

	#pause(server: string, now: Milliseconds, duration: Milliseconds): void {
		const statistics = this.#getStatistics(server, now);
		statistics.pausedUntil = now + duration;
		statistics.updatedAt = now;
	}

	#getStatistics(server: string, now: Milliseconds): ServerStatistics {
		const existing = this.#statistics.get(server);
		if (existing !== undefined) {
			if (now - existing.updatedAt > this.#options.statisticsExpiry) {
				existing.failureRate = 0;
			}

			return existing;
		}

		const statistics: ServerStatistics = {
			consecutiveFailures: 0, pausedUntil: 0, failureRate: 0, updatedAt: now,
		};
		this.#statistics.set(server, statistics);
		return statistics;
	}
}
