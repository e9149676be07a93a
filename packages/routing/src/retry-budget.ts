export type RetryBudgetOptions = {
	/** Retries allowed for each request, on average. */
	readonly share: number;
	/** Retries that may come at once. */
	readonly burst: number;
};

/** Keeps retries a small share of requests, so that they cannot multiply an overload. */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	#available: number;

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
		this.#available = options.burst;
	}

	/** Counts a first attempt. */
	noteRequest(): void {
		this.#available = Math.min(this.#available + this.#options.share, this.#options.burst);
	}

	/** @returns True when a retry may be made; it is counted. */
	take(): boolean {
		if (this.#available < 1) {
			return false;
		}

		this.#available--;
		return true;
	}
}
