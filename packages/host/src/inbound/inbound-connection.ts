import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {
	InboundAccount, InboundActions, InboundLedger, InboundLimits, ShedReason, UnsentResponses,
} from '@lacewingpoint/routing';
import type {Bytes, Milliseconds} from '@lacewingpoint/shared';
import {ClientConnection, type ResponseDelivery} from '../requests/client-connection.js';
import type {RequestBody} from './request-body.js';
import type {ReadScheduler} from './read-scheduler.js';
import {SocketMeter} from './socket-meter.js';

/** A request, its response, and the connection that carries them. */
export type InboundExchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly connection: InboundConnection;
	readonly delivery: ResponseDelivery;
	/** The requests on the same connection whose responses come first. */
	readonly requestsAhead: number;
};

export type InboundConnectionOptions = {
	readonly ledger: InboundLedger;
	readonly limits: InboundLimits;
	readonly scheduler: ReadScheduler;
	/** Requests that are read before their responses are delivered. */
	readonly pipelinedRequests: number;
	now(): Milliseconds;
	/** @returns Largest size of a head. */
	headLimit(): Bytes;
	/** Called when something was received that is no request. */
	onMalformed(status: number, reason: string): void;
};

/** The limit on heads is checked on their content once they are complete. Before, spaces and the request line count, too. */
const headTolerance: Bytes = 4096;

/** The requests that wait for each other while memory is scarce. */
const contendedPipelinedRequests = 1;

/** A connection of a client or peer: carries out what the ledger decides. */
export class InboundConnection implements InboundActions {
	readonly #socket: Socket;
	readonly #options: InboundConnectionOptions;
	readonly #meter: SocketMeter;
	readonly #exchanges: ClientConnection;
	readonly #responses = new Set<ServerResponse>();
	#account: InboundAccount | undefined;
	/** The request whose end was not received yet. */
	#incoming: IncomingMessage | undefined;
	#body: RequestBody | undefined;
	#headBytes: Bytes = 0;
	/** Whether the slice that is being parsed has completed a head. */
	#hasCompletedHead = false;
	#bodyBytes: Bytes = 0;
	#isRefused = false;

