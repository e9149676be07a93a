import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {type Socket, Server as NetServer} from 'node:net';
import type {ClientLimits} from '@lacewingpoint/routing';
import type {Bytes, Milliseconds} from '@lacewingpoint/shared';
import type {
	ClientProtocol, ClientRequest, HeaderList, ReceivedRequest, ResponseWriter,
} from '../ports.js';
import {type AdmissionGuard, type Rejection, rejectionMessages} from '../overload/overload-guard.js';
import {ClientConnection, type ResponseDelivery} from './client-connection.js';

export type ClientListenerOptions = {
	readonly address: string;
	readonly protocol: ClientProtocol;
	/** Limit on the total size of all request bodies held in memory. */
	readonly bodyMemoryLimit: Bytes;
	readonly now: () => Milliseconds;
	/** Decides from the head whether a request is rejected unread; if absent, none is. */
	readonly guard?: AdmissionGuard | undefined;
	/** @returns The limits of the current configuration; `undefined` before a configuration is known. */
	limits(): ClientLimits | undefined;
	/** @returns Whether connections are to be closed after the current response. */
	isStopping(): boolean;
	/** Called with each request once its body was read. */
	onRequest(received: ReceivedRequest): void;
	/** Called when a request is rejected before it reaches `onRequest`; `id` is `undefined` if its head could not be decoded. */
	onRejected(id: string | undefined, status: number, reason: string): void;
};

/** Header limit of the HTTP parser. The lower limit of the configuration is checked on the parsed headers. */
const parserHeaderLimit: Bytes = 65_536;

/** Limits before a configuration is known. */
const defaultLimits: ClientLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTime: 3000, idleTime: 15_000,
};

/** A listening server for clients. */
export type ClientListener = {
	/** Applies the limits of a new configuration. */
	applyLimits(): void;
	/** @returns The number of open connections. */
	connectionCount(): number;
	/** Takes no more connections. Those that are open, and the requests on them, go on. */
	stopListening(): void;
	/**
	 * Refuses the requests whose bodies have not arrived completely.
	 *
	 * @param reason - Why they are refused.
	 */
	refuseIncompleteRequests(reason: string): void;
	/** @returns The number of requests whose heads were read and whose responses are not delivered yet. */
	undeliveredResponses(): number;
	/** Stops listening and closes all connections. */
	dispose(): Promise<void>;
};

class HttpResponseWriter implements ResponseWriter {
	/** `undefined` until the request head is decoded. */
	request: ClientRequest | undefined;
	readonly #response: ServerResponse;
	readonly #delivery: ResponseDelivery;
	readonly #options: ClientListenerOptions;
	#hasContentLength = false;

	constructor(response: ServerResponse, delivery: ResponseDelivery, options: ClientListenerOptions) {
		this.#response = response;
		this.#delivery = delivery;
		this.#options = options;
		response.sendDate = false;
	}

	get isDisconnected(): boolean {
		return this.#delivery.isDisconnected;
	}

	writeHead(status: number, headers: HeaderList): void {
		this.#closeConnectionIfStopping();
		const clientHeaders = [...this.#options.protocol.responseHeaders(this.request!, headers)];
		this.#hasContentLength = clientHeaders.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
		this.#response.writeHead(status, clientHeaders);
	}

	write(chunk: Uint8Array): boolean {
		return this.#response.write(chunk);
	}

	end(): void {
		this.#response.end();
	}

	destroy(): void {
		// A client of HTTP/1.0 gets no chunks. Without a length, only a reset tells it that the response was broken off.
		if (this.#response.headersSent && !this.#response.chunkedEncoding && !this.#hasContentLength) {
			this.#response.socket?.resetAndDestroy();
		} else {
			this.#response.destroy();
		}
	}

	sendError(status: number, message: string, retryAfter: Milliseconds | undefined): void {
		if (this.isDisconnected || this.#response.headersSent) {
			return;
		}

		this.#closeConnectionIfStopping();
		const {headers, body} = this.#options.protocol.errorResponse({
			id: this.request?.id, status, message, retryAfter,
		});
		this.#response.writeHead(status, [...headers, 'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))]);
		this.#response.end(body);
	}

	onDisconnect(listener: () => void): void {
		this.#delivery.onDisconnect(listener);
	}

	onDrain(listener: () => void): void {
		this.#response.on('drain', listener);
	}

	#closeConnectionIfStopping(): void {
		if (this.#options.isStopping()) {
			this.#response.shouldKeepAlive = false;
		}
	}
}

/**
 * Listens for clients, reads complete requests within the limits and passes them to `onRequest`.
 *
 * @param options - The address, protocol, limits and callbacks.
 * @returns The listening server.
 */
