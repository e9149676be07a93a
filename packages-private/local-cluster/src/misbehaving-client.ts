import {type Socket, connect} from 'node:net';

/** How a client misbehaves. Each of them stays connected, and comes back when it is disconnected. */
export type Misbehaviour
	/** Sends a body in chunks of one byte and stops before its end. */
	= | 'tiny-chunks'
	/** Sends a body in large chunks and stops before its end. */
		| 'large-chunks'
	/** Sends a body with a length and stops before its end. */
		| 'declared-length'
	/** Sends a body in chunks of one byte, one a packet. */
		| 'slow-chunks'
	/** Sends chunks with long extensions, without end. */
		| 'chunk-extensions'
	/** Sends a body, and then trailers without end. */
		| 'trailers'
	/** Sends a body without end. */
		| 'endless-body'
	/** Sends many short header lines and stops before the end of the head. */
		| 'incomplete-head'
	/** Sends requests one after the other and reads no response. */
		| 'pipelining'
	/** Sends one request and reads no response. */
		| 'unread-response'
	/** Sends what is no request, and does not close its side of the connection. */
		| 'malformed-head'
	/** Sends one complete request after the other, whose bodies are costly to decode. */
		| 'costly-body'
	/** Sends nothing. */
		| 'silence';

/** What a crowd of clients does. All fields can be sent to another process. */
export type CrowdOptions = {
	readonly misbehaviour: Misbehaviour;
	/** Number of clients. */
	readonly size: number;
	/** Addresses to connect to, in turn. */
	readonly addresses: readonly string[];
	/** Method, path and headers of the requests, without those that frame the body. */
	readonly requestLine: string;
	readonly headers: readonly string[];
	/** Size of the bodies that are stopped before their end, and of costly ones at the most, in bytes. */
	readonly bodySize: number;
	/** What a costly body is made of; `unit` is repeated. In Latin-1. */
	readonly costlyBody?: {readonly prefix: string; readonly unit: string; readonly suffix: string};
};

/** Time after which a client that was disconnected comes back, in milliseconds. */
const returnDelay = 200;

const slowInterval = 5;

const writeSize = 8192;

const largeChunkSize = 65_536;

const tinyChunk = '1\r\nx\r\n';

const shortHeader = 'a:b\r\n';

/** Size of the heads that are stopped before their end; a host need not read them to refuse them. */
const headSize = 60_000;

/** One client of a crowd. */
export class MisbehavingClient {
	readonly #options: CrowdOptions;
	readonly #address: string;
	#isStopped = false;
	#socket: Socket | undefined;

	/**
	 * @param options - How the client misbehaves.
	 * @param index - The client's number in the crowd.
	 */
	constructor(options: CrowdOptions, index: number) {
		this.#options = options;
		this.#address = options.addresses[index % options.addresses.length]!;
	}

	/** Connects, and again after each disconnection, until it is stopped. */
	start(): void {
		const [host, port] = this.#address.split(':');
		const socket = connect({host, port: Number(port), allowHalfOpen: true});
		this.#socket = socket;
		socket.on('error', () => {/* The close event follows. */});
		socket.once('close', () => {
			setTimeout(() => {
				if (!this.#isStopped) {
					this.start();
				}
			}, returnDelay);
		});
		socket.once('connect', () => {
			this.#misbehave(socket);
		});
	}

	/** Disconnects for good. */
	stop(): void {
		this.#isStopped = true;
		this.#socket?.destroy();
	}

	#misbehave(socket: Socket): void {
		const {bodySize} = this.#options;
		const chunkedHead = this.#createHead(['Transfer-Encoding: chunked']);
		switch (this.#options.misbehaviour) {
			case 'tiny-chunks': {
				socket.resume();
				socket.write(chunkedHead);
				writeRepeatedly(socket, tinyChunk.repeat(Math.floor(writeSize / tinyChunk.length)), (bodySize - 1) * tinyChunk.length);
				break;
			}

			case 'large-chunks': {
				socket.resume();
				socket.write(chunkedHead);
				writeRepeatedly(socket, `${largeChunkSize.toString(16)}\r\n${'x'.repeat(largeChunkSize)}\r\n`, bodySize - 1);
				break;
			}

			case 'declared-length': {
				socket.resume();
				socket.write(this.#createHead([`Content-Length: ${bodySize}`]));
				writeRepeatedly(socket, 'x'.repeat(writeSize), bodySize - 1);
				break;
			}

			case 'slow-chunks': {
				socket.resume();
				socket.write(chunkedHead);
				const timer = setInterval(() => {
					socket.write(tinyChunk);
				}, slowInterval);
				socket.once('close', () => {
					clearInterval(timer);
				});
				break;
			}

			case 'chunk-extensions': {
				socket.resume();
				socket.write(chunkedHead);
				writeRepeatedly(socket, `1;${'e'.repeat(writeSize)}\r\nx\r\n`, Number.POSITIVE_INFINITY);
				break;
			}

			case 'trailers': {
				socket.resume();
				socket.write(`${chunkedHead}5\r\nhello\r\n0\r\n`);
				writeRepeatedly(socket, shortHeader.repeat(100), Number.POSITIVE_INFINITY);
				break;
			}

			case 'endless-body': {
				socket.resume();
				socket.write(this.#createHead([`Content-Length: ${Number.MAX_SAFE_INTEGER}`]));
				writeRepeatedly(socket, 'x'.repeat(largeChunkSize), Number.POSITIVE_INFINITY);
				break;
			}

			case 'incomplete-head': {
				socket.resume();
				socket.write(`${this.#options.requestLine}\r\nHost: h.example\r\n`);
				writeRepeatedly(socket, shortHeader.repeat(Math.floor(writeSize / shortHeader.length)), headSize);
				break;
			}

			case 'pipelining': {
				socket.pause();
				const request = this.#createHead([]);
				writeRepeatedly(socket, request.repeat(Math.ceil(largeChunkSize / request.length)), Number.POSITIVE_INFINITY);
				break;
			}

			case 'unread-response': {
				socket.pause();
				socket.write(this.#createHead([]));
				break;
			}

			case 'malformed-head': {
				socket.resume();
				socket.write('this is no request\r\n\r\n');
				break;
			}

			case 'costly-body': {
				const {prefix, unit, suffix} = this.#options.costlyBody!;
				const body = `${prefix}${unit.repeat(Math.floor((bodySize - prefix.length - suffix.length) / unit.length))}${suffix}`;
				const request = Buffer.from(`${this.#createHead([`Content-Length: ${body.length}`])}${body}`, 'latin1');
				socket.on('data', () => {
					socket.write(request);
				});
				socket.write(request);
				break;
			}

			case 'silence': {
				socket.resume();
				break;
			}
		}
	}

	#createHead(headers: readonly string[]): string {
		return [this.#options.requestLine, ...this.#options.headers, ...headers, '', ''].join('\r\n');
	}
}

// Writes a text again and again, as fast as the peer reads, until a number of bytes is written.
function writeRepeatedly(socket: Socket, text: string, totalSize: number): void {
	const bytes = Buffer.from(text, 'latin1');
	let remainingSize = totalSize;
	const write = () => {
		while (!socket.destroyed && remainingSize > 0) {
			const piece = bytes.subarray(0, Math.min(bytes.length, remainingSize));
			remainingSize -= piece.length;
			if (!socket.write(piece)) {
				socket.once('drain', write);
				return;
			}
		}
	};

	write();
}
