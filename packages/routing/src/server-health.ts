import type {Milliseconds} from '@lacewingpoint/shared';

export type ServerHealthOptions = {
	/** The first time out of use after a server could not be reached; doubled at each further failure. */
	readonly initialBackoff: Milliseconds;
	readonly maximumBackoff: Milliseconds;
	/** Weight of the newest outcome in the share of failures. */
	readonly smoothingFactor: number;
	/** A share of failures above this makes a server a last resort. */
	readonly failureRateThreshold: number;
	/** A server that owes answers and has sent nothing for this long is a last resort for more requests. */
	readonly stallTimeout: Milliseconds;
	/** A peer's word that a server cannot be reached is doubted when it was heard here within this time. */
	readonly recentContactWindow: Milliseconds;
	/** A server that failed some requests is tried again fully after this long without use. */
	readonly statisticsExpiry: Milliseconds;
};

/** How long a server has owed an answer, and when it was last heard. */
type Contact = {owedSince: Milliseconds | undefined; heardAt: Milliseconds; owed: number};

type Row = {
	unreachable: number;
	pausedUntil: Milliseconds;
	failureShare: number;
	slowness: number;
	touchedAt: Milliseconds;
};

const slownessBounds = {lowest: 0.5, highest: 10};

/**
 * What outcomes tell of each server. Load pattern: a server that fails or delays part of its requests while it says it is healthy,
 * and one that is silent or gone before the store tells.
 */
export class ServerHealth {
	readonly #options: ServerHealthOptions;
	readonly #rows = new Map<string, Row>();
	readonly #contacts = new Map<string, Contact>();

	constructor(options: ServerHealthOptions) {
		this.#options = options;
	}

	/**
	 * Notes that a server could not be reached or fell silent.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 */
	recordUnreachable(server: string, now: Milliseconds): void {
		const row = this.#row(server, now);
		row.unreachable++;
		const pause = this.#options.initialBackoff * (2 ** (row.unreachable - 1));
		this.#pause(server, now, Math.min(pause, this.#options.maximumBackoff));
	}

	/**
	 * Notes that a request was sent, so that an answer is owed.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 */
	recordRequestSent(server: string, now: Milliseconds): void {
		const contact = this.#contacts.get(server) ?? {owedSince: undefined, heardAt: Number.NEGATIVE_INFINITY, owed: 0};
		contact.owed++;
		contact.owedSince ??= now;
		this.#contacts.set(server, contact);
	}

	/**
	 * Notes that something came from a server.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 */
	recordDataReceived(server: string, now: Milliseconds): void {
		const contact = this.#contacts.get(server);
		if (contact !== undefined) {
			contact.heardAt = now;
			contact.owedSince = contact.owed > 0 ? now : undefined;
		}
	}

	/**
	 * Notes that a request is no longer under way.
	 *
	 * @param server - The server.
	 */
	recordRequestEnded(server: string): void {
		const contact = this.#contacts.get(server);
		if (contact !== undefined) {
			contact.owed--;
			if (contact.owed <= 0) {
				contact.owed = 0;
				contact.owedSince = undefined;
			}
		}
	}

	/**
	 * Takes in that a peer could not reach a server. A host that is itself cut off says so of every server: what has been heard
	 * here lately counts for more.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 */
	applyUnreachableReport(server: string, now: Milliseconds): void {
		const heardAt = this.#contacts.get(server)?.heardAt ?? Number.NEGATIVE_INFINITY;
		const isPaused = now < (this.#rows.get(server)?.pausedUntil ?? 0);
		if (!isPaused && now - heardAt > this.#options.recentContactWindow) {
			this.#pause(server, now, this.#options.initialBackoff);
		}
	}

	/**
	 * Notes how a request ended.
	 *
	 * @param server - The server.
	 * @param isFailure - Whether the server broke it off, answered what is not for the request, or let it time out.
	 * @param now - The present moment.
	 */
	recordOutcome(server: string, isFailure: boolean, now: Milliseconds): void {
		const row = this.#row(server, now);
		row.failureShare += this.#options.smoothingFactor * ((isFailure ? 1 : 0) - row.failureShare);
		row.touchedAt = now;
		if (!isFailure) {
			row.unreachable = 0;
			row.pausedUntil = 0;
		}
	}

	/**
	 * Notes how long a server took against what was predicted.
	 *
	 * @param server - The server.
	 * @param ratio - Time taken over time predicted.
	 * @param now - The present moment.
	 */
	recordSlowness(server: string, ratio: number, now: Milliseconds): void {
		const row = this.#row(server, now);
		const bounded = Math.min(Math.max(ratio, slownessBounds.lowest), slownessBounds.highest);
		row.slowness += this.#options.smoothingFactor * (bounded - row.slowness);
		row.touchedAt = now;
	}

	/**
	 * Forgets a server, as when it has started anew.
	 *
	 * @param server - The server.
	 */
	clearServer(server: string): void {
		this.#rows.delete(server);
		this.#contacts.delete(server);
	}

	/**
	 * Tells how long a server has owed answers without sending anything: a busy server is slow with some, a dead one with all.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 * @returns The time since it was last heard or since the oldest request was sent; 0 when it owes nothing.
	 */
	stallDuration(server: string, now: Milliseconds): Milliseconds {
		const owedSince = this.#contacts.get(server)?.owedSince;
		return owedSince === undefined ? 0 : now - owedSince;
	}

	/**
	 * Judges a server.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 * @returns `good`, `failing` (a last resort) or `paused` (not to be used).
	 */
	evaluateStatus(server: string, now: Milliseconds): 'good' | 'failing' | 'paused' {
		if (this.stallDuration(server, now) > this.#options.stallTimeout) {
			return 'failing';
		}

		const row = this.#rows.get(server);
		if (row === undefined) {
			return 'good';
		}

		if (now < row.pausedUntil) {
			return 'paused';
		}

		const isRemembered = now - row.touchedAt < this.#options.statisticsExpiry;
		return isRemembered && row.failureShare > this.#options.failureRateThreshold ? 'failing' : 'good';
	}

	/**
	 * Reads how slow a server is.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 * @returns Time taken over time predicted, 1 when unknown.
	 */
	slowness(server: string, now: Milliseconds): number {
		const row = this.#rows.get(server);
		return row === undefined || now - row.touchedAt > this.#options.statisticsExpiry ? 1 : row.slowness;
	}

	#pause(server: string, now: Milliseconds, time: Milliseconds): void {
		const row = this.#row(server, now);
		row.pausedUntil = now + time;
		row.touchedAt = now;
	}

	#row(server: string, now: Milliseconds): Row {
		const known = this.#rows.get(server);
		if (known !== undefined) {
			if (now - known.touchedAt > this.#options.statisticsExpiry) {
				known.failureShare = 0;
				known.slowness = 1;
			}

			return known;
		}

		const row: Row = {
			unreachable: 0, pausedUntil: 0, failureShare: 0, slowness: 1, touchedAt: now,
		};
		this.#rows.set(server, row);
		return row;
	}
}