	/**
	 * @param socket - The connection, to which an HTTP server has attached its parser.
	 * @param options - The limits and those who apply them.
	 */
	constructor(socket: Socket, options: InboundConnectionOptions) {
		this.#socket = socket;
		this.#options = options;
		this.#exchanges = new ClientConnection(socket);
		this.#meter = new SocketMeter(socket, {
			scheduler: options.scheduler,
			now: options.now,
			mayParse: () => this.#mayParse,
			declaredBytesLeft: () => this.#body?.declaredBytesLeft ?? 0,
			mayReceive: () => this.#account?.waitsSince === undefined,
			onParsed: bytes => {
				this.#onParsed(bytes);
			},
			onPendingChanged: bytes => {
				this.#update({pendingBytes: bytes});
			},
		});
		socket.on('drain', () => {
			this.#meter.resume();
		});
		socket.once('close', () => {
			if (this.#account !== undefined) {
				options.ledger.close(this.#account);
			}
		});
	}

	/**
	 * Sets the connection's account. Until then, nothing is parsed.
	 *
	 * @param account - The account.
	 */
	admit(account: InboundAccount): void {
		this.#account = account;
	}

	/** Whether a request was refused, so that the connection is read no further. */
	get isRefused(): boolean {
		return this.#isRefused;
	}

	/** The number of requests whose responses are not delivered yet. */
	get openExchanges(): number {
		return this.#exchanges.openExchanges;
	}

	/**
	 * Adds a request that was received on the connection.
	 *
	 * @param request - The request; its body may not be complete yet.
	 * @param response - The response to it.
	 * @returns The exchange.
	 */
	addExchange(request: IncomingMessage, response: ServerResponse): InboundExchange {
		const requestsAhead = this.openExchanges;
		const delivery = this.#exchanges.addExchange(response);
		this.#incoming = request;
		this.#hasCompletedHead = true;
		this.#headBytes = 0;
		this.#responses.add(response);

		this.#update({headBytes: 0, exchanges: this.openExchanges});
		delivery.onEnded(() => {
			this.#responses.delete(response);
			if (this.#account !== undefined) {
				this.#account.progressAt = this.#options.now();
				this.#account.hasCompletedRequests ||= !delivery.isDisconnected && !this.#isRefused;
			}

			this.#update({exchanges: this.openExchanges, unsentBytes: this.measureResponses().unsentBytes});
			this.#meter.resume();
		});
		return {
			request, response, connection: this, delivery, requestsAhead,
		};
	}

	/**
	 * Sets the body that is being received.
	 *
	 * @param body - The body.
	 * @param allowedTime - Returns the time within which the request has to be answered.
	 */
	beginBody(body: RequestBody, allowedTime: () => Milliseconds): void {
		this.#body = body;
		if (this.#account !== undefined) {
			this.#account.incomplete = {receivedAt: this.#options.now(), allowedTime};
		}
	}

	/**
	 * Records that a body is complete or refused. The next request may have begun before.
	 *
	 * @param body - The body.
	 */
	endBody(body: RequestBody): void {
		if (this.#body !== body) {
			return;
		}

		this.#body = undefined;
		if (this.#account !== undefined) {
			this.#account.incomplete = undefined;
		}

		this.recordBody(0);
	}

	/**
	 * Records that a body takes more memory, or that it is released.
	 *
	 * @param growth - The change in bytes.
	 */
	recordBody(growth: Bytes): void {
		this.#bodyBytes += growth;
		if (this.#account !== undefined) {
			this.#options.ledger.growBody(this.#account, {bodyBytes: this.#bodyBytes, incompleteBodyBytes: this.#body?.capacity ?? 0});
		}
	}

	/** Records that responses could not be sent as fast as they were written. */
	recordUnsent(): void {
		this.#update({unsentBytes: this.measureResponses().unsentBytes});
	}

	/**
	 * Answers a request without its body. The connection is closed if more than a little of the body is to come.
	 *
	 * @param exchange - The request.
	 */
	ignoreBody({request, response}: Pick<InboundExchange, 'request' | 'response'>): void {
		const length = request.headers['transfer-encoding'] === undefined ? Number(request.headers['content-length'] ?? 0) : Number.POSITIVE_INFINITY;
		request.on('error', () => {/* The client has disconnected. */});
		if (length > this.#options.limits.discardedBytes) {
			response.shouldKeepAlive = false;
			this.stopReading();
		} else {
			request.resume();
		}
	}

	/** Reads no further, because a request was refused. The connection is closed after the responses, and after a time in which the client can read them. */
	stopReading(): void {
		if (this.#isRefused) {
			return;
		}

		this.#isRefused = true;
		this.#meter.discard(this.#options.limits.discardedBytes);
		if (this.#account !== undefined) {
			this.#options.ledger.recordRefused(this.#account);
		}

		// Destroyed with bytes that were not received, the socket would be reset, and the client might not get the response.
		this.#socket.destroySoon = () => {
			this.#socket.end();
		};
	}

	/**
	 * Ends a connection on which something was received that is no request.
	 *
	 * @param status - Status and reason phrase of the response. It is sent if no other response is to come.
	 */
	refuseMalformed(status: string): void {
		if (this.#isRefused) {
			return;
		}

		if (this.#body !== undefined) {
			this.#body.refuse(Number(status.slice(0, 3)), status);
			return;
		}

		this.stopReading();
		const lastResponse = [...this.#responses].at(-1);
		if (lastResponse === undefined) {
			this.#socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		} else {
			lastResponse.shouldKeepAlive = false;
			lastResponse.once('close', () => {
				this.#socket.end();
			});
		}
	}

	shed(reason: ShedReason): void {
		if (this.#body === undefined || this.#isRefused || reason === 'connections') {
			this.#close();
		} else if (reason === 'memory') {
			this.#body.refuse(503, 'the host has no memory for the request body; the request was not executed');
		} else {
			this.#body.refuse(408, reason === 'late' ? 'the request body was not complete in the time of the request' : 'the request body has stalled');
		}
	}

	resume(): void {
		this.#meter.resume();
	}

	measureResponses(): UnsentResponses {
		const {writableLength} = this.#socket;
		let unsentBytes = writableLength;
		for (const response of this.#responses) {
			unsentBytes += response.writableLength - (response.socket === null ? 0 : writableLength);
		}

		return {unsentBytes, isBlocked: writableLength > 0, sentBytes: this.#socket.bytesWritten - writableLength};
	}

	get #mayParse(): boolean {
		const {ledger, pipelinedRequests} = this.#options;
		if (this.#account === undefined || this.#isRefused || this.#account.waitsSince !== undefined) {
			return false;
		}

		if (this.#incoming?.complete === false) {
			return true;
		}

		// Further responses would only wait behind those that the client does not read.
		if (this.openExchanges > 0 && this.#socket.writableNeedDrain) {
			return false;
		}

		return this.openExchanges < (ledger.isContended ? contendedPipelinedRequests : pipelinedRequests);
	}

	#close(): void {
		// A reset tells the client that the response is not complete, even one without a length.
		if (this.openExchanges > 0 && !this.#socket.writableEnded) {
			this.#socket.resetAndDestroy();
		} else {
			this.#socket.destroy();
		}
	}

	#onParsed(bytes: Bytes): void {
		if (this.#account === undefined) {
			return;
		}

		this.#account.progressAt = this.#options.now();
		if (this.#body !== undefined) {
			this.#body.recordParsed(bytes);
		} else if (!this.#hasCompletedHead && this.#incoming?.complete !== false) {
			this.#headBytes += bytes;
			this.#update({headBytes: this.#headBytes});
			this.#limitHead();
		}

		this.#hasCompletedHead = false;
	}

	#limitHead(): void {
		const {headLimit, onMalformed} = this.#options;
		if (this.#headBytes > headLimit() + headTolerance && !this.#isRefused) {
			onMalformed(431, `a request head of more than ${headLimit()} bytes`);
			this.refuseMalformed('431 Request Header Fields Too Large');
		}
	}

	#update(changes: Parameters<InboundLedger['update']>[1]): void {
		if (this.#account !== undefined) {
			this.#options.ledger.update(this.#account, changes);
		}
	}
}
