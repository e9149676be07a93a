import type {Bytes} from '@lacewingpoint/shared';
import type {HeaderList, ResponseWriter} from '../ports.js';
import type {Attempt} from './attempt.js';
import {EventRelay} from './event-relay.js';

/** The response that the client receives, which several attempts may contribute to. */
export class RelayedResponse {
	readonly #writer: ResponseWriter;
	readonly #eventRelay = new EventRelay();
	readonly #onFirstEvent: (softwareVersion: string) => void;
	#hasStarted = false;
	#softwareVersion: string | undefined;
	/** Whether the response head that was forwarded began a stream of events. */
	#isEventStream = false;
	#weightsVersion: number | undefined;

	/**
	 * @param writer - Writes to the client.
	 * @param onFirstEvent - Called before the first event is forwarded, with the software version of its server.
	 */
	constructor(writer: ResponseWriter, onFirstEvent: (softwareVersion: string) => void) {
		this.#writer = writer;
		this.#onFirstEvent = onFirstEvent;
	}

	/** Whether a response head was forwarded. */
	get hasStarted(): boolean {
		return this.#hasStarted;
	}

	/** Whether another attempt could provide the response, or the rest of one that has started. */
	get canBeContinued(): boolean {
		return !this.#hasStarted || (this.#isEventStream && this.#eventRelay.canBeContinued);
	}

	/** The id of the last event that was forwarded; `undefined` before the first event with an id. */
	get lastEventId(): string | undefined {
		return this.#eventRelay.lastEventId;
	}

	/** The software version of the server whose events were forwarded; `undefined` before the first event. */
	get softwareVersion(): string | undefined {
		return this.#softwareVersion;
	}

	/** The version of the weights expected at the server whose response head was forwarded. */
	get weightsVersion(): number | undefined {
		return this.#weightsVersion;
	}

	/**
	 * Forwards the response head of an attempt.
	 *
	 * @param attempt - The attempt, whose status is known.
	 * @param headers - The headers for the client.
	 */
	start(attempt: Attempt, headers: HeaderList): void {
		this.#hasStarted = true;
		this.#isEventStream = attempt.isEventStream;
		this.#weightsVersion = attempt.chosen.engine?.weightsVersion;
		this.#writer.writeHead(attempt.status, headers);
	}

	/**
	 * Forwards a piece of the body; of a stream of events only the complete ones.
	 *
	 * @param attempt - The attempt that it belongs to.
	 * @param chunk - The bytes received.
	 * @returns False if the client reads slowly, so that the server should pause.
	 */
	write(attempt: Attempt, chunk: Uint8Array): boolean {
		const bytes = attempt.isEventStream ? this.#eventRelay.push(chunk) : chunk;
		if (bytes.length === 0) {
			return true;
		}

		if (attempt.isEventStream && this.#softwareVersion === undefined) {
			this.#softwareVersion = attempt.chosen.entry.softwareVersion ?? '';
			this.#onFirstEvent(this.#softwareVersion);
		}

		return this.#writer.write(bytes);
	}

	/**
	 * Forwards what follows the last event of a stream that its server has ended.
	 *
	 * @returns 0, or the size of the incomplete event that the stream ended within, of which nothing is forwarded.
	 */
	flushEvents(): Bytes {
		if (this.#eventRelay.isWithinEvent) {
			return this.#eventRelay.bufferedBytes;
		}

		const remainder = this.#eventRelay.flush();
		if (remainder.length > 0) {
			this.#writer.write(remainder);
		}

		return 0;
	}

	/** Discards the bytes of an incomplete event, before another server resumes the stream. */
	discardPartialEvent(): void {
		this.#eventRelay.discardPartialEvent();
	}
}
