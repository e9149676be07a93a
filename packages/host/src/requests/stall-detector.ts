import type {Milliseconds} from '@lacewingpoint/shared';

/** A stream without data for this long is considered stalled: model servers send several events per second. */
const streamStallTimeout: Milliseconds = 1200;

/** Multiple of the latency objective after which a request is considered stalled if its server sends no data for any request. */
const stalledServerFactor = 1.4;

/** Multiple of the latency objective after which a request is considered stalled in any case: a server may hang on one request and respond to others. */
const hungRequestFactor = 3;

/** The same timeouts as multiples of the predicted time to first byte, since a prediction may be wrong by these factors. The longer timeout applies. */
const predictionFactors = {stalledServer: 2, hungRequest: 4} as const;

/** Detects that a server has sent no data for one request for too long. Meant for requests that may be retried at another server. */
export class StallDetector {
	readonly #onStall: (duration: Milliseconds, isFinal: boolean) => void;
	#timers: NodeJS.Timeout[] = [];
	/** The timer for the next data of a stream, if that is what is waited for. */
	#streamTimer: NodeJS.Timeout | undefined;

	/**
	 * @param onStall - Called with the time without data when a timeout ends. Without `isFinal`, the request is stalled only if the
	 * server sends no data for other requests either; with `isFinal`, it is stalled in any case.
	 */
	constructor(onStall: (duration: Milliseconds, isFinal: boolean) => void) {
		this.#onStall = onStall;
	}

	/**
	 * Starts the timeouts for the first byte of a response; replaces running ones.
	 *
	 * @param objective - The latency objective of the request.
	 * @param predicted - The predicted time to first byte; 0 without a prediction.
	 */
	awaitFirstByte(objective: Milliseconds, predicted: Milliseconds): void {
		this.stop();
		this.#startTimer(Math.max(objective * stalledServerFactor, predicted * predictionFactors.stalledServer), false);
		this.#startTimer(Math.max(objective * hungRequestFactor, predicted * predictionFactors.hungRequest), true);
	}

	/** Starts the timeout for the next data of a stream; replaces running ones. */
	awaitNextEvent(): void {
		if (this.#streamTimer !== undefined) {
			this.#streamTimer.refresh();
			return;
		}

		this.stop();
		this.#streamTimer = this.#startTimer(streamStallTimeout, true);
	}

	/** Cancels the running timeouts. */
	stop(): void {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		this.#timers = [];
		this.#streamTimer = undefined;
	}

	#startTimer(duration: Milliseconds, isFinal: boolean): NodeJS.Timeout {
		const timer = setTimeout(() => {
			this.#onStall(duration, isFinal);
		}, duration);
		this.#timers.push(timer);
		return timer;
	}
}
