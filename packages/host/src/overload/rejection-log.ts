import type {Logger, Metrics} from '@lacewingpoint/shared';

/** Why a request was rejected before it was read completely. */
export type RejectionReason = 'overloaded' | 'no-memory' | 'too-old' | 'old-configuration' | 'stopping';

/** Limit on the ids in a log line. */
const maximumIds = 200;

type RejectedRequests = {readonly reason: RejectionReason; readonly rank: number | undefined; count: number; readonly ids: string[]};

/**
 * Counts rejected requests, and logs them in one line per reason and rank instead of a line for each: an overloaded host has no
 * processor time for these.
 */
export class RejectionLog {
	readonly #log: Logger;
	readonly #metrics: Metrics;
	#rejected = new Map<string, RejectedRequests>();

	constructor(log: Logger, metrics: Metrics) {
		this.#log = log;
		this.#metrics = metrics;
	}

	/**
	 * Counts a rejected request.
	 *
	 * @param reason - Why it was rejected.
	 * @param rank - Its priority; `undefined` if its route is not known.
	 * @param id - Its id; `undefined` if it has none.
	 */
	add(reason: RejectionReason, rank: number | undefined, id: string | undefined): void {
		const key = `${reason} ${rank}`;
		const rejected = this.#rejected.get(key) ?? {
			reason, rank, count: 0, ids: [],
		};
		this.#rejected.set(key, rejected);
		rejected.count++;
		if (id !== undefined && rejected.ids.length < maximumIds) {
			rejected.ids.push(id);
		}
	}

	/**
	 * Writes the log lines and metrics of the requests rejected since the last call.
	 *
	 * @param state - What the host has measured.
	 */
	flush(state: Readonly<Record<string, number | undefined>>): void {
		const rejected = this.#rejected;
		this.#rejected = new Map();
		for (const {reason, rank, count, ids} of rejected.values()) {
			this.#metrics.incrementCounter('requests_rejected', {reason, rank: String(rank ?? 'unknown')}, count);
			this.#log.warn('requests-rejected', {
				reason, rank, requests: count, ...state, ids,
			});
		}
	}
}
