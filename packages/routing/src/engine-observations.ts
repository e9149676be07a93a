import type {Milliseconds, Tokens} from '@lacewingpoint/shared';
import {type ObservedPause, PrefillBacklogLimit} from './prefill-backlog-limit.js';

/** One late pause costs a response most of its value, so the limit falls quickly and recovers within tens of seconds. */
const backlogOptions = {
	lateShare: 0.97, reductionShare: 0.9, lowestStepShare: 0.8, growthPerSecond: 0.01, lowestLimit: 2048,
} as const;

/** What this host has observed of the model servers of each service. */
export class EngineObservations {
	readonly #backlogLimits = new Map<string, PrefillBacklogLimit>();

	/**
	 * Records the longest pause of a stream.
	 *
	 * @param service - The service's name.
	 * @param observation - The pause.
	 * @param now - Current monotonic time.
	 */
	recordPause(service: string, observation: ObservedPause, now: Milliseconds): void {
		const limit = this.#backlogLimits.get(service) ?? new PrefillBacklogLimit(backlogOptions);
		limit.recordPause(observation, now);
		this.#backlogLimits.set(service, limit);
	}

	/**
	 * Returns how many prompt tokens may wait for prefill at one server.
	 *
	 * @param service - The service's name.
	 * @param now - Current monotonic time.
	 * @returns The limit; infinite while no late pause was observed.
	 */
	prefillBacklogLimit(service: string, now: Milliseconds): Tokens {
		return this.#backlogLimits.get(service)?.limit(now) ?? Number.POSITIVE_INFINITY;
	}
}
