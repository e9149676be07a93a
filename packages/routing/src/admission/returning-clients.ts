import type {Milliseconds} from '@lacewingpoint/shared';

/** Limits of the memory of refused requests. */
export type ReturningClientsOptions = {
	readonly maximumEntries: number;
	/** How long after its retry-after a request is still recognized. */
	readonly retention: Milliseconds;
};

/** Whether a request was refused before, and whether its client has waited as told. */
export type ReturnState = 'first' | 'early' | 'returning';

/** Clients count as having waited from this part of the retry-after on, as their clocks and links differ. */
const waitTolerance = 0.9;

/** Remembers refused requests, so that clients that have waited as told are served before those that come for the first time. */
export class ReturningClients {
	readonly #options: ReturningClientsOptions;
	readonly #mayReturnAt = new Map<number, Milliseconds>();

	constructor(options: ReturningClientsOptions) {
		this.#options = options;
	}

	/**
	 * Records a refusal. A client that repeats a request too early does not gain from it: the first time applies.
	 *
	 * @param fingerprint - Hash of the request's content and workspace.
	 * @param retryAfter - The time that the client was told to wait.
	 * @param now - Current monotonic time.
	 */
	recordRefusal(fingerprint: number, retryAfter: Milliseconds, now: Milliseconds): void {
		if (this.classify(fingerprint, now) === 'early') {
			return;
		}

		this.#mayReturnAt.delete(fingerprint);
		this.#mayReturnAt.set(fingerprint, now + (retryAfter * waitTolerance));
		if (this.#mayReturnAt.size > this.#options.maximumEntries) {
			this.#mayReturnAt.delete(this.#mayReturnAt.keys().next().value!);
		}
	}

	/**
	 * Tells whether a request was refused before.
	 *
	 * @param fingerprint - Hash of the request's content and workspace.
	 * @param now - Current monotonic time.
	 * @returns Its state.
	 */
	classify(fingerprint: number, now: Milliseconds): ReturnState {
		const mayReturnAt = this.#mayReturnAt.get(fingerprint);
		if (mayReturnAt === undefined || now > mayReturnAt + this.#options.retention) {
			return 'first';
		}

		return now < mayReturnAt ? 'early' : 'returning';
	}

	/**
	 * Forgets a request that was admitted.
	 *
	 * @param fingerprint - Hash of the request's content and workspace.
	 */
	forget(fingerprint: number): void {
		this.#mayReturnAt.delete(fingerprint);
	}
}
