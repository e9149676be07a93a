import type {Milliseconds} from '@lacewingpoint/shared';

/** A stream without an event for this long has lost its server: model servers make several a second. */
const streamSilence: Milliseconds = 1200;

/** A request that may run again is tried elsewhere after this many objectives, when its server sends nothing to anybody either. */
const silentServerFactor = 1.4;

/** And after this many in any case: a server may hang with some requests and answer others. */
const hangingRequestFactor = 3;

/** A prediction may be wrong by these factors before the server is doubted. */
const predictionFactors = {silentServer: 2, hangingRequest: 4} as const;

/** Tells when a server has been silent for too long on one request. */
export class StallDetector {
	readonly #onSilence: (silence: Milliseconds, isLastWord: boolean) => void;
	#timers: NodeJS.Timeout[] = [];

	/**
	 * @param onSilence - Hears of a silence: first one that matters if the server is silent to everybody, then one that matters in
	 * any case (`isLastWord`).
	 */
	constructor(onSilence: (silence: Milliseconds, isLastWord: boolean) => void) {
		this.#onSilence = onSilence;
	}

	/**
	 * Waits for the first byte of an answer.
	 *
	 * @param objective - The latency objective of the request.
	 * @param predicted - The predicted time to the first byte.
	 */
	awaitFirstByte(objective: Milliseconds, predicted: Milliseconds): void {
		this.stop();
		this.#tellAfter(Math.max(objective * silentServerFactor, predicted * predictionFactors.silentServer), false);
		this.#tellAfter(Math.max(objective * hangingRequestFactor, predicted * predictionFactors.hangingRequest), true);
	}

	/** Waits for the next event of a stream. */
	awaitNextEvent(): void {
		this.stop();
		this.#tellAfter(streamSilence, true);
	}

	/** Waits for nothing more. */
	stop(): void {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		this.#timers = [];
	}

	#tellAfter(silence: Milliseconds, isLastWord: boolean): void {
		this.#timers.push(setTimeout(() => {
			this.#onSilence(silence, isLastWord);
		}, silence));
	}
}
