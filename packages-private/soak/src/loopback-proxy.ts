import {
	type AddressInfo, type Server, type Socket, connect, createServer,
} from 'node:net';
import {resetConnection} from '@lacewingpoint/stand-ins';
import type {Milliseconds} from '@lacewingpoint/shared';

/** What a proxy does with its connections: `silent` drops both directions, `one-way` only what the server sends. */
export type LinkFault = 'none' | 'delay' | 'reset' | 'silent' | 'one-way';

const delayTime: Milliseconds = 80;

/** Forwards TCP connections to one address, and disturbs them. */
export class LoopbackProxy {
	fault: LinkFault = 'none';
	readonly #target: string;
	readonly #sockets = new Set<Socket>();
	readonly #server: Server = createServer({noDelay: true, allowHalfOpen: true}, socket => {
		this.#forward(socket);
	});

	/** @param target - Address to forward to, `host:port`. */
	constructor(target: string) {
		this.#target = target;
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

	/** Resets all connections. */
	resetConnections(): void {
		for (const socket of this.#sockets) {
			resetConnection(socket);
		}
	}

	dispose(): void {
		this.#server.close();
		this.resetConnections();
	}

	#forward(client: Socket): void {
		if (this.fault === 'reset') {
			resetConnection(client);
			return;
		}

		const [host, port] = this.#target.split(':');
		const server = connect({
			host, port: Number(port), noDelay: true, allowHalfOpen: true,
		});
		this.#connect(client, server, false);
		this.#connect(server, client, true);
	}

	#connect(source: Socket, target: Socket, isFromServer: boolean): void {
		this.#sockets.add(source);
		source.on('close', () => this.#sockets.delete(source));
		source.on('error', () => {
			resetConnection(target);
		});
		source.on('data', chunk => {
			this.#deliver(isFromServer, () => {
				target.write(chunk);
			});
		});
		source.on('end', () => {
			// Node.js reports a reset that arrives together with data as an ordinary end; only a write tells.
			source.write('\r\n', error => {
				this.#deliver(isFromServer, () => {
					if (error) {
						resetConnection(target);
					} else {
						target.end();
					}
				});
			});
		});
	}

	#deliver(isFromServer: boolean, action: () => void): void {
		if (this.fault === 'silent' || (this.fault === 'one-way' && isFromServer)) {
			return;
		}

		if (this.fault === 'delay') {
			setTimeout(action, delayTime);
		} else {
			action();
		}
	}
}
