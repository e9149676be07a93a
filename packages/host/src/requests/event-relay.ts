import type {Bytes} from '@lacewingpoint/shared';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Largest incomplete event that is held. Pieces of completions have a few hundred bytes, whole answers tens of kilobytes. */
export const maximumEventSize: Bytes = 262_144;

/** An event can end at the first byte of a piece, after a line end of up to this many bytes before it. */
const longestPrecedingLineEnd = 2;

/**
 * Splits a stream of server-sent events at event boundaries. Only complete events are forwarded, so that another server can resume the
 * stream after the last of them. The time for each piece depends on its own size only, not on that of the incomplete event before it.
 */
export class EventRelay {
	/** Holds the incomplete event in its first `#partialBytes` bytes. */
	#buffer: Uint8Array = Buffer.alloc(0);
	#partialBytes: Bytes = 0;
	#lastEventId: string | undefined;
	#hasForwardedEvents = false;

	/** The id of the last complete event; `undefined` before the first event with an id. */
	get lastEventId(): string | undefined {
		return this.#lastEventId;
	}

	/** Whether another server can continue the stream: nothing was forwarded, or it is known up to which event. */
	get canBeContinued(): boolean {
		return !this.#hasForwardedEvents || this.#lastEventId !== undefined;
	}

	/** Number of bytes after the last complete event. */
	get bufferedBytes(): Bytes {
		return this.#partialBytes;
	}

	/** Whether the bytes after the last complete event belong to an event. Comments and empty lines do not. */
	get isWithinEvent(): boolean {
		const lines = Buffer.from(this.#partialEvent).toString('latin1').split(/[\r\n]+/v);
		return lines.some(line => line !== '' && !line.startsWith(':'));
	}

	/**
	 * Adds bytes received from the stream. The caller limits the size of an incomplete event: check `bufferedBytes` after each call.
	 *
	 * @param chunk - The next bytes of the stream; events may begin and end anywhere in them.
	 * @returns The events that they complete, to be forwarded; empty if there are none.
	 */
	push(chunk: Uint8Array): Uint8Array {
		const preceding = this.#partialEvent.subarray(-longestPrecedingLineEnd);
		const end = Math.max(findLastEventEnd(preceding.length === 0 ? chunk : Buffer.concat([preceding, chunk])) - preceding.length, 0);
		const completeEvents = end === 0 || this.#partialBytes === 0 ? chunk.subarray(0, end) : Buffer.concat([this.#partialEvent, chunk.subarray(0, end)]);
		if (end > 0) {
			this.discardPartialEvent();
			this.#hasForwardedEvents = true;
			this.#lastEventId = findLastEventId(completeEvents) ?? this.#lastEventId;
		}

		this.#append(chunk.subarray(end));
		return completeEvents;
	}

	/**
	 * Empties the buffer. Call it at the end of a stream that the server ended between two events.
	 *
	 * @returns The comments and empty lines after the last complete event.
	 */
	flush(): Uint8Array {
		const remainder = this.#partialEvent;
		this.discardPartialEvent();
		return remainder;
	}

	/** Discards the bytes of an incomplete event, before another server resumes the stream. */
	discardPartialEvent(): void {
		// Not used again, as the bytes may have been returned.
		this.#buffer = Buffer.alloc(0);
		this.#partialBytes = 0;
	}

	get #partialEvent(): Uint8Array {
		return this.#buffer.subarray(0, this.#partialBytes);
	}

	#append(bytes: Uint8Array): void {
		const size = this.#partialBytes + bytes.length;
		if (size > this.#buffer.length) {
			const grown = Buffer.allocUnsafe(Math.max(size, 2 * this.#buffer.length));
			grown.set(this.#partialEvent);
			this.#buffer = grown;
		}

		this.#buffer.set(bytes, this.#partialBytes);
		this.#partialBytes = size;
	}
}

// Returns the offset after the last complete event, 0 if there is none. An event ends with an empty line; lines end with LF or CRLF.
function findLastEventEnd(bytes: Uint8Array): number {
	for (let index = bytes.length - 1; index > 0; index--) {
		if (bytes[index] !== lineFeed) {
			continue;
		}

		const previousLineEnd = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
		if (previousLineEnd >= 0 && bytes[previousLineEnd] === lineFeed) {
			return index + 1;
		}
	}

	return 0;
}

function findLastEventId(events: Uint8Array): string | undefined {
	const text = Buffer.from(events.buffer, events.byteOffset, events.length).toString('latin1');
	const fieldStart = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1);
	if (fieldStart === -1) {
		return undefined;
	}

	const valueStart = text.indexOf(':', fieldStart) + 1;
	const valueEnd = text.indexOf('\n', valueStart);
	return text.slice(valueStart, valueEnd === -1 ? undefined : valueEnd).trim();
}
