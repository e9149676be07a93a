import type {Milliseconds} from '@lacewingpoint/shared';
import {findMedian} from './engine-speed.js';

/** A sum of observations of one server, for other hosts: the mean natural logarithm of measured over expected time, and their number. */
export type PaceReport = {readonly server: string; readonly mean: number; readonly count: number};

export type ServerPaceOptions = {
	/** The number of observations after which the oldest are forgotten. */
	readonly memory: number;
	/** The weight of the service's median in the pace of one server, in observations. */
	readonly medianWeight: number;
	/** The spread of single observations of one server, as a logarithm. Differences from the median that it may cause do not count. */
	readonly observationSpread: number;
	/** The number of observations that halves each time this long passes. */
	readonly halfLife: Milliseconds;
	/** A server this many times slower than it usually is counts as disturbed. */
	readonly disturbanceFactor: number;
	/** The duration after which a disturbance has mostly passed if nothing more is observed. */
	readonly disturbanceTime: Milliseconds;
	/** The number of servers that the median needs. */
	readonly medianServers: number;
	/** The time after which the median is computed again. */
	readonly medianInterval: Milliseconds;
};

/** The options for use in production. */
export const defaultServerPaceOptions: ServerPaceOptions = {
	memory: 16, medianWeight: 1, observationSpread: 0.4, halfLife: 60_000, disturbanceFactor: 1.6, disturbanceTime: 600, medianServers: 3, medianInterval: 1000,
};

/** Bounds of one observation, so that a single slow or fast request has a limited effect. */
const ratioBounds = {lowest: 0.25, highest: 10};

type Pace = {
	/** The mean logarithm of measured over expected time. */
	mean: number;
	count: number;
	updatedAt: Milliseconds;
	/** How much slower than usual the server was last, as a logarithm. */
	disturbance: number;
	disturbedAt: Milliseconds;
	/** What this host has observed and not reported yet. */
	unreportedSum: number;
	unreportedCount: number;
};

/**
 * The pace of each model server of one service, compared to the expected time. Separates lasting differences, which are kept for minutes
 * and shared between hosts, from passing ones, which count for a moment only. Answers the load of servers of which some are slow for good
 * and others are slowed by a neighbor for parts of a second. A server of which little is known has the median of the others.
 */
export class ServerPaces {
	readonly #options: ServerPaceOptions;
	readonly #paces = new Map<string, Pace>();
	#median = 0;
	#medianAt = Number.NEGATIVE_INFINITY;

	constructor(options: ServerPaceOptions = defaultServerPaceOptions) {
		this.#options = options;
	}

	/**
	 * Records how long a server took compared to the expectation.
	 *
	 * @param server - The server's id.
	 * @param ratio - Measured time divided by the time expected of a server of usual speed.
	 * @param now - Current monotonic time.
	 */
	recordRatio(server: string, ratio: number, now: Milliseconds): void {
		const observed = Math.log(Math.min(Math.max(ratio, ratioBounds.lowest), ratioBounds.highest));
		const pace = this.#getPace(server, now);
		const excess = observed - this.#lastingPace(pace, now);
		const isDisturbed = excess > Math.log(this.#options.disturbanceFactor);
		pace.disturbance = isDisturbed ? excess : 0;
		pace.disturbedAt = now;
		this.#merge(pace, observed, 1, now);
		pace.unreportedSum += observed;
		pace.unreportedCount++;
	}

	/**
	 * Returns how slow a server is compared to the expectation.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 * @returns A factor: 1 as expected, 2 takes twice as long.
	 */
	slowness(server: string, now: Milliseconds): number {
		const pace = this.#paces.get(server);
		if (pace === undefined) {
			return Math.exp(this.#currentMedian(now));
		}

		const disturbance = pace.disturbance === 0 ? 0 : pace.disturbance * Math.exp(-(now - pace.disturbedAt) / this.#options.disturbanceTime);
		return Math.exp(this.#lastingPace(pace, now) + disturbance);
	}

	/**
	 * Takes what this host has observed since the last report, of the servers with the most observations.
	 *
	 * @param maximumCount - The largest number of servers.
	 * @returns One entry for each server.
	 */
	takeReports(maximumCount: number): PaceReport[] {
		const observed = [...this.#paces].filter(([, {unreportedCount}]) => unreportedCount > 0)
			.toSorted(([, left], [, right]) => right.unreportedCount - left.unreportedCount)
			.slice(0, maximumCount);
		return observed.map(([server, pace]) => {
			const report = {server, mean: pace.unreportedSum / pace.unreportedCount, count: pace.unreportedCount};
			pace.unreportedSum = 0;
			pace.unreportedCount = 0;
			return report;
		});
	}

	/**
	 * Merges what another host has observed.
	 *
	 * @param report - Its observations of one server.
	 * @param now - Current monotonic time.
	 * @returns Whether the report was readable.
	 */
	mergeReport({server, mean, count}: PaceReport, now: Milliseconds): boolean {
		const bounded = Math.min(Math.max(mean, Math.log(ratioBounds.lowest)), Math.log(ratioBounds.highest));
		if (!Number.isFinite(bounded) || !(count > 0)) {
			return false;
		}

		this.#merge(this.#getPace(server, now), bounded, Math.min(count, this.#options.memory), now);
		return true;
	}

	/**
	 * Discards what is known of a server: another process has its address, or it is gone.
	 *
	 * @param server - The server's id.
	 */
	clearServer(server: string): void {
		this.#paces.delete(server);
	}

	#merge(pace: Pace, observed: number, weight: number, now: Milliseconds): void {
		const count = this.#remainingCount(pace, now);
		pace.mean = ((pace.mean * count) + (observed * weight)) / (count + weight);
		pace.count = Math.min(count + weight, this.#options.memory);
		pace.updatedAt = now;
	}

	#remainingCount({count, updatedAt}: Pace, now: Milliseconds): number {
		return count * (0.5 ** ((now - updatedAt) / this.#options.halfLife));
	}

	#lastingPace(pace: Pace, now: Milliseconds): number {
		const {medianWeight, observationSpread} = this.#options;
		const median = this.#currentMedian(now);
		const count = this.#remainingCount(pace, now) + medianWeight;
		const difference = (pace.mean - median) * (count - medianWeight) / count;
		const uncertainty = observationSpread / Math.sqrt(count);
		// Otherwise all hosts would prefer the server that chance has made look fastest.
		return Math.abs(difference) <= uncertainty ? median : median + difference;
	}

	#currentMedian(now: Milliseconds): number {
		if (now - this.#medianAt >= this.#options.medianInterval) {
			const means = [...this.#paces.values()].filter(pace => this.#remainingCount(pace, now) >= 1).map(pace => pace.mean);
			this.#median = means.length < this.#options.medianServers ? 0 : findMedian(means);
			this.#medianAt = now;
		}

		return this.#median;
	}

	#getPace(server: string, now: Milliseconds): Pace {
		const known = this.#paces.get(server);
		if (known !== undefined) {
			return known;
		}

		const pace: Pace = {
			mean: 0, count: 0, updatedAt: now, disturbance: 0, disturbedAt: now, unreportedSum: 0, unreportedCount: 0,
		};
		this.#paces.set(server, pace);
		return pace;
	}
}
