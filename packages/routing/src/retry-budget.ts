import type {Milliseconds} from '@lacewingpoint/shared';

export type RetryBudgetOptions = {
	/** Retries allowed for each request that this host has taken. */
	readonly retryRatio: number;
	/** Retries that all hosts together may make within a window beyond that share. */
	readonly retrySlack: number;
	/** The time over which requests and retries are counted. */
	readonly retryWindow: Milliseconds;
};

/** Requests and retries are counted in steps of this share of the window. */
const stepShare = 0.05;

/** The part of the slack that is used. With that of a start it leaves a tenth: hosts may differ for a while about how many they are. */
const usedSlack = 0.6;

/** The part that is used within a window after a start: retries of the process before, which nobody remembers, still count. */
const startSlack = 0.3;

type Step = {readonly beginsAt: Milliseconds; requests: number; retries: number};

/**
 * Keeps the retries of all hosts to a share of the requests, so that they cannot multiply an overload.
 * Load pattern: servers that die or refuse under many requests at once; all that were under way come back in the same moment.
 * Each host counts its own requests and has an equal part of the slack.
 */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #startedAt: Milliseconds;
	#steps: Step[] = [];

	/**
	 * @param options - The limits.
	 * @param now - The present moment.
	 */
	constructor(options: RetryBudgetOptions, now: Milliseconds) {
		this.#options = options;
		this.#startedAt = now;
	}

	/**
	 * Counts a first attempt.
	 *
	 * @param now - The present moment.
	 */
	recordRequest(now: Milliseconds): void {
		this.#stepAt(now).requests++;
	}

	/**
	 * Takes a retry from the budget.
	 *
	 * @param hosts - The hosts that share the slack, this one included.
	 * @param now - The present moment.
	 * @returns Whether the retry may be made; it is counted.
	 */
	tryAcquire(hosts: number, now: Milliseconds): boolean {
		const {retryRatio: share, retrySlack: slack, retryWindow: window} = this.#options;
		const step = this.#stepAt(now);
		let requests = 0;
		let retries = 0;
		for (const counted of this.#steps) {
			requests += counted.requests;
			retries += counted.retries;
		}

		const granted = slack * (now - this.#startedAt < window ? startSlack : usedSlack) / Math.max(hosts, 1);
		if (retries + 1 > (requests * share) + granted) {
			return false;
		}

		step.retries++;
		return true;
	}

	#stepAt(now: Milliseconds): Step {
		const {retryWindow: window} = this.#options;
		const length = window * stepShare;
		// The last retry of a step may come a whole length after its beginning.
		this.#steps = this.#steps.filter(step => now - step.beginsAt < window + length);
		const last = this.#steps.at(-1);
		if (last !== undefined && now - last.beginsAt < length) {
			return last;
		}

		const step: Step = {beginsAt: now, requests: 0, retries: 0};
		this.#steps.push(step);
		return step;
	}
}
