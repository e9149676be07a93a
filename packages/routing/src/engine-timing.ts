import type {Milliseconds, Tokens} from '@lacewingpoint/shared';

/** How long the model servers of a service take to the first token. */
export type EngineTiming = {
	/** The time without prefill or queue. */
	readonly baseLatency: Milliseconds;
	/** The time for each prompt token that has to be prefilled first, those of earlier requests included. */
	readonly prefillTimePerToken: Milliseconds;
};

export type EngineTimingOptions = {
	/** What is assumed before anything was measured. */
	readonly assumed: EngineTiming;
	/** The number of measurements that the assumption counts as. */
	readonly assumedWeight: number;
	/** The share of its weight that a measurement keeps with each further one. */
	readonly retention: number;
	/** A measurement counts as at most this many times the current estimate, because single responses are held up by other causes. */
	readonly outlierFactor: number;
};

/** Sums of a weighted linear regression. */
type Sums = {weight: number; tokens: number; time: number; squaredTokens: number; product: number};

/** The number of prompt tokens at which the assumption is entered; the other point is at 0. */
const assumedPromptTokens: Tokens = 8000;

/** Bounds of an estimate relative to the assumption, for measurements that hardly differ in their tokens. */
const bounds = {lowest: 0.1, highest: 20};

/**
 * Learns how fast the model servers of a service prefill, by a linear regression of the time to first token on the tokens to be
 * prefilled. Engines differ several times in their speed, and the configuration does not state it.
 */
export class EngineTimingEstimator {
	readonly #options: EngineTimingOptions;
	readonly #sums: Sums = {
		weight: 0, tokens: 0, time: 0, squaredTokens: 0, product: 0,
	};

	#timing: EngineTiming;

	constructor(options: EngineTimingOptions) {
		this.#options = options;
		this.#timing = options.assumed;
		const {baseLatency, prefillTimePerToken} = options.assumed;
		this.#add(0, baseLatency, options.assumedWeight / 2);
		this.#add(assumedPromptTokens, baseLatency + (assumedPromptTokens * prefillTimePerToken), options.assumedWeight / 2);
	}

	/** The current estimate. */
	get timing(): EngineTiming {
		return this.#timing;
	}

	/**
	 * Records a measured time to first token.
	 *
	 * @param tokens - The tokens that had to be prefilled: those of the request and those of earlier requests.
	 * @param time - The time to first token, without that of a fetch.
	 */
	recordFirstToken(tokens: Tokens, time: Milliseconds): void {
		const {assumed, retention, outlierFactor} = this.#options;
		const estimate = this.#timing.baseLatency + (tokens * this.#timing.prefillTimePerToken);
		for (const name of ['weight', 'tokens', 'time', 'squaredTokens', 'product'] as const) {
			this.#sums[name] *= retention;
		}

		this.#add(tokens, Math.min(time, estimate * outlierFactor), 1);
		const {weight, tokens: tokenSum, time: timeSum, squaredTokens, product} = this.#sums;
		const variance = (weight * squaredTokens) - (tokenSum ** 2);
		const slope = variance <= 0 ? assumed.prefillTimePerToken : ((weight * product) - (tokenSum * timeSum)) / variance;
		const prefillTimePerToken = limitTo(slope, assumed.prefillTimePerToken);
		this.#timing = {prefillTimePerToken, baseLatency: limitTo((timeSum - (prefillTimePerToken * tokenSum)) / weight, assumed.baseLatency)};
	}

	#add(tokens: Tokens, time: Milliseconds, weight: number): void {
		this.#sums.weight += weight;
		this.#sums.tokens += weight * tokens;
		this.#sums.time += weight * time;
		this.#sums.squaredTokens += weight * (tokens ** 2);
		this.#sums.product += weight * tokens * time;
	}
}

function limitTo(value: number, assumed: number): number {
	return Math.min(Math.max(value, assumed * bounds.lowest), assumed * bounds.highest);
}
