import {type Milliseconds, type Tokens, millisecondsPerSecond} from '@lacewingpoint/shared';

/** A pause within a stream, the longest one that is on time, and the prompt tokens that waited for prefill at the server during it. */
export type ObservedPause = {readonly pause: Milliseconds; readonly objective: Milliseconds; readonly backlog: Tokens};

export type PrefillBacklogLimitOptions = {
	/** A pause counts as late from this share of the route's objective on. */
	readonly lateShare: number;
	/** The limit is set to this share of the backlog at which a late pause was observed. */
	readonly reductionShare: number;
	/** One late pause lowers the limit at most to this share of itself, because the backlog is only known as of some time ago. */
	readonly lowestStepShare: number;
	/** The limit grows by this share of itself in a second. */
	readonly growthPerSecond: number;
	/** The limit is never lower than this. */
	readonly lowestLimit: Tokens;
};

/**
 * Learns how many prompt tokens may wait for prefill at a model server that streams to other clients. Prompts are prefilled in chunks
 * between the tokens of running streams: while the backlog lasts, each token takes as long as a chunk. Answers the load of long prompts
 * that arrive at slow engines together with short streams, whose pauses then exceed the objective. Engines that never cause a late pause
 * have no limit.
 */
export class PrefillBacklogLimit {
	readonly #options: PrefillBacklogLimitOptions;
	#limit: Tokens = Number.POSITIVE_INFINITY;
	#updatedAt: Milliseconds = 0;

	constructor(options: PrefillBacklogLimitOptions) {
		this.#options = options;
	}

	/**
	 * Records the longest pause of a stream.
	 *
	 * @param observation - The pause, the longest one that is on time, and the tokens that waited for prefill at the server during it.
	 * @param now - Current monotonic time.
	 */
	recordPause({pause, objective, backlog}: ObservedPause, now: Milliseconds): void {
		const {lateShare, reductionShare, lowestStepShare, lowestLimit} = this.#options;
		if (pause < objective * lateShare || backlog <= 0) {
			return;
		}

		const current = this.limit(now);
		const lowered = current === Number.POSITIVE_INFINITY ? backlog * reductionShare : Math.max(backlog * reductionShare, current * lowestStepShare);
		this.#limit = Math.max(Math.min(current, lowered), lowestLimit);
		this.#updatedAt = now;
	}

	/**
	 * Returns the limit.
	 *
	 * @param now - Current monotonic time.
	 * @returns The tokens that may wait for prefill at one server, a new request's included; infinite while no late pause was observed.
	 */
	limit(now: Milliseconds): Tokens {
		return this.#limit * ((1 + this.#options.growthPerSecond) ** ((now - this.#updatedAt) / millisecondsPerSecond));
	}
}
