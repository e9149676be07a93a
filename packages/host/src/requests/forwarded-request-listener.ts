import type {ServerResponse} from 'node:http';
import type {Bytes, Logger, Milliseconds} from '@lacewingpoint/shared';
import {type Inbound, type InboundExchange, receiveBody} from '../inbound/index.js';
import type {HeaderList, ReceivedRequest, ResponseWriter} from '../ports.js';
import {hostProtocolVersion} from '../members/host-protocol.js';
import {type ForwardedHead, decodeForwardedRequest, encodeForwardedHead} from './forwarded-request.js';
import {allowedTime} from './routed-request.js';

/** Limit on the running requests that peers have forwarded: the clients of this host come first. */
const maximumRequests = 512;

/** What a forwarded request contains besides the client's body. */
const maximumDescription: Bytes = 65_536;

/** When a refused request may be tried again, by the host that forwarded it or by its client. */
const refusalRetryAfter: Milliseconds = 300;

export type ForwardedRequestListenerOptions = {
	readonly inbound: Pick<Inbound, 'limits' | 'ledger'>;
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
	readonly #exchange: InboundExchange;
	readonly #response: ServerResponse;

	constructor(exchange: InboundExchange) {
		this.#exchange = exchange;
		this.#response = exchange.response;
		this.#response.sendDate = false;
	}

	get isDisconnected(): boolean {
		return this.#exchange.delivery.isDisconnected;
	}

	writeHead(status: number, headers: HeaderList): void {
		this.#writeHead({type: 'relayed', status, headers});
	}

	write(chunk: Uint8Array): boolean {
		const isSent = this.#response.write(chunk);
		if (!isSent) {
			this.#exchange.connection.recordUnsent();
		}

		return isSent;
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
		this.#exchange.delivery.onDisconnect(listener);
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
	#runningRequests = 0;

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
	 * @param exchange - The call of the peer.
	 */
	handle(exchange: InboundExchange): void {
		const {inbound, now, bodyLimit, isServing} = this.#options;
		const {response, connection, delivery} = exchange;
		const receivedAt = now();
		const responseWriter = new PeerResponseWriter(exchange);
		this.#runningRequests++;
		delivery.onEnded(() => {
			this.#runningRequests--;
		});
		if (!isServing() || this.#runningRequests > maximumRequests || inbound.ledger.isFull) {
			// The unread rest of the body must not be parsed as the next request.
			response.shouldKeepAlive = false;
			connection.stopReading();
			responseWriter.sendError(503, 'the peer takes no forwarded requests', refusalRetryAfter);
			return;
		}

		receiveBody(exchange, {
			framingFactor: inbound.limits.framingFactor,
			limit: () => bodyLimit() + maximumDescription,
			allowedTime: () => allowedTime(undefined, undefined),
			onComplete: bytes => {
				this.#decode(bytes, responseWriter, receivedAt);
			},
			onRefused(_status, message) {
				responseWriter.sendError(503, message, refusalRetryAfter);
			},
		});
	}

	#decode(bytes: Uint8Array, responseWriter: PeerResponseWriter, receivedAt: Milliseconds): void {
		const {log, onRequest} = this.#options;
		const refuse = (message: string) => {
			responseWriter.sendError(503, message, refusalRetryAfter);
		};

		const decoded = decodeForwardedRequest(bytes);
		if (decoded.isErr) {
			log.warn('forwarded-request-invalid', {reason: decoded.error});
			refuse(`the forwarded request is invalid: ${decoded.error}`);
			return;
		}

		const {request: clientRequest, body, protocol, ...forwarding} = decoded.value;
		if (protocol > hostProtocolVersion) {
			log.warn('forwarded-request-invalid', {reason: `protocol ${protocol} is newer than ${hostProtocolVersion}`});
			refuse(`the forwarded request needs protocol ${protocol}, the peer knows ${hostProtocolVersion}`);
			return;
		}

		onRequest({
			request: clientRequest, body, receivedAt, responseWriter, requestsAhead: 0, forwarding,
		});
	}
}
