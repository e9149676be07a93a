import type {Bytes} from '@lacewingpoint/shared';
import type {HeaderList, ResponseWriter} from '../ports.js';
import {EventRelay, maximumEventSize} from './event-relay.js';

/** The reason for the failure of an attempt whose server has sent too large an event. */
export const oversizedEvent = `an event exceeds the limit of ${maximumEventSize} bytes`;

/** Headers that describe the whole body of one execution. */
const bodyDescriptionHeaders: ReadonlySet<string> = new Set(['content-length', 'content-md5', 'digest', 'content-digest', 'repr-digest']);

// A stream of events may go on at another server, whose body is another one.
function removeBodyDescriptions(headers: HeaderList): HeaderList {
	return headers.filter((_, index) => !bodyDescriptionHeaders.has(headers[index - (index % 2)]!.toLowerCase()));
}

/** The head of a response that is forwarded to the client. */
export type RelayedHead = {
	readonly status: number;
	/** Whether the body consists of server-sent events. */
	readonly isEventStream: boolean;
	/** The version of the weights expected at the server; `undefined` if a peer relays the response, and for other requests than generations. */
	readonly weightsVersion: number | undefined;
};

/** Where a piece of a response body comes from. */
export type RelayedSource = {
	readonly isEventStream: boolean;
	/** The software version of the server; `undefined` if a peer relays the response. */
	readonly softwareVersion: string | undefined;
};

/** The response that the client receives, which several attempts may contribute to. */
export class RelayedResponse {
	readonly #writer: ResponseWriter;
	readonly #eventRelay = new EventRelay();
	readonly #onFirstEvent: (softwareVersion: string) => void;
	#hasStarted = false;
	#softwareVersion: string | undefined;
	/** Whether events were forwarded whose server's software version is not known. */
	#isOriginUnknown = false;
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
		return !this.#hasStarted || (this.#isEventStream && this.#eventRelay.canBeContinued && !this.#isOriginUnknown);
	}

	/** The id of the last event that was forwarded; `undefined` before the first event with an id. */
	get lastEventId(): string | undefined {
		return this.#eventRelay.lastEventId;
	}

	/** The software version of the server whose events were forwarded; `undefined` before the first event. */
	get softwareVersion(): string | undefined {
		return this.#softwareVersion;
	}

	/** Whether the server has sent more of an event than is held, so that its response has failed. */
	get hasOversizedEvent(): boolean {
		return this.#eventRelay.bufferedBytes > maximumEventSize;
	}

	/** The version of the weights expected at the server whose response head was forwarded. */
	get weightsVersion(): number | undefined {
		return this.#weightsVersion;
	}

	/**
	 * Forwards a response head.
	 *
	 * @param head - The head.
	 * @param headers - The headers for the client.
	 */
	start(head: RelayedHead, headers: HeaderList): void {
		this.#hasStarted = true;
		this.#isEventStream = head.isEventStream;
		this.#weightsVersion = head.weightsVersion;
		this.#writer.writeHead(head.status, head.isEventStream ? removeBodyDescriptions(headers) : headers);
	}

	/**
	 * Forwards a piece of the body; of a stream of events only the complete ones.
	 *
	 * @param chunk - The bytes received.
	 * @param source - Where they come from.
	 * @returns False if the client reads slowly, so that the server should pause.
	 */
	write(chunk: Uint8Array, {isEventStream, softwareVersion}: RelayedSource): boolean {
		const bytes = isEventStream ? this.#eventRelay.push(chunk) : chunk;
		if (bytes.length === 0) {
			return true;
		}

		if (isEventStream && this.#softwareVersion === undefined) {
			if (softwareVersion === undefined) {
				this.#isOriginUnknown = true;
			} else {
				this.#softwareVersion = softwareVersion;
				this.#onFirstEvent(softwareVersion);
			}
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
