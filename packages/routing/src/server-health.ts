import type {Milliseconds} from '@lacewingpoint/shared';

export type ServerHealthOptions = {
	/** The first time out of use after a server could not be reached; doubled at each further failure. */
	readonly firstPause: Milliseconds;
	readonly longestPause: Milliseconds;
	/** Weight of the newest outcome in the share of failures. */
	readonly smoothing: number;
	/** A share of failures above this makes a server a last resort. */
	readonly failingShare: number;
	/** A server that failed some requests is tried again fully after this long without use. */
	readonly forgiveAfter: Milliseconds;
};

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

	constructor(options: ServerHealthOptions) {
		this.#options = options;
	}

	/**
	 * Notes that a server could not be reached or fell silent.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 */
	noteUnreachable(server: string, now: Milliseconds): void {
		const row = this.#row(server, now);
		row.unreachable++;
		const pause = this.#options.firstPause * (2 ** (row.unreachable - 1));
		row.pausedUntil = now + Math.min(pause, this.#options.longestPause);
		row.touchedAt = now;
	}

	/**
	 * Notes how a request ended.
	 *
	 * @param server - The server.
	 * @param isFailure - Whether the server broke it off, answered what is not for the request, or let it time out.
	 * @param now - The present moment.
	 */
	noteOutcome(server: string, isFailure: boolean, now: Milliseconds): void {
		const row = this.#row(server, now);
		row.failureShare += this.#options.smoothing * ((isFailure ? 1 : 0) - row.failureShare);
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
	noteSpeed(server: string, ratio: number, now: Milliseconds): void {
		const row = this.#row(server, now);
		const bounded = Math.min(Math.max(ratio, slownessBounds.lowest), slownessBounds.highest);
		row.slowness += this.#options.smoothing * (bounded - row.slowness);
		row.touchedAt = now;
	}

	/**
	 * Forgets a server, as when it has started anew.
	 *
	 * @param server - The server.
	 */
	forget(server: string): void {
		this.#rows.delete(server);
	}

	/**
	 * Judges a server.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 * @returns `good`, `failing` (a last resort) or `paused` (not to be used).
	 */
	judge(server: string, now: Milliseconds): 'good' | 'failing' | 'paused' {
		const row = this.#rows.get(server);
		if (row === undefined) {
			return 'good';
		}

		if (now < row.pausedUntil) {
			return 'paused';
		}

		const isRemembered = now - row.touchedAt < this.#options.forgiveAfter;
		return isRemembered && row.failureShare > this.#options.failingShare ? 'failing' : 'good';
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
		return row === undefined || now - row.touchedAt > this.#options.forgiveAfter ? 1 : row.slowness;
	}

	#row(server: string, now: Milliseconds): Row {
		const known = this.#rows.get(server);
		if (known !== undefined) {
			if (now - known.touchedAt > this.#options.forgiveAfter) {
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
