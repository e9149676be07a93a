import {Server as NetServer} from 'node:net';
import type {ClientLimits} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import {
	type Inbound, type InboundExchange, type RequestBody, receiveBody, serveInbound,
} from '../inbound/index.js';
import type {ClientProtocol, ClientRequest, ReceivedRequest} from '../ports.js';
import {type AdmissionGuard, type Rejection, rejectionMessages} from '../overload/overload-guard.js';
import {HttpResponseWriter} from './http-response-writer.js';

export type ClientListenerOptions = {
	readonly address: string;
	readonly protocol: ClientProtocol;
	readonly inbound: Inbound;
	readonly now: () => Milliseconds;
	/** Decides from the head whether a request is rejected unread; if absent, none is. */
	readonly guard?: AdmissionGuard | undefined;
	/** @returns The limits of the current configuration; `undefined` before a configuration is known. */
	limits(): ClientLimits | undefined;
	/** @returns The time within which a request has to be answered, from its deadline and its route. */
	allowedTime(request: ClientRequest): Milliseconds;
	/** @returns Whether connections are to be closed after the current response. */
	isStopping(): boolean;
	/** Called with each request once its body was read. */
	onRequest(received: ReceivedRequest): void;
	/** Called when a request is rejected before it reaches `onRequest`; `id` is `undefined` if its head could not be decoded. */
	onRejected(id: string | undefined, status: number, reason: string): void;
};

/** Limits before a configuration is known. */
export const defaultClientLimits: ClientLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTime: 3000, idleTime: 15_000,
};

/** When a client may come back that was refused for want of memory. */
const memoryRetryAfter: Milliseconds = 1000;

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

/**
 * Listens for clients, reads complete requests within the limits and passes them to `onRequest`.
 *
 * @param options - The address, protocol, limits and callbacks.
 * @returns The listening server.
 */
export async function serveClients(options: ClientListenerOptions): Promise<ClientListener> {
	const {inbound, protocol} = options;
	const limits = () => options.limits() ?? defaultClientLimits;
	const openResponses = new Set<HttpResponseWriter>();
	let deferredRequests = 0;
	const incompleteBodies = new Set<RequestBody>();
	const handleRequest = (exchange: InboundExchange, receivedAt: Milliseconds) => {
		const {request, response, connection, delivery} = exchange;
		if (request.socket.destroyed) {
			return;
		}

		const head = {method: request.method ?? 'GET', target: request.url ?? '/', rawHeaders: request.rawHeaders};
		const rejection = options.guard?.evaluate(head.target, () => protocol.previewHead(head));
		if (rejection !== undefined) {
			sendRejection(exchange, rejection, options);
			return;
		}

		const responseWriter = new HttpResponseWriter(exchange, options);
		openResponses.add(responseWriter);
		delivery.onEnded(() => openResponses.delete(responseWriter));
		const sendRefusal = (status: number, reason: string) => {
			options.onRejected(responseWriter.request?.id, status, reason);
			responseWriter.sendError(status, reason, status === 503 ? memoryRetryAfter : undefined);
		};

		const reject = (status: number, reason: string) => {
			// The unread rest of the body must not be parsed as the next request.
			response.shouldKeepAlive = false;
			connection.stopReading();
			sendRefusal(status, reason);
		};

		const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, head.target.length);
		if (headerBytes > limits().headerBytes) {
			reject(431, `request headers of ${headerBytes} bytes exceed the limit of ${limits().headerBytes} bytes`);
			return;
		}

		const decodedHead = protocol.decodeHead(head);
		if (decodedHead.isErr) {
			reject(decodedHead.error.status, decodedHead.error.message);
			return;
		}

		const clientRequest = decodedHead.value;
		responseWriter.request = clientRequest;
		if (inbound.ledger.isFull) {
			reject(503, 'the host has no memory for another request; the request was not executed');
			return;
		}

		const body = receiveBody(exchange, {
			framingFactor: inbound.limits.framingFactor,
			limit: () => limits().bodyBytes,
			allowedTime: () => options.allowedTime(clientRequest),
			onComplete(bytes) {
				incompleteBodies.delete(body);
				const decodedBody = protocol.decodeBody(clientRequest, bytes);
				if (decodedBody.isErr) {
					sendRefusal(decodedBody.error.status, decodedBody.error.message);
					return;
				}

				options.onRequest({
					request: decodedBody.value, body: bytes, receivedAt, responseWriter, requestsAhead: exchange.requestsAhead,
				});
			},
			onRefused: sendRefusal,
		});
		incompleteBodies.add(body);
		delivery.onEnded(() => incompleteBodies.delete(body));
	};

	const {server, applyLimits, connectionCount} = await serveInbound({
		address: options.address,
		kind: 'clients',
		inbound,
		pipelinedRequests: inbound.limits.pipelinedRequests,
		onRequest(exchange) {
			const receivedAt = options.now();
			if (options.guard?.isBehind === true) {
				// Whatever else can be read now comes first, such as a new configuration.
				deferredRequests++;
				setImmediate(() => {
					deferredRequests--;
					handleRequest(exchange, receivedAt);
				});
			} else {
				handleRequest(exchange, receivedAt);
			}
		},
		limits,
		onMalformed(status, reason) {
			options.onRejected(undefined, status, reason);
		},
	});
	return {
		applyLimits,
		connectionCount,
		stopListening() {
			// The method of an HTTP server also destroys connections whose last response has ended but is not sent completely.
			NetServer.prototype.close.call(server);
		},
		refuseIncompleteRequests(reason) {
			for (const body of incompleteBodies) {
				body.refuse(503, reason);
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

// Does without the state that is kept for requests which are served.
function sendRejection(exchange: InboundExchange, {reason, retryAfter}: Rejection, {protocol, isStopping}: ClientListenerOptions): void {
	const {response, connection} = exchange;
	const {headers, body} = protocol.errorResponse({
		id: undefined, status: 503, message: rejectionMessages[reason], retryAfter,
	});
	if (isStopping()) {
		response.shouldKeepAlive = false;
	}

	// Unread, its body would be parsed as the next request.
	connection.ignoreBody(exchange);
	response.sendDate = false;
	response.writeHead(503, [...headers, 'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))]);
	response.end(body);
}
