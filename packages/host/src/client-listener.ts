import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import type {Socket} from 'node:net';
import type {ClientLimits} from '@lacewingpoint/routing';
import type {Bytes, Milliseconds} from '@lacewingpoint/shared';
import type {
	ClientProtocol, ResponseWriter, ClientRequest, HeaderList, ReceivedRequest,
} from './ports.js';

export type ClientListenerOptions = {
	readonly address: string;
	readonly protocol: ClientProtocol;
	/** Bytes of bodies that may be held at once. */
	readonly bodyMemoryLimit: Bytes;
	readonly now: () => Milliseconds;
	/** The limits in force; none while no configuration is known. */
	limits(): ClientLimits | undefined;
	/** Whether connections are to be closed after their answers. */
	isStopping(): boolean;
	onRequest(received: ReceivedRequest): void;
	/** A request was answered without entering the pipeline. */
	onRejected(id: string | undefined, status: number, reason: string): void;
};

/** The parser's own bound on headers; the configuration's lower limit is checked on what it has read. */
const parserHeaderBytes: Bytes = 65_536;

const defaultLimits: ClientLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTime: 3000, idleTime: 15_000,
};

/** A server that clients connect to. */
export type ClientListener = {
	/** Takes over new limits. */
	applyLimits(): void;
	/** @returns Open connections. */
	connectionCount(): number;
	dispose(): Promise<void>;
};

class HttpReply implements ResponseWriter {
	/** Known once the request's head has been read. */
	request: ClientRequest | undefined;
	readonly #response: ServerResponse;
	readonly #options: ClientListenerOptions;
	readonly #goneListeners: Array<() => void> = [];
	#isGone = false;

	constructor(response: ServerResponse, options: ClientListenerOptions) {
		this.#response = response;
		this.#options = options;
		response.sendDate = false;
		response.on('close', () => {
			if (!response.writableFinished) {
				this.#isGone = true;
				for (const listener of this.#goneListeners) {
					listener();
				}
			}
		});
		// The close event that follows is what counts.
		response.on('error', () => {
			this.#isGone = true;
		});
	}

	get isDisconnected(): boolean {
		return this.#isGone;
	}

	writeHead(status: number, headers: HeaderList): void {
		this.#markLast();
		this.#response.writeHead(status, [...this.#options.protocol.responseHeaders(this.request!, headers)]);
	}

	write(chunk: Uint8Array): boolean {
		return this.#response.write(chunk);
	}

	end(): void {
		this.#response.end();
	}

	destroy(): void {
		this.#response.destroy();
	}

	sendError(status: number, message: string, retryAfter: Milliseconds | undefined): void {
		if (this.#isGone || this.#response.headersSent) {
			return;
		}

		this.#markLast();
		const {headers, body} = this.#options.protocol.errorResponse({
			id: this.request?.id, status, message, retryAfter,
		});
		this.#response.writeHead(status, [...headers, 'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))]);
		this.#response.end(body);
	}

	onDisconnect(listener: () => void): void {
		this.#goneListeners.push(listener);
	}

	onDrain(listener: () => void): void {
		this.#response.on('drain', listener);
	}

	#markLast(): void {
		if (this.#options.isStopping()) {
			this.#response.shouldKeepAlive = false;
		}
	}
}

/**
 * Serves clients: reads requests whole, within the limits, and hands them to the pipeline.
 *
 * @param options - How to serve.
 * @returns The server, once it listens.
 */
export async function serveClients(options: ClientListenerOptions): Promise<ClientListener> {
	const limits = () => options.limits() ?? defaultLimits;
	const open = new Set<Socket>();
	let bodyBytes = 0;
	const server: Server = createServer({
		maxHeaderSize: parserHeaderBytes, noDelay: true, keepAlive: true, keepAliveInitialDelay: 5000, requestTimeout: 0, connectionsCheckingInterval: 500,
	}, (request: IncomingMessage, response: ServerResponse) => {
		const receivedAt = options.now();
		const reply = new HttpReply(response, options);
		const head = {method: request.method ?? 'GET', target: request.url ?? '/', rawHeaders: request.rawHeaders};
		const reject = (id: string | undefined, status: number, reason: string) => {
			options.onRejected(id, status, reason);
			// What is left of the body must not be read as the next request.
			response.shouldKeepAlive = false;
			reply.sendError(status, reason, undefined);
		};

		const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, head.target.length);
		if (headerBytes > limits().headerBytes) {
			reject(undefined, 431, `headers of ${headerBytes} bytes exceed ${limits().headerBytes}`);
			return;
		}

		const decoded = options.protocol.decodeHead(head);
		if (decoded.isErr) {
			reject(undefined, decoded.error.status, decoded.error.message);
			return;
		}

		reply.request = decoded.value;

		const chunks: Uint8Array[] = [];
		let size = 0;
		let isRejected = false;
		request.on('data', (chunk: Uint8Array) => {
			if (isRejected) {
				return;
			}

			size += chunk.length;
			bodyBytes += chunk.length;
			if (size > limits().bodyBytes) {
				isRejected = true;
				reject(decoded.value.id, 413, `the body exceeds ${limits().bodyBytes} bytes`);
			} else if (bodyBytes > options.bodyMemoryLimit) {
				isRejected = true;
				reject(decoded.value.id, 503, 'the memory for bodies is used up');
			} else {
				chunks.push(chunk);
			}
		});
		response.on('close', () => {
			bodyBytes -= size;
		});
		request.on('error', () => {/* The response's close event follows and ends the request. */});
		request.on('end', () => {
			if (isRejected || reply.isDisconnected) {
				return;
			}

			const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
			const completed = options.protocol.decodeBody(decoded.value, body);
			if (completed.isErr) {
				options.onRejected(decoded.value.id, completed.error.status, completed.error.message);
				reply.sendError(completed.error.status, completed.error.message, undefined);
				return;
			}

			options.onRequest({
				request: completed.value, body, receivedAt, responseWriter: reply,
			});
		});
	});
	const applyLimits = () => {
		server.headersTimeout = limits().headerTime;
		server.keepAliveTimeout = limits().idleTime;
	};

	applyLimits();
	server.on('connection', socket => {
		open.add(socket);
		socket.once('close', () => open.delete(socket));
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		options.onRejected(undefined, 400, error.code ?? error.message);
		if (socket.writable && error.code !== 'ECONNRESET') {
			const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request');
			socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		} else {
			socket.destroy();
		}
	});
	await listen(server, options.address);
	return {
		applyLimits,
		connectionCount: () => open.size,
		async dispose() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/**
 * Listens at an address.
 *
 * @param server - The server.
 * @param address - An IP number and port.
 */
export async function listen(server: Server, address: string): Promise<void> {
	const [host, port] = address.split(':');
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port: Number(port), backlog: 1024}, () => {
			server.off('error', reject);
			resolve();
		});
	});
}
