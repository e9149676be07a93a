import type {Milliseconds} from '@lacewingpoint/shared';

export type RetryBudgetOptions = {
	/** Retries allowed per request that this host has received. */
	readonly retryRatio: number;
	/** Additional retries that all hosts together may make within a window. */
	readonly retrySlack: number;
	/** The length of the sliding window over which requests and retries are counted. */
	readonly retryWindow: Milliseconds;
};

/** The length of a counting bucket as a share of the window. */
const bucketShare = 0.05;

/**
 * The share of the slack that is used. Together with the share after a start it leaves a tenth unused, since the hosts may disagree for
 * a while about their number.
 */
const normalSlackShare = 0.6;

/** The share of the slack used during the first window after a start: retries of the previous process are unknown but still count. */
const startupSlackShare = 0.3;

type Bucket = {readonly startsAt: Milliseconds; requests: number; retries: number};

/**
 * Limits the retries of all hosts to a ratio of the requests, so that retries cannot amplify an overload: when servers crash or refuse
 * under load, all requests in flight would be retried at the same time. Each host counts its own requests and gets an equal part of
 * the slack.
 */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #startedAt: Milliseconds;
	#buckets: Bucket[] = [];

	/**
	 * @param options - Limits on retries and the window that they apply to.
	 * @param now - Current monotonic time.
	 */
	constructor(options: RetryBudgetOptions, now: Milliseconds) {
		this.#options = options;
		this.#startedAt = now;
	}

	/**
	 * Counts the first attempt of a request.
	 *
	 * @param now - Current monotonic time.
	 */
	recordRequest(now: Milliseconds): void {
		this.#currentBucket(now).requests++;
	}

	/**
	 * Acquires a retry from the budget.
	 *
	 * @param hosts - The number of hosts that share the slack, this one included.
	 * @param now - Current monotonic time.
	 * @returns Whether the retry may be made; if so, it has been counted.
	 */
	tryAcquire(hosts: number, now: Milliseconds): boolean {
		const {retryRatio, retrySlack, retryWindow} = this.#options;
		const bucket = this.#currentBucket(now);
		let requests = 0;
		let retries = 0;
		for (const entry of this.#buckets) {
			requests += entry.requests;
			retries += entry.retries;
		}

		const availableSlack = retrySlack * (now - this.#startedAt < retryWindow ? startupSlackShare : normalSlackShare) / Math.max(hosts, 1);
		if (retries + 1 > (requests * retryRatio) + availableSlack) {
			return false;
		}

		bucket.retries++;
		return true;
	}

	#currentBucket(now: Milliseconds): Bucket {
		const {retryWindow} = this.#options;
		const bucketLength = retryWindow * bucketShare;
		// The last retry of a bucket may come a full bucket length after the bucket's start.
		this.#buckets = this.#buckets.filter(bucket => now - bucket.startsAt < retryWindow + bucketLength);
		const last = this.#buckets.at(-1);
		if (last !== undefined && now - last.startsAt < bucketLength) {
			return last;
		}

		const bucket: Bucket = {startsAt: now, requests: 0, retries: 0};
		this.#buckets.push(bucket);
		return bucket;
	}
}
