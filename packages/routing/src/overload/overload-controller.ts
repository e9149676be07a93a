import {type Milliseconds, type RandomSource, millisecondsPerSecond} from '@lacewingpoint/shared';
import {AdmissionShares} from './admission-shares.js';

export type OverloadControllerOptions = {
	/** Requests are limited once several delays in a row above the target add up to this multiple of it. A single one may be a pause of the garbage collector. */
	readonly accumulatedDelays: number;
	/** The shortest time between two changes of the limit. */
	readonly adjustmentInterval: Milliseconds;
	/** The limit ends after this long without a rejection. */
	readonly calmTime: Milliseconds;
	/** The lowest limit, in requests per second: some have to run to find out whether the host has caught up. */
	readonly minimumRate: number;
	/** The limit rises by at least this at each adjustment while the host keeps up. */
	readonly slowestIncrease: number;
};

export const defaultOverloadControllerOptions: OverloadControllerOptions = {
	accumulatedDelays: 3, adjustmentInterval: 100, calmTime: 1000, minimumRate: 1, slowestIncrease: 0.4,
};

/** A request waits for the event loop this often before its response begins: when it is read, sent and answered. */
const waitsPerRequest = 3;

/** Target of the event loop's delay while no latency objective is known. */
const defaultTargetDelay: Milliseconds = 100;

/**
 * Chooses the delay of the event loop from which a host counts as behind.
 *
 * @param objectives - The latency objectives of the routes.
 * @returns The target.
 */
export function chooseTargetDelay(objectives: readonly Milliseconds[]): Milliseconds {
	return objectives.length === 0 ? defaultTargetDelay : Math.min(...objectives) / waitsPerRequest;
}

/** What a measurement of the host shows. */
export type LoadMeasurement = {
	/** How late the event loop ran a timer. */
	readonly delay: Milliseconds;
	/** With a longer delay, the host is behind. */
	readonly targetDelay: Milliseconds;
	/** The number of requests that have ended since the start of the host. */
	readonly finishedRequests: number;
	/** How long the event loop was busy since the start of the host, waits for the processor included. */
	readonly busyTime: Milliseconds;
};

/** What the admission of a request depends on. */
export type RequestArrival = {
	readonly rank: number;
	/** Empty without a workspace. */
	readonly workspace: string;
};

/** The share of the time that the event loop may be busy. The rest is for control work, and lets it catch up. */
const targetUtilization = 0.9;

/** The limit changes by at most this factor in one adjustment. */
const largestChange = {decrease: 0.5, increase: 1.25} as const;

/** Weights of earlier measurements fall by a factor of e in this time. */
const memoryTime: Milliseconds = 1500;

/** Tokens of the limit are saved up for this long. */
const burstTime: Milliseconds = 200;

/**
 * Limits the requests that a host admits per second while its event loop is behind, and raises the limit again as it catches up.
 *
 * Designed for demand of several times what the host can do, for seconds: without a limit, all requests are begun, each takes so long that
 * its client gives up, and the processor time is spent on requests that nobody waits for, also after demand has fallen. The limit is
 * what the host can do by the time that the event loop was busy for each request which has ended lately.
 */
export class OverloadController {
	readonly #options: OverloadControllerOptions;
	readonly #shares = new AdmissionShares();
	/** Requests per second; `undefined` while they are not limited. */
	#rate: number | undefined;
	#tokens = 0;
	#tokensAt = 0;
	/** The latest delays in a row above the target. */
	#delays = {count: 0, sum: 0};
	#lastDelay: Milliseconds = 0;
	/** The latest measurement and its time. */
	#latest: {readonly at: Milliseconds; readonly measurement: LoadMeasurement} | undefined;
	/** Sums over the measurements, of which earlier ones count less. */
	#recent = {finishedRequests: 0, busyTime: 0, elapsed: 0};
	#adjustedAt = Number.NEGATIVE_INFINITY;
	#lastRejectionAt = Number.NEGATIVE_INFINITY;

	constructor(options: OverloadControllerOptions) {
		this.#options = options;
	}

	/** The limit in requests per second; `undefined` while requests are not limited. */
	get rate(): number | undefined {
		return this.#rate;
	}

	/** The last measured delay. */
	get lastDelay(): Milliseconds {
		return this.#lastDelay;
	}

