import {
	type AddressInfo, type Server, type Socket, createServer,
} from 'node:net';
import {hashText} from '@lacewingpoint/shared';

/** A request received by a backend server. */
export type PlatformRequest = {
	readonly method: string;
	readonly target: string;
	readonly headers: ReadonlyMap<string, string>;
	readonly body: string;
};

/** Handles a request by writing raw bytes to the socket, so that tests can produce any kind of invalid response. */
export type RequestHandler = (request: PlatformRequest, socket: Socket, server: PlatformServerStandIn) => void;

/**
 * An order to load weights. `holder` is the host that holds the rollout lease, `fence` its fencing token, `receivedAt` the monotonic time at
 * which the server got it.
 */
export type ReceivedOrder = {readonly version: number; readonly holder: string; readonly fence: number; readonly expected: number; readonly receivedAt: number};

/** Stand-in for a backend server of the platform: parses requests and responds with a handler chosen by the test. */
export class PlatformServerStandIn {
	/** Orders to load weights, in order of arrival. */
	readonly receivedOrders: ReceivedOrder[] = [];
	readonly id: string;
	/** Requests whose execution has started. */
	readonly executedRequests: PlatformRequest[] = [];
	requestHandler: RequestHandler;
	weightsVersion = 1;
	orderCount = 0;
	connectionCount = 0;
	readonly #sockets = new Set<Socket>();
	readonly #server: Server;

	constructor(id: string, requestHandler: RequestHandler = respondWithBody('hello')) {
		this.id = id;
		this.requestHandler = requestHandler;
		this.#server = createServer({noDelay: true}, socket => {
			this.connectionCount++;
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
			socket.on('error', () => {/* Tests reset connections on purpose. */});
			this.#readRequests(socket);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Starts listening on a free port. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Stops listening and resets all connections, as a crash does. */
	dispose(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			resetConnection(socket);
		}
	}

	/**
	 * Creates the server's entry in the store.
	 *
	 * @param service - Name of the service.
	 * @param overrides - Fields that replace the defaults.
	 * @returns The value to store.
	 */
	createEntry(service: string, overrides: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
		return {
			service, address: this.address, zone: 'a', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, seq: 1, born: 1_700_000_000_000, ...overrides,
		};
	}

