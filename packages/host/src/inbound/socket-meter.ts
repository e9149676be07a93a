import type {Socket} from 'node:net';
import type {Bytes, Milliseconds} from '@lacewingpoint/shared';
import type {ReadScheduler, ReadTask} from './read-scheduler.js';

/** Bytes that are parsed before anything else is checked, except of a body with a length, which is not costly to parse. */
const sliceSize: Bytes = 4096;

/** Slices that are parsed as soon as they are received: those of an ordinary request. */
const immediateSlices = 2;

/** Bytes that are received although they may not be parsed yet, so that the end of the connection is noticed. */
const pendingLimit: Bytes = 16_384;

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

export type SocketMeterOptions = {
	readonly scheduler: ReadScheduler;
	now(): Milliseconds;
	/** @returns Whether more may be parsed. */
	mayParse(): boolean;
	/** @returns The bytes that are left of a body with a length; 0 if no such body is being received. */
	declaredBytesLeft(): Bytes;
	/** @returns Whether more may be received, although it may not be parsed yet. */
	mayReceive(): boolean;
	/** Called after bytes were parsed. */
	onParsed(bytes: Bytes): void;
	/** Called when the memory has changed that holds what was received and not parsed. */
	onPendingChanged(bytes: Bytes): void;
};

/**
 * Hands what a socket receives to its HTTP parser in small slices, each of which completes one request head at the most. Between two slices,
 * parsing can be held up, so that one packet cannot make the process hold or do more than its limits allow.
 */
export class SocketMeter implements ReadTask {
	readonly #socket: Socket;
	readonly #options: SocketMeterOptions;
	readonly #parse: (bytes: Uint8Array) => boolean;
	readonly #receiveMore: () => void;
	#received: Uint8Array[] = [];
	#pendingBytes: Bytes = 0;
	#isParsing = false;
	/** What may still be received and discarded; `undefined` while bytes are parsed. */
	#discardableBytes: Bytes | undefined;

	/**
	 * @param socket - A socket to which an HTTP server has attached its parser, and of which nothing was read yet.
	 * @param options - Whether to go on, and the receivers of the measurements.
	 */
	constructor(socket: Socket, options: SocketMeterOptions) {
		this.#socket = socket;
		this.#options = options;
		const read = socket._read.bind(socket);
		const push = socket.push.bind(socket);
		this.#parse = push;
		this.#receiveMore = () => {
			read(0);
		};

		// Without a listener, the parser gets what is received directly from the operating system, up to 64 KiB at once.
		socket.on('data', () => {/* The HTTP server has a listener of its own. */});
		socket.push = (bytes: unknown) => {
			if (bytes instanceof Uint8Array) {
				return this.#receive(bytes);
			}

			// The client has closed its side. What it has sent before is not to be answered any more.
			this.#drop();
			return push(bytes);
		};

		socket._read = () => {
			if (this.#pendingBytes === 0 && this.#mayReceive) {
				this.#receiveMore();
			}
		};

		socket.on('resume', () => {
			this.resume();
		});
		socket.once('close', () => {
			this.#drop();
		});
	}

	/** Goes on after `mayParse` has changed. Nothing is parsed before it returns. */
	resume(): void {
		if (this.#pendingBytes > 0) {
			this.#options.scheduler.add(this);
		} else if (!this.#isParsing && !this.#socket.destroyed && this.#mayReceive) {
			this.#receiveMore();
		}
	}

	/**
	 * Stops parsing for good.
	 *
	 * @param limit - What is still received, so that a client that sends on can read the response. Then receiving stops.
	 */
	discard(limit: Bytes): void {
		this.#discardableBytes ??= limit;
		this.#drop();
	}

	run(until: Milliseconds): void {
		this.#parsePending(Number.POSITIVE_INFINITY, until);
	}

	get #mayReceive(): boolean {
		return this.#discardableBytes === undefined ? this.#options.mayReceive() : this.#discardableBytes > 0;
	}

	#receive(bytes: Uint8Array): boolean {
		if (this.#discardableBytes !== undefined) {
			this.#discardableBytes -= bytes.length;
			return this.#discardableBytes > 0;
		}

		this.#received.push(bytes);
		this.#pendingBytes += bytes.length;
		this.#parsePending(immediateSlices, Number.POSITIVE_INFINITY);
		return this.#pendingBytes < pendingLimit && this.#mayReceive;
	}

	#parsePending(sliceLimit: number, until: Milliseconds): void {
		if (this.#isParsing) {
			return;
		}

		this.#isParsing = true;
		const {mayParse, onParsed, onPendingChanged, scheduler, now} = this.#options;
		const canParse = () => this.#pendingBytes > 0 && !this.#socket.isPaused() && this.#socket.readableLength === 0 && mayParse();
		let slices = 0;
		while (canParse()) {
			if (slices >= sliceLimit || (slices > 0 && until !== Number.POSITIVE_INFINITY && now() >= until)) {
				scheduler.add(this);
				break;
			}

			const slice = this.#takeSlice();
			this.#parse(slice);
			onParsed(slice.length);
			slices++;
		}

		this.#isParsing = false;
		// A part that is left holds the memory of the whole packet.
		onPendingChanged(this.#received.reduce((sum, bytes) => sum + bytes.buffer.byteLength, 0));
		if (this.#pendingBytes === 0 && sliceLimit === Number.POSITIVE_INFINITY) {
			this.resume();
		}
	}

	#takeSlice(): Uint8Array {
		const [bytes] = this.#received;
		const declaredBytes = this.#options.declaredBytesLeft();
		const longestSlice = bytes!.subarray(0, declaredBytes > 0 ? declaredBytes : sliceSize);
		const slice = declaredBytes > 0 ? longestSlice : longestSlice.subarray(0, findSliceEnd(longestSlice));
		this.#pendingBytes -= slice.length;
		if (slice.length === bytes!.length) {
			this.#received.shift();
		} else {
			this.#received[0] = bytes!.subarray(slice.length);
		}

		return slice;
	}

	#drop(): void {
		this.#received = [];
		this.#options.scheduler.remove(this);
		if (this.#pendingBytes > 0) {
			this.#pendingBytes = 0;
			this.#options.onPendingChanged(0);
		}
	}
}

/**
 * Finds how much of a packet may be parsed at once: all of it, or the part up to the first head end if there are several.
 *
 * @param bytes - Bytes received.
 * @returns The number of bytes.
 */
export function findSliceEnd(bytes: Uint8Array): Bytes {
	const firstEnd = findHeadEnd(bytes, 0);
	return firstEnd === undefined || findHeadEnd(bytes, firstEnd) === undefined ? bytes.length : firstEnd;
}

// Finds the next position at which a head may end, after an empty line.
function findHeadEnd(bytes: Uint8Array, start: Bytes): Bytes | undefined {
	for (let lineEnd = bytes.indexOf(lineFeed, start); lineEnd !== -1; lineEnd = bytes.indexOf(lineFeed, lineEnd + 1)) {
		const next = bytes[lineEnd + 1] === carriageReturn ? lineEnd + 2 : lineEnd + 1;
		if (bytes[next] === lineFeed) {
			return next + 1;
		}
	}

	return undefined;
}
