import type {Milliseconds} from '@lacewingpoint/shared';

/** Limits of the memory of refused requests. */
export type ReturningClientsOptions = {
	readonly maximumEntries: number;
	/** How long after its retry-after a request is still recognized. */
	readonly retention: Milliseconds;
};

/** Whether a request was refused before, and whether its client has waited as told. */
export type ReturnState = 'first' | 'early' | 'returning';

/** A refused request: hash of its content and workspace, and the time from now on until it may return. */
export type RefusedRequest = readonly [fingerprint: number, wait: Milliseconds];

type Refusal = {
	readonly mayReturnAt: Milliseconds;
	/** Whether the request was repeated before. */
	readonly isImpatient: boolean;
	/** The peer that reported it; `undefined` for this host. */
	readonly source: string | undefined;
	readonly sequence: number;
};

/** Reports choose among this number of the newest refusals. */
const newestEntries = 256;

/** Clients count as having waited from this part of the retry-after on, as their clocks and links differ. */
const waitTolerance = 0.9;

/**
 * Remembers requests that this host or a peer has refused, so that clients that have waited as told are served before those that come
 * for the first time, at whatever host.
 */
export class ReturningClients {
	readonly #options: ReturningClientsOptions;
	/** In the order of their recording. */
	readonly #refusals = new Map<number, Refusal>();
	/** The last of them, oldest first, so that a report does not go through all. */
	#newest: Array<readonly [fingerprint: number, refusal: Refusal]> = [];
	#sequence = 0;

	constructor(options: ReturningClientsOptions) {
		this.#options = options;
	}

	/** The number of refusals recorded so far. */
	get sequence(): number {
		return this.#sequence;
	}

	/**
	 * Records a refusal. A client that repeats a request too early does not gain from it: its request yields until it is forgotten.
	 *
	 * @param fingerprint - Hash of the request's content and workspace.
	 * @param retryAfter - The time that the client was told to wait.
	 * @param now - Current monotonic time.
	 * @param source - The peer that reported the refusal; this host by default.
	 */
	recordRefusal(fingerprint: number, retryAfter: Milliseconds, now: Milliseconds, source?: string): void {
		if (this.classify(fingerprint, now) === 'early') {
			this.#refusals.set(fingerprint, {...this.#refusals.get(fingerprint)!, isImpatient: true});
			return;
		}

		this.#sequence++;
		this.#refusals.delete(fingerprint);
		const refusal: Refusal = {
			mayReturnAt: now + (retryAfter * waitTolerance), isImpatient: false, source, sequence: this.#sequence,
		};
		this.#refusals.set(fingerprint, refusal);
		this.#newest.push([fingerprint, refusal]);
		if (this.#newest.length >= 2 * newestEntries) {
			this.#newest = this.#newest.slice(-newestEntries);
		}

		if (this.#refusals.size > this.#options.maximumEntries) {
			this.#refusals.delete(this.#refusals.keys().next().value!);
		}
	}

	/**
	 * Lists the newest refusals for a report to a peer.
	 *
	 * @param after - The sequence number up to which the peer has them.
	 * @param most - The largest number of them.
	 * @param now - Current monotonic time.
	 * @param isIncluded - Whether the refusals from a source, `undefined` for this host, are reported.
	 * @returns The refusals.
	 */
	listNewest(after: number, most: number, now: Milliseconds, isIncluded: (source: string | undefined) => boolean): RefusedRequest[] {
		if (after === this.#sequence) {
			return [];
		}

		const unreported = this.#newest.slice(-Math.max(this.#sequence - after, 0));
		const included = unreported.filter(([fingerprint, {sequence, source, mayReturnAt}]) => mayReturnAt > now && isIncluded(source) && this.#refusals.get(fingerprint)?.sequence === sequence);
		return included.slice(-most).map(([fingerprint, {mayReturnAt}]) => [fingerprint, Math.round(mayReturnAt - now)]);
	}

	/**
	 * Tells whether a request was refused before.
	 *
	 * @param fingerprint - Hash of the request's content and workspace.
	 * @param now - Current monotonic time.
	 * @returns Its state.
	 */
	classify(fingerprint: number, now: Milliseconds): ReturnState {
		const refusal = this.#refusals.get(fingerprint);
		if (refusal === undefined || now > refusal.mayReturnAt + this.#options.retention) {
			return 'first';
		}

		return refusal.isImpatient || now < refusal.mayReturnAt ? 'early' : 'returning';
	}

	/**
	 * Forgets a request that was admitted.
	 *
	 * @param fingerprint - Hash of the request's content and workspace.
	 */
	forget(fingerprint: number): void {
		this.#refusals.delete(fingerprint);
	}
}
