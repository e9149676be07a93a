import {type Socket, createSocket} from 'node:dgram';
import type {Disposable, Logger, Metrics} from '@lacewingpoint/shared';
import {type HostMessage, decodeHostMessage, encodeHostMessage} from './host-messages.js';

export type GossipSocketOptions = {
	/** The address to receive at, `host:port`. */
	readonly address: string;
	readonly log: Logger;
	readonly metrics: Metrics;
	onMessage(message: HostMessage): void;
};

/** Sends and receives messages between hosts as datagrams. */
export class GossipSocket implements Disposable {
	readonly #options: GossipSocketOptions;
	readonly #socket: Socket;
	#isClosed = false;

	constructor(options: GossipSocketOptions) {
		this.#options = options;
		this.#socket = createSocket('udp4');
	}

	/** Binds the socket. */
	async start(): Promise<void> {
		const {address, log, metrics, onMessage} = this.#options;
		const [host, port] = address.split(':');
		this.#socket.on('message', bytes => {
			const message = decodeHostMessage(bytes);
			if (message === undefined) {
				metrics.incrementCounter('datagrams_unreadable');
			} else {
				onMessage(message);
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

	/**
	 * Sends a message; it may get lost.
	 *
	 * @param message - The message.
	 * @param addresses - The addresses of the recipients.
	 */
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
			this.#socket.send(bytes, Number(port), host, error => {
				if (error !== null) {
					metrics.incrementCounter('datagrams_unsent');
				}
			});
		}
	}

	dispose(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#socket.close();
		}
	}
}
