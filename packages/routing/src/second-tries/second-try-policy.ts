import type {Milliseconds} from '@lacewingpoint/shared';
import {DecayingQuantiles} from './decaying-quantiles.js';

export type SecondTryOptions = {
	/** The largest number of second tries as a share of the requests, which the operators set. */
	readonly maximumShare: number;
	/** The share of first responses after which a response counts as slow. */
	readonly slowQuantile: number;
	/** How long response times are remembered for the quantiles. */
	readonly memory: Milliseconds;
	/** How long response times count as the present ones, which are compared with the remembered ones. */
	readonly presentTime: Milliseconds;
	/** The number of response times of a route below which a response is slow by its objective and prediction. */
	readonly minimumSamples: number;
	/** The share of the objective after which a response is slow while few of its route are known: the second server then still can be in time. */
	readonly objectiveShare: number;
	/** The multiple of the predicted time that a response is given in any case while few of its route are known. */
	readonly predictionFactor: number;
	/** The ratio of the present median to the remembered one from which on the slowness is general, so that another server would not be faster. */
	readonly generalSlowness: number;
	/** The share of the service's slots above which second tries would take room from other requests. */
	readonly maximumLoadShare: number;
	/** The second tries that may be saved up in quiet times. */
	readonly savedTries: number;
};

/** Options for second tries, without the operators' limit. */
export const defaultSecondTryOptions: Omit<SecondTryOptions, 'maximumShare'> = {
	slowQuantile: 0.95,
	memory: 30_000,
	presentTime: 2000,
	minimumSamples: 40,
	objectiveShare: 0.5,
	predictionFactor: 2,
	generalSlowness: 1.6,
	maximumLoadShare: 0.7,
	savedTries: 5,
};

/** What a second try depends on when it is due. */
export type SecondTryConditions = {
	/** Name of the route. */
	readonly route: string;
	/** The requests at the servers of the service that may get the request, as a share of their slots. */
	readonly loadShare: number;
	/** Whether requests of the service are waiting for a server. */
	readonly hasQueue: boolean;
	/** Whether the host itself is behind with its work. */
	readonly isHostOverloaded: boolean;
	/** The time until the deadline of the request. */
	readonly remainingTime: Milliseconds;
};

/** What a response is expected to take. */
export type ExpectedResponse = {
	/** Name of the route. */
	readonly route: string;
	/** The latency objective of the route. */
	readonly objective: Milliseconds;
	/** The predicted time to the first byte; 0 without a prediction. */
	readonly predicted: Milliseconds;
};

/** Whether a second try is made, or why not. */
export type SecondTryDecision = 'send' | 'generally-slow' | 'no-room' | 'host-overloaded' | 'too-late' | 'limit';

type RouteTimes = {readonly remembered: DecayingQuantiles; readonly present: DecayingQuantiles};

/**
 * Decides when a request that may be repeated is sent to a second server because the first is slow. Designed for few slow answers of single
 * servers in a service with room: a noisy neighbour, a pause, a lost packet. When all servers are slow or full, no second try is made, since
 * it would add to the load that makes them slow. Times are relative to what was predicted for the request, so that a long prompt is not
 * taken for a slow server.
 */
export class SecondTryPolicy {
	readonly #options: SecondTryOptions;
	readonly #times = new Map<string, RouteTimes>();
	#savedTries: number;

	/**
	 * @param options - The operators' limit and what counts as slow.
	 * @param initialTries - The part of a try that counts as saved up at the start, from 0 to 1. If it is random, hosts that see few requests
	 * make the operators' share of second tries on average.
	 */
	constructor(options: SecondTryOptions, initialTries: number) {
		this.#options = options;
		this.#savedTries = initialTries;
	}

	/** Counts a request of this host, of which the limit is a share. Those that must not be repeated count as well. */
	recordRequest(): void {
		const {maximumShare, savedTries} = this.#options;
		this.#savedTries = Math.min(this.#savedTries + maximumShare, savedTries);
	}

	/**
	 * Records how long a server took until the first byte of its response.
	 *
	 * @param route - Name of the route.
	 * @param time - The time, or for a response that was not waited for the time until then.
	 * @param predicted - The time that was predicted; 0 without a prediction.
	 * @param now - Current monotonic time.
	 */
	recordResponseTime(route: string, time: Milliseconds, predicted: Milliseconds, now: Milliseconds): void {
		const relativeTime = toRelativeTime(time, predicted);
		const {remembered, present} = this.#timesOf(route);
		remembered.record(relativeTime, now);
		present.record(relativeTime, now);
	}

	/**
	 * Determines when a response is slow.
	 *
	 * @param expected - The route, its objective and the prediction.
	 * @param now - Current monotonic time.
	 * @returns The time after the request was sent.
	 */
	slowAfter({route, objective, predicted}: ExpectedResponse, now: Milliseconds): Milliseconds {
		const {slowQuantile, minimumSamples, objectiveShare, predictionFactor} = this.#options;
		const {remembered} = this.#timesOf(route);
		return remembered.count(now) < minimumSamples
			? Math.max(objective * objectiveShare, predicted * predictionFactor)
			: remembered.quantile(slowQuantile, now)! * toUnit(predicted);
	}

	/**
	 * Decides whether a second try is made now; if so, it counts against the limit.
	 *
	 * @param conditions - The route, the load of its servers and of the host, and the time left.
	 * @param predicted - The predicted time to the first byte at the second server; 0 without a prediction.
	 * @param now - Current monotonic time.
	 * @returns The decision.
	 */
	claim(conditions: SecondTryConditions, predicted: Milliseconds, now: Milliseconds): SecondTryDecision {
		const {minimumSamples, generalSlowness, maximumLoadShare} = this.#options;
		const {remembered, present} = this.#timesOf(conditions.route);
		if (conditions.isHostOverloaded) {
			return 'host-overloaded';
		}

		if (conditions.hasQueue || conditions.loadShare > maximumLoadShare) {
			return 'no-room';
		}

		const median = remembered.quantile(0.5, now) ?? 0;
		if (remembered.count(now) >= minimumSamples && (present.quantile(0.5, now) ?? median) > median * generalSlowness) {
			return 'generally-slow';
		}

		if (conditions.remainingTime < Math.max(median * toUnit(predicted), predicted)) {
			return 'too-late';
		}

		if (this.#savedTries < 1) {
			return 'limit';
		}

		this.#savedTries--;
		return 'send';
	}

	#timesOf(route: string): RouteTimes {
		const known = this.#times.get(route);
		if (known !== undefined) {
			return known;
		}

		const times = {remembered: new DecayingQuantiles(this.#options.memory), present: new DecayingQuantiles(this.#options.presentTime)};
		this.#times.set(route, times);
		return times;
	}
}

// Without a prediction, times are in milliseconds; with one, in hundredths of it.
function toUnit(predicted: Milliseconds): Milliseconds {
	return predicted > 0 ? predicted / 100 : 1;
}

function toRelativeTime(time: Milliseconds, predicted: Milliseconds): number {
	return time / toUnit(predicted);
}