	#readRequests(socket: Socket): void {
		let receivedText = '';
		socket.on('data', chunk => {
			receivedText += chunk.toString('latin1');
			for (;;) {
				const headEnd = receivedText.indexOf('\r\n\r\n');
				if (headEnd === -1) {
					return;
				}

				const [requestLine = '', ...headerLines] = receivedText.slice(0, headEnd).split('\r\n');
				const headers = new Map(headerLines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
				const contentLength = Number(headers.get('content-length') ?? 0);
				if (receivedText.length < headEnd + 4 + contentLength) {
					return;
				}

				const [method = '', target = ''] = requestLine.split(' ');
				const body = receivedText.slice(headEnd + 4, headEnd + 4 + contentLength);
				receivedText = receivedText.slice(headEnd + 4 + contentLength);
				this.#handleRequest({
					method, target, headers, body,
				}, socket);
			}
		});
	}

	#handleRequest(request: PlatformRequest, socket: Socket): void {
		const expectedInstance = request.headers.get('expect-instance');
		if (expectedInstance !== undefined && expectedInstance !== this.id) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
			return;
		}

		if (request.target === '/report') {
			const body = JSON.stringify({models: [{name: 'm', version: this.weightsVersion, adapters: []}], busy: false, seq: this.orderCount});
			socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
			return;
		}

		if (request.target === '/order') {
			const order = {...JSON.parse(request.body) as Omit<ReceivedOrder, 'receivedAt'>, receivedAt: performance.now()};
			this.weightsVersion = order.version;
			this.orderCount++;
			this.receivedOrders.push(order);
			socket.write('HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n');
			return;
		}

		if (Number(request.headers.get('expect-version') ?? this.weightsVersion) !== this.weightsVersion) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nWeight-Versions: ${this.weightsVersion}\r\nContent-Length: 0\r\n\r\n`);
			return;
		}

		this.requestHandler(request, socket, this);
	}
}

/**
 * Resets a connection, as a crash does. A socket whose writable side has been ended is destroyed instead: Node.js 20 never closes
 * a socket that is reset while its end is being sent, and busy-loops when the process exits.
 *
 * @param socket - The connection to reset.
 */
export function resetConnection(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/**
 * Formats the head of a response with the headers `Attempt-Id` and `Response-Stamp`. A host rejects a response without them, because
 * it may belong to another request or come from something else than the server.
 *
 * @param request - The request to respond to.
 * @param headerLines - Additional header lines.
 * @returns The head, with the empty line at its end.
 */
export function formatResponseHead(request: PlatformRequest, headerLines: readonly string[]): string {
	return ['HTTP/1.1 200 OK', `Attempt-Id: ${request.headers.get('attempt-id') ?? ''}`, 'Response-Stamp: s', ...headerLines, '', ''].join('\r\n');
}

/**
 * Creates a handler that responds with a body and its length.
 *
 * @param body - Body of the response.
 * @returns The handler.
 */
export function respondWithBody(body: string): RequestHandler {
	return (request, socket, server) => {
		server.executedRequests.push(request);
		socket.write(`${formatResponseHead(request, [`Content-Length: ${body.length}`])}${body}`);
	};
}

/**
 * Creates a handler that streams events with consecutive ids, resuming after the `Last-Event-Id` of the request.
 *
 * @param eventCount - Number of events in the complete stream.
 * @param resetAfter - Id of the last complete event; the connection is reset in the middle of the next one.
 * @returns The handler.
 */
export function streamEvents(eventCount: number, resetAfter = Number.POSITIVE_INFINITY): RequestHandler {
	return (request, socket, server) => {
		server.executedRequests.push(request);
		socket.write(formatResponseHead(request, ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']));
		const firstId = Number(request.headers.get('last-event-id') ?? 0) + 1;
		for (let id = firstId; id <= eventCount; id++) {
			const event = `id: ${id}\ndata: piece ${id}\n\n`;
			if (id > resetAfter) {
				const partialEvent = event.slice(0, 8);
				socket.write(`${partialEvent.length.toString(16)}\r\n${partialEvent}\r\n`, () => {
					setImmediate(() => {
						resetConnection(socket);
					});
				});
				return;
			}

			socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
		}

		socket.write('0\r\n\r\n');
	};
}

/**
 * Creates a handler that streams events without a length or chunks, so that the stream ends with its connection.
 *
 * @param eventCount - Number of events in the complete stream.
 * @param options - `endWithin`: id of an event in whose middle the connection is closed in an orderly way.
 * @returns The handler.
 */
export function streamUntilClose(eventCount: number, options: {readonly endWithin?: number} = {}): RequestHandler {
	return (request, socket, server) => {
		server.executedRequests.push(request);
		socket.write(formatResponseHead(request, ['Content-Type: text/event-stream']));
		const firstId = Number(request.headers.get('last-event-id') ?? 0) + 1;
		for (let id = firstId; id <= eventCount; id++) {
			const event = `id: ${id}\ndata: piece ${id}\n\n`;
			if (id === options.endWithin) {
				socket.end(event.slice(0, 8));
				return;
			}

			socket.write(event);
		}

		socket.end();
	};
}

/**
 * Creates the text of one chunk of a completion. It depends only on the arguments, so that a resumed stream has the same chunks.
 *
 * @param body - Body of the request.
 * @param index - Event id of the chunk in the stream, from 1.
 * @returns The text of the chunk.
 */
export function createCompletionChunk(body: string, index: number): string {
	return `${hashText(body, index).toString(36)} `;
}

/**
 * Creates a handler that streams a completion as server-sent events, ending with `[DONE]`.
 *
 * @param chunkCount - Number of chunks in the complete stream.
 * @param chunkInterval - Time between chunks, in milliseconds.
 * @returns The handler.
 */
export function streamCompletion(chunkCount: number, chunkInterval = 0): RequestHandler {
	return (request, socket, server) => {
		server.executedRequests.push(request);
		socket.write(formatResponseHead(request, ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']));
		let id = Number(request.headers.get('last-event-id') ?? 0) + 1;
		const writeNext = () => {
			if (socket.destroyed) {
				return;
			}

			const data = id > chunkCount ? '[DONE]' : JSON.stringify({choices: [{index: 0, delta: {content: createCompletionChunk(request.body, id)}}]});
			const event = `id: ${id}\ndata: ${data}\n\n`;
			socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
			if (id++ > chunkCount) {
				socket.write('0\r\n\r\n');
			} else {
				setTimeout(writeNext, chunkInterval);
			}
		};

		writeNext();
	};
}

/**
 * Creates a handler that counts the request as executed, sends bytes and resets the connection.
 *
 * @param createBytes - Returns the bytes to send before the reset.
 * @returns The handler.
 */
export function respondAndReset(createBytes: (request: PlatformRequest) => string): RequestHandler {
	return (request, socket, server) => {
		server.executedRequests.push(request);
		socket.write(createBytes(request), () => {
			setTimeout(() => {
				resetConnection(socket);
			}, 5);
		});
	};
}
