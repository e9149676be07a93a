import type {ServerResponse} from 'node:http';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {InboundExchange} from '../inbound/index.js';
import type {
	ClientProtocol, ClientRequest, HeaderList, ResponseWriter,
} from '../ports.js';

export type HttpResponseWriterOptions = {
	readonly protocol: ClientProtocol;
	/** @returns Whether connections are to be closed after the current response. */
	isStopping(): boolean;
};

/** Writes the response to a client. */
export class HttpResponseWriter implements ResponseWriter {
	/** `undefined` until the request head is decoded. */
	request: ClientRequest | undefined;
	readonly #exchange: InboundExchange;
	readonly #response: ServerResponse;
	readonly #options: HttpResponseWriterOptions;
	#hasContentLength = false;

	/**
	 * @param exchange - The request and its response.
	 * @param options - The protocol, and whether the host is stopping.
	 */
	constructor(exchange: InboundExchange, options: HttpResponseWriterOptions) {
		this.#exchange = exchange;
		this.#response = exchange.response;
		this.#options = options;
		this.#response.sendDate = false;
	}

	get isDisconnected(): boolean {
		return this.#exchange.delivery.isDisconnected;
	}

	writeHead(status: number, headers: HeaderList): void {
		this.#closeConnectionIfStopping();
		const clientHeaders = [...this.#options.protocol.responseHeaders(this.request!, headers)];
		this.#hasContentLength = clientHeaders.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
		this.#response.writeHead(status, clientHeaders);
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
		this.#exchange.delivery.onDisconnect(listener);
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
