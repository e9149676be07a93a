import type {IncomingMessage} from 'node:http';
import type {Bytes, Milliseconds} from '@lacewingpoint/shared';
import type {InboundExchange} from './inbound-connection.js';

export type RequestBodyOptions = {
	/** Bytes beside the head and the body, as a multiple of the largest body. */
	readonly framingFactor: number;
	/** @returns Largest size of the body. */
	limit(): Bytes;
	/** @returns The time within which the request has to be answered, from now. */
	allowedTime(): Milliseconds;
	/** Called with the body once it is complete. It must not be changed or kept after the exchange has ended. */
	onComplete(body: Uint8Array): void;
	/** Called once, instead of `onComplete`. Sends the response; the connection is closed after it. */
	onRefused(status: number, message: string): void;
};

/** A body that states up to this size gets a buffer of its size at once. */
const trustedSize: Bytes = 16_384;

const smallestCapacity: Bytes = 1024;

/** Small framing is allowed even where bodies are small. */
const freeFraming: Bytes = 65_536;

const emptyBody = new Uint8Array(0);

/**
 * Receives the body of a request. The chunks are copied into one buffer that grows, so that the memory it takes depends on the number of
 * bytes and not on the number of chunks.
 */
export class RequestBody {
	readonly #exchange: InboundExchange;
	readonly #options: RequestBodyOptions;
	readonly #declaredSize: Bytes;
	#buffer: Uint8Array = emptyBody;
	#size: Bytes = 0;
	#parsedBytes: Bytes = 0;
	#state: 'incomplete' | 'complete' | 'refused' = 'incomplete';

	/**
	 * @param exchange - The request, of whose body nothing was read yet.
	 * @param options - The limits, and the receivers of the result.
	 */
	constructor(exchange: InboundExchange, options: RequestBodyOptions) {
		this.#exchange = exchange;
		this.#options = options;
		this.#declaredSize = readDeclaredSize(exchange.request);
	}

	/** Memory that the body takes. */
	get capacity(): Bytes {
		return this.#buffer.length;
	}

	/** The bytes that are still to come of a body with a length; 0 if it has none. */
	get declaredBytesLeft(): Bytes {
		return Number.isFinite(this.#declaredSize) ? this.#declaredSize - this.#size : 0;
	}

	/** Starts to receive the body. */
	start(): void {
		const {request, connection, delivery} = this.#exchange;
		connection.beginBody(this, this.#options.allowedTime);
		request.on('data', (chunk: Uint8Array) => {
			this.#append(chunk);
		});
		request.on('error', () => {/* The end of the exchange follows. */});
		request.on('end', () => {
			this.#complete();
		});
		delivery.onEnded(() => {
			this.#leave('refused');
			this.#release();
		});
	}

	/**
	 * Refuses the request, unless its body is complete.
	 *
	 * @param status - Status of the response.
	 * @param message - Why it is refused.
	 */
	refuse(status: number, message: string): void {
		if (this.#state !== 'incomplete') {
			return;
		}

		const {response, connection} = this.#exchange;
		this.#leave('refused');
		this.#release();
		connection.stopReading();
		response.shouldKeepAlive = false;
		this.#options.onRefused(status, message);
	}

	/**
	 * Counts bytes that were parsed while the body is incomplete, and refuses the request if most of them are not part of it.
	 *
	 * @param bytes - Number of bytes.
	 */
	recordParsed(bytes: Bytes): void {
		const {limit, framingFactor} = this.#options;
		this.#parsedBytes += bytes;
		if (this.#parsedBytes - this.#size > (limit() * framingFactor) + freeFraming) {
			this.refuse(413, `the framing of the request body exceeds ${framingFactor} times the limit of ${limit()} bytes`);
		}
	}

	#append(chunk: Uint8Array): void {
		if (this.#state !== 'incomplete') {
			return;
		}

		const limit = this.#options.limit();
		const size = this.#size + chunk.length;
		if (size > limit) {
			this.refuse(413, `the request body exceeds the limit of ${limit} bytes`);
			return;
		}

		if (size > this.#buffer.length) {
			this.#grow(size, limit);
		}

		// While it grows, the body may be refused for want of memory.
		if (this.#buffer.length < size) {
			return;
		}

		this.#buffer.set(chunk, this.#size);
		this.#size = size;
	}

	#grow(size: Bytes, limit: Bytes): void {
		const expectedSize = Number.isFinite(this.#declaredSize) ? trustedSize : smallestCapacity;
		const capacity = Math.min(Math.max(size, 2 * this.#buffer.length, expectedSize), limit, this.#declaredSize);
		const grown = Buffer.allocUnsafeSlow(Math.max(capacity, size));
		grown.set(this.#buffer.subarray(0, this.#size));
		const growth = grown.length - this.#buffer.length;
		this.#buffer = grown;
		this.#exchange.connection.recordBody(growth);
	}

	#complete(): void {
		if (this.#state !== 'incomplete') {
			return;
		}

		this.#leave('complete');
		this.#options.onComplete(this.#buffer.subarray(0, this.#size));
	}

	#leave(state: 'complete' | 'refused'): void {
		if (this.#state === 'incomplete') {
			this.#state = state;
			this.#exchange.connection.endBody(this);
		}
	}

	#release(): void {
		const {length} = this.#buffer;
		if (length > 0) {
			this.#buffer = emptyBody;
			this.#size = 0;
			this.#exchange.connection.recordBody(-length);
		}
	}
}

/**
 * Receives the body of a request.
 *
 * @param exchange - The request, of whose body nothing was read yet.
 * @param options - The limits, and the receivers of the result.
 * @returns The body, which the exchange owns.
 */
export function receiveBody(exchange: InboundExchange, options: RequestBodyOptions): RequestBody {
	const body = new RequestBody(exchange, options);
	body.start();
	return body;
}

function readDeclaredSize({headers}: IncomingMessage): Bytes {
	const length = Number(headers['content-length'] ?? Number.POSITIVE_INFINITY);
	return Number.isNaN(length) ? Number.POSITIVE_INFINITY : length;
}
