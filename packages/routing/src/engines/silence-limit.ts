import type {Milliseconds} from '@lacewingpoint/shared';

export type SilenceLimitOptions = {
	/** The limit without longer silences, and the lowest one. */
	readonly lowestLimit: Milliseconds;
	readonly highestLimit: Milliseconds;
	/** The share of silences that are to be shorter than the estimate. */
	readonly quantile: number;
	/** How many times the estimate a silence may take. */
	readonly margin: number;
	/** How far one observation moves the estimate. */
	readonly stepShare: number;
};

/** The options for use in production. */
export const defaultSilenceLimitOptions: SilenceLimitOptions = {
	lowestLimit: 350, highestLimit: 2000, quantile: 0.99, margin: 1.5, stepShare: 0.2,
};

/**
 * Learns how long the servers of one service may send nothing although they work. Answers the load of long prompts at slow engines and of
 * noisy neighbors: a server that is silent while it prefills must not be taken for a crashed one, or its work starts again elsewhere.
 * Only silences that ended with data count; those of crashed servers never do.
 */
export class SilenceLimit {
	readonly #options: SilenceLimitOptions;
	#estimate: Milliseconds;

	constructor(options: SilenceLimitOptions = defaultSilenceLimitOptions) {
		this.#options = options;
		this.#estimate = options.lowestLimit / options.margin;
	}

	/** The silence from which a server counts as stalled. */
	get limit(): Milliseconds {
		return this.#estimate * this.#options.margin;
	}

	/**
	 * Records that a server has begun a response.
	 *
	 * @param silence - The time for which it had sent nothing although requests were in flight.
	 */
	recordSilence(silence: Milliseconds): void {
		const {lowestLimit, highestLimit, quantile, margin, stepShare} = this.#options;
		const step = silence > this.#estimate ? quantile : quantile - 1;
		this.#estimate = Math.min(Math.max(this.#estimate * (1 + (stepShare * step)), lowestLimit / margin), highestLimit / margin);
	}
}
