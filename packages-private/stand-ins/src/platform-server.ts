import {
	type AddressInfo, type Server, type Socket, createServer,
} from 'node:net';
import {hashText} from '@lacewingpoint/shared';

/** A request as a backend server has read it. */
export type PlatformRequest = {
	readonly method: string;
	readonly target: string;
	readonly headers: ReadonlyMap<string, string>;
	readonly body: string;
};

/** Answers one request by writing bytes, so that answers can be wrong in any way. */
export type RequestHandler = (request: PlatformRequest, socket: Socket, server: PlatformServerStandIn) => void;

/** What an order to load weights says. */
export type ReceivedOrder = {readonly version: number; readonly holder: string; readonly fence: number; readonly expected: number};

/** A backend server of the users' platform in small: it reads requests and answers as a test tells it. */
export class PlatformServerStandIn {
	/** The orders, in the order in which they came. */
	readonly receivedOrders: ReceivedOrder[] = [];
	readonly id: string;
	/** Requests that it has begun to run. */
	readonly executedRequests: PlatformRequest[] = [];
	requestHandler: RequestHandler;
	weightsVersion = 1;
	orderCount = 0;
	connectionCount = 0;
	readonly #sockets = new Set<Socket>();
	readonly #server: Server;

	constructor(id: string, behaviour: RequestHandler = respondWithBody('hello')) {
		this.id = id;
		this.requestHandler = behaviour;
		this.#server = createServer({noDelay: true}, socket => {
			this.connectionCount++;
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
			socket.on('error', () => {/* The peer's resets are part of tests. */});
			this.#read(socket);
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

	/** Stops and resets its connections, as a crash does. */
	dispose(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			resetConnection(socket);
		}
	}

	/**
	 * Writes what the server says of itself.
	 *
	 * @param service - The service.
	 * @param more - Fields that differ.
	 * @returns The entry.
	 */
	createEntry(service: string, more: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
		return {
			service, address: this.address, zone: 'a', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, seq: 1, born: 1_700_000_000_000, ...more,
		};
	}

	#read(socket: Socket): void {
		let text = '';
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			for (;;) {
				const end = text.indexOf('\r\n\r\n');
				if (end === -1) {
					return;
				}

				const [first = '', ...lines] = text.slice(0, end).split('\r\n');
				const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
				const length = Number(headers.get('content-length') ?? 0);
				if (text.length < end + 4 + length) {
					return;
				}

				const [method = '', target = ''] = first.split(' ');
				const body = text.slice(end + 4, end + 4 + length);
				text = text.slice(end + 4 + length);
				this.#handle({
					method, target, headers, body,
				}, socket);
			}
		});
	}

	#handle(request: PlatformRequest, socket: Socket): void {
		const expected = request.headers.get('expect-instance');
		if (expected !== undefined && expected !== this.id) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
			return;
		}

		if (request.target === '/report') {
			const body = JSON.stringify({models: [{name: 'm', version: this.weightsVersion, adapters: []}], busy: false, seq: this.orderCount});
			socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
			return;
		}

		if (request.target === '/order') {
			const order = JSON.parse(request.body) as ReceivedOrder;
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
 * Resets a connection, as a crash does. Node.js 20 never closes a socket that is reset while its own end is being sent, and then
 * spins when the process exits; such a socket is destroyed instead.
 *
 * @param socket - The connection.
 */
export function resetConnection(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/**
 * Writes the head of an answer that vouches for itself.
 *
 * @param request - The request.
 * @param lines - Further headers.
 * @returns The head.
 */
export function formatResponseHead(request: PlatformRequest, lines: readonly string[]): string {
	return ['HTTP/1.1 200 OK', `Attempt-Id: ${request.headers.get('attempt-id') ?? ''}`, 'Response-Stamp: s', ...lines, '', ''].join('\r\n');
}

/**
 * Answers with a body of known length.
 *
 * @param body - The body.
 * @returns The behaviour.
 */
export function respondWithBody(body: string): RequestHandler {
	return (request, socket, server) => {
		server.executedRequests.push(request);
		socket.write(`${formatResponseHead(request, [`Content-Length: ${body.length}`])}${body}`);
	};
}

/**
 * Streams events with ids that go on after the last one that the client has.
 *
 * @param count - How many events make the whole stream.
 * @param breakAfter - Resets the connection within the event after this one.
 * @returns The behaviour.
 */
export function streamEvents(count: number, breakAfter = Number.POSITIVE_INFINITY): RequestHandler {
	return (request, socket, server) => {
		server.executedRequests.push(request);
		socket.write(formatResponseHead(request, ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']));
		const first = Number(request.headers.get('last-event-id') ?? 0) + 1;
		for (let id = first; id <= count; id++) {
			const event = `id: ${id}\ndata: piece ${id}\n\n`;
			if (id > breakAfter) {
				const half = event.slice(0, 8);
				socket.write(`${half.length.toString(16)}\r\n${half}\r\n`, () => {
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
 * Composes one piece of a completion; a resumed stream gets the same pieces.
 *
 * @param body - The request's body.
 * @param index - The piece's place in the answer.
 * @returns The piece.
 */
export function createCompletionChunk(body: string, index: number): string {
	return `${hashText(body, index).toString(36)} `;
}

/**
 * Streams a completion in the usual shape.
 *
 * @param pieces - How many pieces make the whole answer.
 * @param pause - Milliseconds between them.
 * @returns The behaviour.
 */
export function streamCompletion(pieces: number, pause = 0): RequestHandler {
	return (request, socket, server) => {
		server.executedRequests.push(request);
		socket.write(formatResponseHead(request, ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']));
		let id = Number(request.headers.get('last-event-id') ?? 0) + 1;
		const writeNext = () => {
			if (socket.destroyed) {
				return;
			}

			const data = id > pieces ? '[DONE]' : JSON.stringify({choices: [{index: 0, delta: {content: createCompletionChunk(request.body, id)}}]});
			const event = `id: ${id}\ndata: ${data}\n\n`;
			socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
			if (id++ > pieces) {
				socket.write('0\r\n\r\n');
			} else {
				setTimeout(writeNext, pause);
			}
		};

		writeNext();
	};
}

/**
 * Runs the request, sends bytes and resets the connection.
 *
 * @param bytes - Makes what is sent before the reset.
 * @returns The behaviour.
 */
export function respondAndReset(bytes: (request: PlatformRequest) => string): RequestHandler {
	return (request, socket, server) => {
		server.executedRequests.push(request);
		socket.write(bytes(request), () => {
			setTimeout(() => {
				resetConnection(socket);
			}, 5);
		});
	};
}
