const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/**
 * Cuts a stream into whole events, so that what is passed on never ends within one: another server can then go on after it.
 */
export class EventRelay {
	#pending: Uint8Array = new Uint8Array();
	#lastEvent: string | undefined;

	/** The id of the last whole event. */
	get lastEventId(): string | undefined {
		return this.#lastEvent;
	}

	/** Whether bytes of an unfinished event are held back. */
	get hasPartialEvent(): boolean {
		return this.#pending.length > 0;
	}

	/**
	 * Takes in bytes of a stream.
	 *
	 * @param chunk - The bytes.
	 * @returns The whole events that they complete.
	 */
	push(chunk: Uint8Array): Uint8Array {
		const joined = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
		const end = endOfLastEvent(joined);
		const whole = joined.subarray(0, end);
		this.#pending = joined.subarray(end);
		if (whole.length > 0) {
			this.#lastEvent = lastId(whole) ?? this.#lastEvent;
		}

		return whole;
	}

	/**
	 * Gives up what is held back, at the end of a stream that a server ended properly.
	 *
	 * @returns The bytes after the last whole event.
	 */
	flush(): Uint8Array {
		const rest = this.#pending;
		this.#pending = new Uint8Array();
		return rest;
	}

	/** Forgets an unfinished event, before another server goes on. */
	discardPartialEvent(): void {
		this.#pending = new Uint8Array();
	}
}

// An event ends with an empty line; lines end with LF or CRLF.
function endOfLastEvent(bytes: Uint8Array): number {
	for (let index = bytes.length - 1; index > 0; index--) {
		if (bytes[index] !== lineFeed) {
			continue;
		}

		const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
		if (before >= 0 && bytes[before] === lineFeed) {
			return index + 1;
		}
	}

	return 0;
}

function lastId(events: Uint8Array): string | undefined {
	const text = Buffer.from(events.buffer, events.byteOffset, events.length).toString('latin1');
	const at = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1);
	if (at === -1) {
		return undefined;
	}

	const start = text.indexOf(':', at) + 1;
	const end = text.indexOf('\n', start);
	return text.slice(start, end === -1 ? undefined : end).trim();
}
