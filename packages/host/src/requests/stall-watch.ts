import type {Route} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {Attempt} from './attempt.js';
import type {PipelineContext} from './pipeline-context.js';
import type {RelayedResponse} from './relayed-response.js';
import type {RetryAllowance} from './retry-allowance.js';
import type {RoutedRequest} from './routed-request.js';
import {StallDetector} from './stall-detector.js';

/** A server that has requests in flight and has sent no data for this long is considered crashed. For model servers, the limit is learned. */
const serverStallTimeout: Milliseconds = 350;

export type StallWatchOptions = {
	readonly context: PipelineContext;
	readonly request: RoutedRequest;
	readonly route: Route;
	readonly response: RelayedResponse;
	readonly retries: RetryAllowance;
	/** @returns Whether reading is paused because the client reads slowly. */
	isPaused(): boolean;
	/** Called when the attempt has stalled; `isServerStalled` if its server sends nothing for other requests either. */
	onStalled(reason: string, isServerStalled: boolean): void;
};

/** Watches the attempts of a request that may be repeated for stalls. */
export class StallWatch {
	readonly #options: StallWatchOptions;
	readonly #detector = new StallDetector((duration, isFinal) => {
		this.#onStall(duration, isFinal);
	});

	#attempt: Attempt | undefined;

	constructor(options: StallWatchOptions) {
		this.#options = options;
	}

	/**
	 * Starts to wait for the next data, or stops if no other attempt could be made.
	 *
	 * @param attempt - The running attempt.
	 */
	update(attempt: Attempt): void {
		const {request, response, retries, route} = this.#options;
		this.#attempt = attempt;
		if (!request.isRetryable || !response.canBeContinued || retries.isLastExecution) {
			this.#detector.stop();
		} else if (!attempt.hasFirstByte) {
			this.#detector.awaitFirstByte(route.objective, attempt.chosen.engine?.predictedTimeToFirstToken ?? 0);
		} else if (request.isStream) {
			this.#detector.awaitNextEvent();
		} else {
			this.#detector.stop();
		}
	}

	/** Stops watching. */
	stop(): void {
		this.#detector.stop();
	}

	#onStall(duration: Milliseconds, isFinal: boolean): void {
		const {context, request, route, isPaused, onStalled} = this.#options;
		const attempt = this.#attempt;
		if (attempt?.isSent !== true || attempt.isFinished || isPaused() || request.remainingTime() < route.objective / 2) {
			return;
		}

		const {health, engineObservations} = context.clusterState;
		const limit = attempt.chosen.engine === undefined ? serverStallTimeout : engineObservations.silenceLimit(request.service);
		const isServerStalled = health.stallDuration(attempt.chosen.entry.id, context.now()) >= limit;
		if (isServerStalled || isFinal) {
			onStalled(`no data for ${Math.round(duration)} ms`, isServerStalled);
		}
	}
}
