import type {Milliseconds, Tokens} from '@lacewingpoint/shared';
import {type EngineSpeed, EngineSpeedEstimate, defaultEngineSpeed} from './engines/engine-speed.js';
import {type PaceReport, ServerPaces} from './engines/server-paces.js';
import {SilenceLimit} from './engines/silence-limit.js';
import {type ObservedPause, PrefillBacklogLimit} from './prefill-backlog-limit.js';

/** One late pause costs a response most of its value, so the limit falls quickly and recovers within tens of seconds. */
const backlogOptions = {
	lateShare: 0.97, reductionShare: 0.9, lowestStepShare: 0.8, growthPerSecond: 0.01, lowestLimit: 2048,
} as const;

/** The first token of a response from a model server, and what was expected. */
export type FirstTokenObservation = {
	readonly server: string;
	/** The prompt tokens that the server had to prefill, those of earlier requests included. */
	readonly prefillTokens: Tokens;
	/** The time from sending the request to its first token, without that of a fetch. */
	readonly time: Milliseconds;
	/** The time expected of a server of usual speed. */
	readonly expectedTime: Milliseconds;
	/** Whether the time shows the speed of an engine: few other requests were running, and nothing was fetched. */
	readonly isUndisturbed: boolean;
};

type ServiceObservations = {
	readonly backlogLimit: PrefillBacklogLimit;
	readonly speed: EngineSpeedEstimate;
	readonly paces: ServerPaces;
	readonly silenceLimit: SilenceLimit;
};

/** What this host has observed of the model servers of each service. */
export class EngineObservations {
	readonly #services = new Map<string, ServiceObservations>();
	readonly #assumedSpeed: EngineSpeed;

	/**
	 * @param assumedSpeed - The speed of model servers until there are observations.
	 */
	constructor(assumedSpeed: EngineSpeed = defaultEngineSpeed) {
		this.#assumedSpeed = assumedSpeed;
	}

	/**
	 * Records the longest pause of a stream.
	 *
	 * @param service - The service's name.
	 * @param observation - The pause.
	 * @param now - Current monotonic time.
	 */
	recordPause(service: string, observation: ObservedPause, now: Milliseconds): void {
		this.#getService(service).backlogLimit.recordPause(observation, now);
	}

	/**
	 * Records the first token of a response.
	 *
	 * @param service - The service's name.
	 * @param observation - The time that it took and what was expected.
	 * @param now - Current monotonic time.
	 */
	recordFirstToken(service: string, {server, prefillTokens, time, expectedTime, isUndisturbed}: FirstTokenObservation, now: Milliseconds): void {
		const {speed, paces} = this.#getService(service);
		paces.recordRatio(server, time / Math.max(expectedTime, 1), now);
		if (isUndisturbed) {
			speed.recordFirstToken({prefillTokens, time});
		}
	}

	/**
	 * Records that a server has begun a response.
	 *
	 * @param service - The service's name.
	 * @param silence - The time for which it had sent nothing although requests were in flight.
	 */
	recordSilence(service: string, silence: Milliseconds): void {
		this.#getService(service).silenceLimit.recordSilence(silence);
	}

	/**
	 * Returns how many prompt tokens may wait for prefill at one server.
	 *
	 * @param service - The service's name.
	 * @param now - Current monotonic time.
	 * @returns The limit; infinite while no late pause was observed.
	 */
	prefillBacklogLimit(service: string, now: Milliseconds): Tokens {
		return this.#services.get(service)?.backlogLimit.limit(now) ?? Number.POSITIVE_INFINITY;
	}

	/**
	 * Returns how fast the servers of a service usually are.
	 *
	 * @param service - The service's name.
	 * @returns The speed: the assumed one without observations.
	 */
	speed(service: string): EngineSpeed {
		return this.#services.get(service)?.speed.speed ?? this.#assumedSpeed;
	}

	/**
	 * Returns how slow a server is compared to the usual speed.
	 *
	 * @param service - The service's name.
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 * @returns A factor: 1 as usual, 2 takes twice as long; the median of the service if little is known of the server.
	 */
	slowness(service: string, server: string, now: Milliseconds): number {
		return this.#services.get(service)?.paces.slowness(server, now) ?? 1;
	}

	/**
	 * Returns from which silence on a server counts as stalled.
	 *
	 * @param service - The service's name.
	 * @returns The time without data although requests are in flight.
	 */
	silenceLimit(service: string): Milliseconds {
		return this.#getService(service).silenceLimit.limit;
	}

	/**
	 * Takes what this host has observed of the paces of servers since the last report.
	 *
	 * @param maximumCount - The largest number of servers.
	 * @returns One summary for each server.
	 */
	takePaceReports(maximumCount: number): PaceReport[] {
		const reports: PaceReport[] = [];
		for (const {paces} of this.#services.values()) {
			reports.push(...paces.takeReports(maximumCount - reports.length));
		}

		return reports;
	}

	/**
	 * Merges what another host has observed of the pace of a server.
	 *
	 * @param service - The service's name.
	 * @param report - The summary.
	 * @param now - Current monotonic time.
	 * @returns Whether the summary was readable.
	 */
	mergePaceReport(service: string, report: PaceReport, now: Milliseconds): boolean {
		return this.#getService(service).paces.mergeReport(report, now);
	}

	/**
	 * Discards what is known of a server: another process has its address, or it is gone.
	 *
	 * @param server - The server's id.
	 */
	clearServer(server: string): void {
		for (const {paces} of this.#services.values()) {
			paces.clearServer(server);
		}
	}

	#getService(service: string): ServiceObservations {
		const known = this.#services.get(service);
		if (known !== undefined) {
			return known;
		}

		const observations: ServiceObservations = {
			backlogLimit: new PrefillBacklogLimit(backlogOptions), speed: new EngineSpeedEstimate(this.#assumedSpeed), paces: new ServerPaces(), silenceLimit: new SilenceLimit(),
		};
		this.#services.set(service, observations);
		return observations;
	}
}
