import type {Route} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ReceivedRequest} from '../ports.js';
import type {Attempt} from './attempt.js';
import type {PipelineContext} from './pipeline-context.js';
import {sharedPartIds} from './request-admission.js';

/** A server that has been sending its response for this long was not crashed by the prompt. */
const responseSurvivalTime: Milliseconds = 100;

export type ResponseObserverOptions = {
	readonly context: PipelineContext;
	readonly received: ReceivedRequest;
	readonly route: Route;
	readonly service: string;
	readonly isStream: boolean;
};

/** Learns from the responses to one request how the servers perform. */
export class ResponseObserver {
	readonly #options: ResponseObserverOptions;
	#firstByteAt: Milliseconds | undefined;

	constructor(options: ResponseObserverOptions) {
		this.#options = options;
	}

	/** When the first byte of any response arrived; `undefined` before. */
	get firstByteAt(): Milliseconds | undefined {
		return this.#firstByteAt;
	}

	/**
	 * Records that the head of a response arrived.
	 *
	 * @param attempt - The attempt that it belongs to.
	 */
	recordHead({chosen}: Attempt): void {
		const {context: {clusterState, now}, service} = this.#options;
		const silence = clusterState.health.recordDataReceived(chosen.entry.id, now());
		if (chosen.engine !== undefined) {
			clusterState.engineObservations.recordSilence(service, silence);
		}
	}

	/**
	 * Records that a piece of the response body arrived.
	 *
	 * @param attempt - The attempt that it belongs to.
	 */
	recordData(attempt: Attempt): void {
		const {clusterState, now} = this.#options.context;
		const receivedAt = now();
		clusterState.health.recordDataReceived(attempt.chosen.entry.id, receivedAt);
		if (!attempt.hasFirstByte) {
			this.#recordFirstByte(attempt);
		}

		this.#recordPause(attempt, receivedAt);
		if (receivedAt - attempt.firstDataAt! >= responseSurvivalTime) {
			this.recordSurvival(attempt);
		}
	}

	/**
	 * Records that the server has survived its response, which exonerates the parts of the prompt.
	 *
	 * @param attempt - The attempt; without effect unless its response is a success with a body.
	 */
	recordSurvival(attempt: Attempt): void {
		const isSuccess = attempt.status >= 200 && attempt.status < 300;
		if (isSuccess && !attempt.hasSurvivedResponse && attempt.firstDataAt !== undefined) {
			attempt.hasSurvivedResponse = true;
			this.#options.context.promptPartGuard.recordExecution(sharedPartIds(this.#options.received.request), attempt.firstDataAt);
		}
	}

	#recordFirstByte(attempt: Attempt): void {
		const {context, received, route, service} = this.#options;
		const {clusterState, metrics, now} = context;
		const {entry, engine} = attempt.chosen;
		attempt.hasFirstByte = true;
		attempt.firstDataAt = now();
		const timeToFirstByte = now() - attempt.sentAt;
		context.secondTries?.recordResponseTime(route.name, timeToFirstByte, engine?.predictedTimeToFirstToken ?? 0, now());
		if (engine !== undefined) {
			context.onPrefillEnded(attempt.chosen, received, true);
			clusterState.loads.completePrefill(entry.id, attempt.load.prefillTokens);
			attempt.load = {...attempt.load, prefillTokens: 0};
			clusterState.engineObservations.recordFirstToken(service, {
				server: entry.id,
				prefillTokens: engine.prefillTokens,
				time: timeToFirstByte - engine.fetchTime,
				// The prediction is scaled by the slowness, which has to be learned relative to the unscaled one.
				expectedTime: (engine.predictedTimeToFirstToken - engine.fetchTime) / engine.slowness,
				isUndisturbed: engine.isLightlyLoaded && engine.fetchedTokens === 0,
			}, now());
		}

		if (this.#firstByteAt === undefined) {
			this.#firstByteAt = now();
			metrics.recordDuration('first_byte', this.#firstByteAt - received.receivedAt, {route: route.name});
		}
	}

	#recordPause(attempt: Attempt, now: Milliseconds): void {
		const {context, route, service, isStream} = this.#options;
		const {clusterState} = context;
		const pause = now - (attempt.lastDataAt ?? now);
		attempt.lastDataAt = now;
		if (isStream && pause > attempt.longestPause) {
			attempt.longestPause = pause;
			attempt.pauseBacklog = clusterState.loads.totalLoad(attempt.chosen.entry.id, now).prefillTokens;
			if (route.pauseObjective !== undefined && attempt.chosen.engine !== undefined) {
				clusterState.engineObservations.recordPause(service, {pause, objective: route.pauseObjective, backlog: attempt.pauseBacklog}, now);
			}
		}
	}
}
