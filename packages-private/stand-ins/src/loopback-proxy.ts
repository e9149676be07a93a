import {
	type AddressInfo, type Server, type Socket, connect, createServer,
} from 'node:net';
import type {Milliseconds} from '@lacewingpoint/shared';
import {resetConnection} from './platform-server.js';

/**
 * What a proxy does with its connections.
 *
 * - `silent` drops both directions, `one-way` only what the server sends.
 * - `held` delivers nothing until the fault ends, as a network that loses all packets: TCP sends the bytes again, and an orderly end with
 * them, but neither a reset nor the bytes before it.
 */
export type LinkFault = 'none' | 'delay' | 'reset' | 'silent' | 'one-way' | 'held';

const delayTime: Milliseconds = 80;

/** Forwards TCP connections to one address, and disturbs them. */
export class LoopbackProxy {
	/** The IP addresses whose connections the fault disturbs; all if `undefined`. */
	affectedAddresses: ReadonlySet<string> | undefined;
	readonly #target: string;
	/** Both sockets of each connection, with the address of the client. */
	readonly #sockets = new Map<Socket, string>();
	readonly #directions = new Set<LinkDirection>();
	#fault: LinkFault = 'none';
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

	get fault(): LinkFault {
		return this.#fault;
	}

	set fault(fault: LinkFault) {
		this.#fault = fault;
		if (fault !== 'held') {
			for (const direction of this.#directions) {
				direction.release();
			}
		}
	}

	/** Starts listening on a free port. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Resets the connections that the fault disturbs. */
	resetConnections(): void {
		for (const [socket, peerAddress] of this.#sockets) {
			if (this.#isAffected(peerAddress)) {
				resetConnection(socket);
			}
		}
	}

	dispose(): void {
		this.#server.close();
		for (const socket of this.#sockets.keys()) {
			resetConnection(socket);
		}
	}

	#isAffected(address: string): boolean {
		return this.affectedAddresses?.has(address) ?? true;
	}

	#forward(client: Socket): void {
		const address = client.remoteAddress ?? '';
		if (this.fault === 'reset' && this.#isAffected(address)) {
			resetConnection(client);
			return;
		}

		const [host, port] = this.#target.split(':');
		const server = connect({
			host, port: Number(port), noDelay: true, allowHalfOpen: true,
		});
		this.#connect(client, server, {address, isFromServer: false});
		this.#connect(server, client, {address, isFromServer: true});
	}

	#connect(source: Socket, target: Socket, {address, isFromServer}: {readonly address: string; readonly isFromServer: boolean}): void {
		const hasFault = (fault: LinkFault) => this.fault === fault && this.#isAffected(address);
		const direction = new LinkDirection({
			isLosing: () => hasFault('silent') || (hasFault('one-way') && isFromServer),
			isHolding: () => hasFault('held'),
			delay: () => hasFault('delay') ? delayTime : 0,
		});
		this.#directions.add(direction);
		this.#sockets.set(source, address);
		const passOnReset = () => {
			direction.discardHeld();
			if (!hasFault('held')) {
				resetConnection(target);
			}
		};

		source.on('close', () => {
			this.#sockets.delete(source);
			// What is held was sent before an orderly end, and is delivered later.
			if (!hasFault('held')) {
				this.#directions.delete(direction);
			}
		});
		source.on('error', passOnReset);
		source.on('data', chunk => {
			direction.deliver(() => {
				// A reset that was lost: its sender answers later bytes with another one.
				if (target.destroyed) {
					resetConnection(source);
				} else {
					target.write(chunk);
				}
			});
		});
		source.on('end', () => {
			// Node.js reports a reset that arrives together with data as an ordinary end; only a write tells.
			source.write('\r\n', error => {
				if (error) {
					passOnReset();
				} else {
					direction.deliver(() => {
						target.end();
					});
				}
			});
		});
	}
}

type LinkConditions = {
	isLosing(): boolean;
	isHolding(): boolean;
	delay(): Milliseconds;
};

/** One direction of a connection. Like TCP, it neither reorders bytes nor goes on after it has lost some. */
class LinkDirection {
	readonly #conditions: LinkConditions;
	readonly #pending: Array<() => void> = [];
	#held: Array<() => void> = [];
	#hasLost = false;

	constructor(conditions: LinkConditions) {
		this.#conditions = conditions;
	}

	deliver(action: () => void): void {
		this.#hasLost ||= this.#conditions.isLosing();
		if (this.#hasLost) {
			return;
		}

		if (this.#conditions.isHolding()) {
			this.#held.push(action);
			return;
		}

		const delay = this.#conditions.delay();
		if (delay === 0 && this.#pending.length === 0) {
			action();
			return;
		}

		this.#pending.push(action);
		setTimeout(() => {
			this.#pending.shift()?.();
		}, delay);
	}

	/** Delivers what was held, in order. */
	release(): void {
		const held = this.#held;
		this.#held = [];
		for (const action of held) {
			action();
		}
	}

	/** Drops what was held. */
	discardHeld(): void {
		this.#held = [];
	}
}
