import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Bytes, Logger, Milliseconds} from '@lacewingpoint/shared';
import type {HeaderList, ReceivedRequest, ResponseWriter} from '../ports.js';
import {hostProtocolVersion} from '../members/host-protocol.js';
import {ClientConnection, type ResponseDelivery} from './client-connection.js';
import {type ForwardedHead, decodeForwardedRequest, encodeForwardedHead} from './forwarded-request.js';

/** Limit on the running requests that peers have forwarded: the clients of this host come first. */
const maximumRequests = 512;

/** What a forwarded request contains besides the client's body. */
const maximumDescription: Bytes = 65_536;

/** When a refused request may be tried again, by the host that forwarded it or by its client. */
const refusalRetryAfter: Milliseconds = 300;

export type ForwardedRequestListenerOptions = {
	/** Limit on the total size of the forwarded requests held in memory. */
	readonly memoryLimit: Bytes;
	readonly log: Logger;
	readonly now: () => Milliseconds;
	/** @returns Largest size of a client's request body. */
	bodyLimit(): Bytes;
	/** @returns Whether this host has links to servers and is not stopping. */
	isServing(): boolean;
	onRequest(received: ReceivedRequest): void;
};

/** Writes the response to a peer, which passes it on to the client. */
class PeerResponseWriter implements ResponseWriter {
	readonly #response: ServerResponse;
	readonly #delivery: ResponseDelivery;

	constructor(response: ServerResponse, delivery: ResponseDelivery) {
		this.#response = response;
		this.#delivery = delivery;
		response.sendDate = false;
	}

	get isDisconnected(): boolean {
		return this.#delivery.isDisconnected;
	}

	writeHead(status: number, headers: HeaderList): void {
		this.#writeHead({type: 'relayed', status, headers});
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
		if (!this.isDisconnected && !this.#response.headersSent) {
			this.#writeHead({
				type: 'refused', status, message, retryAfter,
			});
			this.#response.end();
		}
	}

	onDisconnect(listener: () => void): void {
		this.#delivery.onDisconnect(listener);
	}

	onDrain(listener: () => void): void {
		this.#response.on('drain', listener);
	}

	#writeHead(head: ForwardedHead): void {
		this.#response.writeHead(200, [...encodeForwardedHead(head)]);
		this.#response.flushHeaders();
	}
}

/** Takes requests that peers without links to servers forward to this host, and refuses them at once when it cannot serve them. */
export class ForwardedRequestListener {
	readonly #options: ForwardedRequestListenerOptions;
	readonly #connections = new WeakMap<Socket, ClientConnection>();
	#runningRequests = 0;
	#heldBytes = 0;

	constructor(options: ForwardedRequestListenerOptions) {
		this.#options = options;
	}

	/** @returns The number of requests of peers whose responses are not delivered yet. */
	undeliveredResponses(): number {
		return this.#runningRequests;
	}

	/**
	 * Reads a request and passes it to `onRequest`.
	 *
	 * @param request - The call of the peer.
	 * @param response - The response to it.
	 */
	handle(request: IncomingMessage, response: ServerResponse): void {
		const {memoryLimit, log, now, bodyLimit, isServing, onRequest} = this.#options;
		const receivedAt = now();
		const delivery = this.#findConnection(request.socket).addExchange(response);
		const responseWriter = new PeerResponseWriter(response, delivery);
		const chunks: Uint8Array[] = [];
		let receivedBytes = 0;
		this.#runningRequests++;
		delivery.onEnded(() => {
			this.#runningRequests--;
			this.#heldBytes -= receivedBytes;
		});
		const refuse = (status: number, message: string) => {
			// The unread rest of the body must not be parsed as the next request.
			response.shouldKeepAlive = false;
			responseWriter.sendError(status, message, refusalRetryAfter);
		};

		if (!isServing() || this.#runningRequests > maximumRequests) {
			refuse(503, 'the peer takes no forwarded requests');
			return;
		}

		request.on('error', () => {/* The end of the exchange follows. */});
		request.on('data', (chunk: Uint8Array) => {
			if (responseWriter.isDisconnected) {
				return;
			}

			receivedBytes += chunk.length;
			this.#heldBytes += chunk.length;
			if (receivedBytes > bodyLimit() + maximumDescription || this.#heldBytes > memoryLimit) {
				refuse(503, 'the memory limit for forwarded requests is reached');
			} else {
				chunks.push(chunk);
			}
		});
		request.on('end', () => {
			if (response.headersSent || responseWriter.isDisconnected) {
				return;
			}

			const decoded = decodeForwardedRequest(Buffer.concat(chunks));
			if (decoded.isErr) {
				log.warn('forwarded-request-invalid', {reason: decoded.error});
				refuse(503, `the forwarded request is invalid: ${decoded.error}`);
				return;
			}

			const {request: clientRequest, body, protocol, ...forwarding} = decoded.value;
			if (protocol > hostProtocolVersion) {
				log.warn('forwarded-request-invalid', {reason: `protocol ${protocol} is newer than ${hostProtocolVersion}`});
				refuse(503, `the forwarded request needs protocol ${protocol}, the peer knows ${hostProtocolVersion}`);
				return;
			}

			onRequest({
				request: clientRequest, body, receivedAt, responseWriter, requestsAhead: 0, forwarding,
			});
		});
	}

	#findConnection(socket: Socket): ClientConnection {
		const connection = this.#connections.get(socket) ?? new ClientConnection(socket);
		this.#connections.set(socket, connection);
		return connection;
	}
}
