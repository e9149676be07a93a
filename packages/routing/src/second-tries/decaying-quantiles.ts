import type {Milliseconds} from '@lacewingpoint/shared';

/** The ratio of two adjacent bucket limits, and so the relative error of a quantile. */
const bucketGrowth = 1.15;

const bucketCount = 96;

type Counts = {readonly buckets: Float64Array; total: number};

const createCounts = (): Counts => ({buckets: new Float64Array(bucketCount), total: 0});

/** Quantiles of positive values that were recorded within the last one to two periods. */
export class DecayingQuantiles {
	readonly #period: Milliseconds;
	#current = createCounts();
	#previous = createCounts();
	#startedAt: Milliseconds | undefined;

	/** @param period - The time after which values begin to be forgotten. */
	constructor(period: Milliseconds) {
		this.#period = period;
	}

	/**
	 * Records a value.
	 *
	 * @param value - The value; those below 1 count as 1.
	 * @param now - Current monotonic time.
	 */
	record(value: number, now: Milliseconds): void {
		this.#rotate(now);
		const bucket = Math.min(Math.ceil(Math.log(Math.max(value, 1)) / Math.log(bucketGrowth)), bucketCount - 1);
		this.#current.buckets[bucket]!++;
		this.#current.total++;
	}

	/**
	 * Counts the values that are taken into account.
	 *
	 * @param now - Current monotonic time.
	 * @returns The number of values.
	 */
	count(now: Milliseconds): number {
		this.#rotate(now);
		return this.#current.total + this.#previous.total;
	}

	/**
	 * Finds a quantile.
	 *
	 * @param share - The share of the values that are not larger, from 0 to 1.
	 * @param now - Current monotonic time.
	 * @returns The quantile, at most 15% above the exact one; `undefined` if no value was recorded.
	 */
	quantile(share: number, now: Milliseconds): number | undefined {
		const total = this.count(now);
		if (total === 0) {
			return undefined;
		}

		let count = 0;
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			count += this.#current.buckets[bucket]! + this.#previous.buckets[bucket]!;
			if (count >= share * total) {
				return bucketGrowth ** bucket;
			}
		}

		return bucketGrowth ** (bucketCount - 1);
	}

	#rotate(now: Milliseconds): void {
		this.#startedAt ??= now;
		const elapsed = now - this.#startedAt;
		if (elapsed < this.#period) {
			return;
		}

		this.#previous = elapsed < 2 * this.#period ? this.#current : createCounts();
		this.#current = createCounts();
		this.#startedAt = now;
	}
}
