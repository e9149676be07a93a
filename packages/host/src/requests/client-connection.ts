import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * A connection on which a client, or a peer, sends requests. It may send several at once. Node.js reports the end of the connection
 * only to the response that is being written, not to those that wait for their turn.
 */
export class ClientConnection {
	readonly #exchanges = new Set<ResponseDelivery>();

	/** @param socket - The connection, on which nothing was received yet. */
	constructor(socket: Socket) {
		const close = () => {
			for (const exchange of this.#exchanges) {
				exchange.cancel();
			}
		};

		socket.once('end', close);
		socket.once('close', close);
	}

	/** The number of requests whose responses are not delivered yet. */
	get openExchanges(): number {
		return this.#exchanges.size;
	}

	/**
	 * Adds a request that was received on the connection.
	 *
	 * @param response - The response to it.
	 * @returns The state of the response.
	 */
	addExchange(response: ServerResponse): ResponseDelivery {
		const exchange = new ResponseDelivery(response);
		this.#exchanges.add(exchange);
		exchange.onEnded(() => {
			this.#exchanges.delete(exchange);
		});
		return exchange;
	}
}

/** Whether a response was delivered, or can no longer be because the connection has ended. */
export class ResponseDelivery {
	readonly #disconnectListeners: Array<() => void> = [];
	readonly #endListeners: Array<() => void> = [];
	#isEnded = false;
	#isDisconnected = false;

	/** @param response - The response. */
	constructor(response: ServerResponse) {
		response.once('close', () => {
			if (response.writableFinished) {
				this.#end();
			} else {
				this.cancel();
			}
		});
		// The close event that follows ends the exchange.
		response.on('error', () => {
			this.#isDisconnected = true;
		});
	}

	/** Whether the client or peer has disconnected before the response was delivered. */
	get isDisconnected(): boolean {
		return this.#isDisconnected;
	}

	/**
	 * Subscribes to the end of the connection before the response was delivered.
	 *
	 * @param listener - Called once.
	 */
	onDisconnect(listener: () => void): void {
		this.#disconnectListeners.push(listener);
	}

	/**
	 * Subscribes to the end of the exchange, whether the response was delivered or not.
	 *
	 * @param listener - Called once.
	 */
	onEnded(listener: () => void): void {
		this.#endListeners.push(listener);
	}

	/** Records that the connection has ended. */
	cancel(): void {
		if (this.#isEnded) {
			return;
		}

		this.#isDisconnected = true;
		this.#end();
		for (const listener of this.#disconnectListeners) {
			listener();
		}
	}

	#end(): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			for (const listener of this.#endListeners) {
				listener();
			}
		}
	}
}
