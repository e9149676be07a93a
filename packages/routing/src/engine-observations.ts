import type {Milliseconds, Tokens} from '@lacewingpoint/shared';
import {defaultEnginePlacementOptions} from './engine-placement.js';
import {type EngineTiming, EngineTimingEstimator} from './engine-timing.js';
import {PrefillBacklogLimit} from './prefill-backlog-limit.js';

/** A host of a large fleet measures one or two requests a second; a hundred of them follow a change of the engines within a minute. */
const timingOptions = {
	assumed: defaultEnginePlacementOptions.timing, assumedWeight: 20, retention: 0.99, outlierFactor: 4,
} as const;

/** One late pause costs a response most of its value, so the limit falls quickly and recovers within tens of seconds. */
const backlogOptions = {
	lateShare: 0.97, reductionShare: 0.9, lowestStepShare: 0.8, growthPerSecond: 0.01, lowestLimit: 2048,
} as const;

type ServiceObservations = {readonly timing: EngineTimingEstimator; readonly backlogLimit: PrefillBacklogLimit};

/** A pause within a stream, the longest one that is on time, and the prompt tokens that waited for prefill at the server during it. */
export type ObservedPause = {readonly pause: Milliseconds; readonly objective: Milliseconds; readonly backlog: Tokens};

/** What this host has observed of the model servers of each service. */
export class EngineObservations {
	readonly #services = new Map<string, ServiceObservations>();

	/**
	 * Records the time to first token of a response.
	 *
	 * @param service - The service's name.
	 * @param tokens - The tokens that had to be prefilled first.
	 * @param time - The time to first token, without that of a fetch.
	 */
	recordFirstToken(service: string, tokens: Tokens, time: Milliseconds): void {
		this.#getService(service).timing.recordFirstToken(tokens, time);
	}

	/**
	 * Records the longest pause of a stream.
	 *
	 * @param service - The service's name.
	 * @param observation - The pause.
	 * @param now - Current monotonic time.
	 */
	recordPause(service: string, observation: ObservedPause, now: Milliseconds): void {
		this.#getService(service).backlogLimit.recordPause(observation.pause, observation.objective, observation.backlog, now);
	}

	/**
	 * Returns what placements depend on.
	 *
	 * @param service - The service's name.
	 * @param now - Current monotonic time.
	 * @returns The speed of the engines, and how many prompt tokens may wait at one of them.
	 */
	describeService(service: string, now: Milliseconds): {readonly timing: EngineTiming; readonly prefillBacklogLimit: Tokens} {
		const {timing, backlogLimit} = this.#getService(service);
		return {timing: timing.timing, prefillBacklogLimit: backlogLimit.limit(now)};
	}

	#getService(name: string): ServiceObservations {
		const known = this.#services.get(name);
		if (known !== undefined) {
			return known;
		}

		const observations = {timing: new EngineTimingEstimator(timingOptions), backlogLimit: new PrefillBacklogLimit(backlogOptions)};
		this.#services.set(name, observations);
		return observations;
	}
}
