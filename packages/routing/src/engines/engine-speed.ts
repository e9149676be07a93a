import type {Milliseconds, Tokens} from '@lacewingpoint/shared';

/** How fast the model servers of a service usually are: the time to first token is `baseLatency` and `prefillTimePerToken` for each token. */
export type EngineSpeed = {readonly baseLatency: Milliseconds; readonly prefillTimePerToken: Milliseconds};

/** The speed that is assumed of model servers until they have been observed. */
export const defaultEngineSpeed: EngineSpeed = {baseLatency: 35, prefillTimePerToken: 0.0125};

/** When the first token of a response arrived, and what the server had to prefill until then. */
export type ObservedFirstToken = {
	/** The prompt tokens that the server had to prefill, those of earlier requests included. */
	readonly prefillTokens: Tokens;
	/** The time from sending the request to its first token, without that of a fetch. */
	readonly time: Milliseconds;
};

export type EngineSpeedOptions = {
	/** The number of observations of short and of long prefills that are kept. */
	readonly sampleCount: number;
	/** Prefills of up to this many tokens are short ones. */
	readonly shortPrefill: Tokens;
	/** Prefills of at least this many tokens are long ones. */
	readonly longPrefill: Tokens;
	/** With this many observations of both kinds, the learned speed counts as much as the assumed one. */
	readonly trustedCount: number;
	/** Bounds of the learned time for each token, as multiples of the assumed one. */
	readonly lowestFactor: number;
	readonly highestFactor: number;
};

/** The options for use in production. */
export const defaultEngineSpeedOptions: EngineSpeedOptions = {
	sampleCount: 64, shortPrefill: 1024, longPrefill: 2500, trustedCount: 12, lowestFactor: 0.25, highestFactor: 8,
};

/** The newest observations, in a ring. */
class SampleRing {
	readonly #samples: ObservedFirstToken[] = [];
	readonly #capacity: number;
	#next = 0;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	get count(): number {
		return this.#samples.length;
	}

	add(sample: ObservedFirstToken): void {
		this.#samples[this.#next] = sample;
		this.#next = (this.#next + 1) % this.#capacity;
	}

	median(select: (sample: ObservedFirstToken) => number): number {
		return findMedian(this.#samples.map(sample => select(sample)));
	}
}

/**
 * Finds the median.
 *
 * @param values - Some numbers, in any order.
 * @returns The upper median; 0 without values.
 */
export function findMedian(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

/**
 * Learns how fast the model servers of one service are from the times to first token of short and long prefills. Answers the load of an
 * engine that reads prompts several times faster or slower than assumed: predictions that are wrong by such a factor send long prompts
 * to servers where they are late. Medians, because a part of the servers is slow at any moment.
 */
export class EngineSpeedEstimate {
	readonly #assumed: EngineSpeed;
	readonly #options: EngineSpeedOptions;
	readonly #short: SampleRing;
	readonly #long: SampleRing;
	#current: EngineSpeed;

	/**
	 * @param assumed - The speed until there are observations.
	 * @param options - How much is observed before it counts.
	 */
	constructor(assumed: EngineSpeed, options: EngineSpeedOptions = defaultEngineSpeedOptions) {
		this.#assumed = assumed;
		this.#options = options;
		this.#short = new SampleRing(options.sampleCount);
		this.#long = new SampleRing(options.sampleCount);
		this.#current = assumed;
	}

	/** The assumed speed without observations; the more there are, the closer to the observed one. */
	get speed(): EngineSpeed {
		return this.#current;
	}

	/**
	 * Records a first token.
	 *
	 * @param observed - The time and what was prefilled; ignored between a short and a long prefill.
	 */
	recordFirstToken(observed: ObservedFirstToken): void {
		const {shortPrefill, longPrefill} = this.#options;
		if (observed.prefillTokens <= shortPrefill) {
			this.#short.add(observed);
		} else if (observed.prefillTokens >= longPrefill) {
			this.#long.add(observed);
		} else {
			return;
		}

		this.#current = this.#estimate();
	}

	#estimate(): EngineSpeed {
		const {trustedCount, lowestFactor, highestFactor} = this.#options;
		const {baseLatency, prefillTimePerToken} = this.#assumed;
		const count = Math.min(this.#short.count, this.#long.count);
		if (count === 0) {
			return this.#assumed;
		}

		const [short, long] = [this.#short, this.#long].map(ring => ({tokens: ring.median(sample => sample.prefillTokens), time: ring.median(sample => sample.time)}));
		const slope = (long!.time - short!.time) / (long!.tokens - short!.tokens);
		const learned = Math.min(Math.max(slope, prefillTimePerToken * lowestFactor), prefillTimePerToken * highestFactor);
		const trust = count / (count + trustedCount);
		const perToken = prefillTimePerToken + (trust * (learned - prefillTimePerToken));
		const base = Math.min(Math.max(short!.time - (learned * short!.tokens), baseLatency * lowestFactor), baseLatency * highestFactor);
		return {baseLatency: baseLatency + (trust * (base - baseLatency)), prefillTimePerToken: perToken};
	}
}