	/**
	 * Adjusts the limit to a measurement.
	 *
	 * @param measurement - The delay of the event loop, and the requests that have ended.
	 * @param now - Current monotonic time.
	 */
	recordMeasurement(measurement: LoadMeasurement, now: Milliseconds): void {
		const {delay, targetDelay} = measurement;
		const {accumulatedDelays, adjustmentInterval, calmTime} = this.#options;
		this.#lastDelay = delay;
		this.#addMeasurement(measurement, now);
		this.#delays = delay > targetDelay ? {count: this.#delays.count + 1, sum: this.#delays.sum + delay} : {count: 0, sum: 0};
		if (this.#rate === undefined) {
			if (this.#delays.count > 1 && this.#delays.sum >= accumulatedDelays * targetDelay) {
				this.#startLimit(now);
			}

			return;
		}

		if (delay <= targetDelay && now - this.#lastRejectionAt > calmTime) {
			this.#rate = undefined;
			this.#shares.clear();
			return;
		}

		if (now - this.#adjustedAt < adjustmentInterval) {
			return;
		}

		this.#adjustedAt = now;
		this.#rate = this.#adjustRate(this.#rate, delay, targetDelay);
		this.#shares.update(millisecondsPerSecond / adjustmentInterval, this.#rate);
	}

	/**
	 * Decides whether a request is admitted while requests are limited.
	 *
	 * @param arrival - The rank and workspace of the request.
	 * @param now - Current monotonic time.
	 * @returns Whether it is; always, while requests are not limited.
	 */
	admit({rank, workspace}: RequestArrival, now: Milliseconds): boolean {
		if (this.#rate === undefined) {
			return true;
		}

		const burst = Math.max(this.#rate * burstTime / millisecondsPerSecond, 1);
		this.#tokens = Math.min(this.#tokens + ((now - this.#tokensAt) * this.#rate / millisecondsPerSecond), burst);
		this.#tokensAt = now;
		// Unused tokens are given out whatever the shares are, which follow the demand with a delay.
		const isAdmitted = this.#shares.admit(rank, workspace) || this.#tokens >= burst;
		if (!isAdmitted || this.#tokens < 1) {
			this.#lastRejectionAt = now;
			return false;
		}

		this.#tokens--;
		return true;
	}

	#startLimit(now: Milliseconds): void {
		this.#rate = Math.max(Math.min(this.#possibleRate(), this.#finishedRate()), this.#options.minimumRate);
		this.#tokens = 0;
		this.#tokensAt = now;
		this.#adjustedAt = now;
		this.#lastRejectionAt = now;
	}

	// The busy time includes control work and rejections, so that the possible rate is a lower bound while the host keeps up.
	#adjustRate(rate: number, delay: Milliseconds, targetDelay: Milliseconds): number {
		const {minimumRate, slowestIncrease} = this.#options;
		if (delay > targetDelay) {
			return Math.max(Math.min(rate, this.#possibleRate()) * targetDelay / delay, rate * largestChange.decrease, minimumRate);
		}

		return delay > targetDelay / 2 ? rate : Math.max(Math.min(this.#possibleRate(), rate * largestChange.increase), rate + slowestIncrease);
	}

	#addMeasurement(measurement: LoadMeasurement, now: Milliseconds): void {
		if (this.#latest !== undefined) {
			const {at, measurement: previous} = this.#latest;
			const elapsed = now - at;
			const weight = Math.exp(-elapsed / memoryTime);
			this.#recent = {
				finishedRequests: (this.#recent.finishedRequests * weight) + Math.max(measurement.finishedRequests - previous.finishedRequests, 0),
				busyTime: (this.#recent.busyTime * weight) + measurement.busyTime - previous.busyTime,
				elapsed: (this.#recent.elapsed * weight) + elapsed,
			};
		}

		this.#latest = {at: now, measurement};
	}

	// Requests that ended per second, lately.
	#finishedRate(): number {
		const {finishedRequests, elapsed} = this.#recent;
		return elapsed === 0 ? 0 : finishedRequests * millisecondsPerSecond / elapsed;
	}

	// Requests that could end per second at the time that the event loop is busy for each.
	#possibleRate(): number {
		const {finishedRequests, busyTime} = this.#recent;
		return busyTime === 0 ? Number.POSITIVE_INFINITY : finishedRequests * millisecondsPerSecond * targetUtilization / busyTime;
	}
}

/** Clients follow a retry-after of at most this share of their remaining time. */
const longestRetryShare = 0.33;

/** Retry-after for clients that state no deadline. */
const defaultRetrySpan: Milliseconds = 2000;

/**
 * Chooses when the client of a rejected request is to return. The times are spread, so that rejected clients do not return together.
 *
 * @param remainingTime - How long the client still waits; `undefined` if it does not state it.
 * @param random - Source of the spread.
 * @returns The time to send as retry-after.
 */
export function spreadRetryAfter(remainingTime: Milliseconds | undefined, random: RandomSource): Milliseconds {
	const longest = remainingTime === undefined ? defaultRetrySpan : Math.max(remainingTime, 0) * longestRetryShare;
	return longest * (1 + random.next()) / 2;
}
