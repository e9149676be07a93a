import {type Socket, createSocket} from 'node:dgram';
import {
	type Disposable, type Logger, type Metrics, getErrorMessage,
} from '@lacewingpoint/shared';
import {type HostMessage, decodeHostMessage, encodeHostMessage} from './host-messages.js';

/** Carries messages between hosts. Messages may get lost. */
export type GossipTransport = Disposable & {
	/**
	 * Starts to receive messages.
	 *
	 * @param onMessage - Called with each message.
	 */
	start(onMessage: (message: HostMessage) => void): Promise<void>;
	/**
	 * Sends a message.
	 *
	 * @param message - The message.
	 * @param addresses - The addresses of the recipients.
	 */
	send(message: HostMessage, addresses: readonly string[]): void;
};

export type GossipSocketOptions = {
	/** The address to receive at, `host:port`. */
	readonly address: string;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Sends and receives messages between hosts as datagrams. */
export class GossipSocket implements GossipTransport {
	readonly #options: GossipSocketOptions;
	readonly #socket: Socket;
	#isClosed = false;

	constructor(options: GossipSocketOptions) {
		this.#options = options;
		this.#socket = createSocket('udp4');
	}

	async start(onMessage: (message: HostMessage) => void): Promise<void> {
		const {address, log, metrics} = this.#options;
		const [host, port] = address.split(':');
		this.#socket.on('message', bytes => {
			const message = decodeHostMessage(bytes);
			if (message === undefined) {
				metrics.incrementCounter('datagrams_unreadable');
			} else {
				this.#deliver(message, onMessage);
			}
		});
		this.#socket.on('error', error => {
			metrics.incrementCounter('datagram_errors');
			log.warn('datagram-error', {reason: error.message});
		});
		await new Promise<void>(resolve => {
			this.#socket.bind(Number(port), host, resolve);
		});
	}

	send(message: HostMessage, addresses: readonly string[]): void {
		if (this.#isClosed) {
			return;
		}

		const {metrics} = this.#options;
		const bytes = encodeHostMessage(message);
		metrics.incrementCounter('datagrams', {}, addresses.length);
		metrics.incrementCounter('datagram_bytes', {}, addresses.length * bytes.length);
		for (const address of addresses) {
			const [host, port] = address.split(':');
			try {
				this.#socket.send(bytes, Number(port), host, error => {
					if (error !== null) {
						metrics.incrementCounter('datagrams_unsent');
					}
				});
			} catch {
				// The address, which a peer has reported, has no valid port. The other peers still get their messages.
				metrics.incrementCounter('datagrams_unsent');
			}
		}
	}

	dispose(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#socket.close();
		}
	}

	// A message that cannot be processed must not affect others.
	#deliver(message: HostMessage, onMessage: (message: HostMessage) => void): void {
		try {
			onMessage(message);
		} catch (error) {
			this.#options.metrics.incrementCounter('datagrams_failed');
			this.#options.log.warn('datagram-failed', {sender: message.name, reason: getErrorMessage(error)});
		}
	}
}