export async function serveClients(options: ClientListenerOptions): Promise<ClientListener> {
	const limits = () => options.limits() ?? defaultLimits;
	const openSockets = new Set<Socket>();
	const openConnections = new WeakMap<Socket, ClientConnection>();
	const openResponses = new Set<ResponseWriter>();
	let bufferedBytes = 0;
	let deferredRequests = 0;
	const incompleteRequests = new Set<(reason: string) => void>();
	const server: Server = createServer({
		maxHeaderSize: parserHeaderLimit, noDelay: true, keepAlive: true, keepAliveInitialDelay: 5000, requestTimeout: 0, connectionsCheckingInterval: 500,
	}, (request: IncomingMessage, response: ServerResponse) => {
		if (options.guard?.isBehind === true) {
			// Whatever else can be read now comes first, such as a new configuration.
			const receivedAt = options.now();
			deferredRequests++;
			setImmediate(() => {
				deferredRequests--;
				handleRequest(request, response, receivedAt);
			});
		} else {
			handleRequest(request, response, options.now());
		}
	});
	const handleRequest = (request: IncomingMessage, response: ServerResponse, receivedAt: Milliseconds) => {
		if (request.socket.destroyed) {
			return;
		}

		const head = {method: request.method ?? 'GET', target: request.url ?? '/', rawHeaders: request.rawHeaders};
		const rejection = options.guard?.evaluate(head.target, () => options.protocol.previewHead(head));
		if (rejection !== undefined) {
			sendRejection(request, response, rejection, options);
			return;
		}

		const connection = openConnections.get(request.socket)!;
		const requestsAhead = connection.openExchanges;
		const delivery = connection.addExchange(response);
		const responseWriter = new HttpResponseWriter(response, delivery, options);
		openResponses.add(responseWriter);
		delivery.onEnded(() => openResponses.delete(responseWriter));
		const reject = (id: string | undefined, status: number, reason: string) => {
			options.onRejected(id, status, reason);
			// The unread rest of the body must not be parsed as the next request.
			response.shouldKeepAlive = false;
			responseWriter.sendError(status, reason, undefined);
		};

		const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, head.target.length);
		if (headerBytes > limits().headerBytes) {
			reject(undefined, 431, `request headers of ${headerBytes} bytes exceed the limit of ${limits().headerBytes} bytes`);
			return;
		}

		const decodedHead = options.protocol.decodeHead(head);
		if (decodedHead.isErr) {
			reject(undefined, decodedHead.error.status, decodedHead.error.message);
			return;
		}

		responseWriter.request = decodedHead.value;

		const chunks: Uint8Array[] = [];
		let receivedBytes = 0;
		let isRejected = false;
		const refuseIncomplete = (reason: string) => {
			isRejected = true;
			reject(decodedHead.value.id, 503, reason);
		};

		incompleteRequests.add(refuseIncomplete);
		delivery.onEnded(() => incompleteRequests.delete(refuseIncomplete));
		request.on('data', (chunk: Uint8Array) => {
			if (isRejected || responseWriter.isDisconnected) {
				return;
			}

			receivedBytes += chunk.length;
			bufferedBytes += chunk.length;
			if (receivedBytes > limits().bodyBytes) {
				isRejected = true;
				reject(decodedHead.value.id, 413, `the request body exceeds the limit of ${limits().bodyBytes} bytes`);
			} else if (bufferedBytes > options.bodyMemoryLimit) {
				isRejected = true;
				reject(decodedHead.value.id, 503, 'the memory limit for request bodies is reached');
			} else {
				chunks.push(chunk);
			}
		});
		delivery.onEnded(() => {
			bufferedBytes -= receivedBytes;
		});
		request.on('error', () => {/* The end of the exchange follows. */});
		request.on('end', () => {
			incompleteRequests.delete(refuseIncomplete);
			if (isRejected || responseWriter.isDisconnected) {
				return;
			}

			const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
			const decodedBody = options.protocol.decodeBody(decodedHead.value, body);
			if (decodedBody.isErr) {
				options.onRejected(decodedHead.value.id, decodedBody.error.status, decodedBody.error.message);
				responseWriter.sendError(decodedBody.error.status, decodedBody.error.message, undefined);
				return;
			}

			options.onRequest({
				request: decodedBody.value, body, receivedAt, responseWriter, requestsAhead,
			});
		});
	};

	const applyLimits = () => {
		server.headersTimeout = limits().headerTime;
		server.keepAliveTimeout = limits().idleTime;
	};

	applyLimits();
	server.on('connection', socket => {
		openSockets.add(socket);
		openConnections.set(socket, new ClientConnection(socket));
		socket.once('close', () => openSockets.delete(socket));
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
		connectionCount: () => openSockets.size,
		stopListening() {
			// The method of an HTTP server also destroys connections whose last response has ended but is not sent completely.
			NetServer.prototype.close.call(server);
		},
		refuseIncompleteRequests(reason) {
			for (const refuse of incompleteRequests) {
				refuse(reason);
			}
		},
		undeliveredResponses: () => openResponses.size + deferredRequests,
		async dispose() {
			server.close();
			for (const responseWriter of openResponses) {
				responseWriter.destroy();
			}

			server.closeAllConnections();
		},
	};
}

/** A longer body is not read to its end to keep the connection of a rejected request. */
const discardedBodyLimit: Bytes = 16_384;

// Does without the state that is kept for requests which are served.
function sendRejection(request: IncomingMessage, response: ServerResponse, {reason, retryAfter}: Rejection, {protocol, isStopping}: ClientListenerOptions): void {
	const {headers, body} = protocol.errorResponse({
		id: undefined, status: 503, message: rejectionMessages[reason], retryAfter,
	});
	const bodyLength = request.headers['transfer-encoding'] === undefined ? Number(request.headers['content-length'] ?? 0) : Number.POSITIVE_INFINITY;
	if (bodyLength > discardedBodyLimit || isStopping()) {
		response.shouldKeepAlive = false;
	}

	response.sendDate = false;
	response.on('error', () => {/* The client has disconnected. */});
	request.on('error', () => {/* The client has disconnected. */});
	response.writeHead(503, [...headers, 'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))]);
	response.end(body);
	// Unread, it would be parsed as the next request.
	request.resume();
}

/**
 * Starts a server and waits until it listens. Rejects if the address cannot be used.
 *
 * @param server - A server that does not listen yet.
 * @param address - IP address and port, separated by a colon.
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
