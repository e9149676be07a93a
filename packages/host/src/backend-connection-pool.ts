import type {Socket} from 'node:net';
import {type Milliseconds, getErrorMessage} from '@lacewingpoint/shared';
import {Client, buildConnector} from 'undici';
import type {HeaderList} from './ports.js';

/** The server that a connection leads to; a new incarnation gets new connections. */
export type ConnectionTarget = {readonly id: string; readonly incarnation: string; readonly address: string};

/** A request as it is written to a connection. */
export type OutgoingRequest = {
	readonly method: string;
	readonly target: string;
	readonly headers: HeaderList;
	readonly body: Uint8Array | undefined;
};

/** Why an exchange broke off, and whether the server may have the request. */
export type ExchangeFailure = {readonly wasWritten: boolean; readonly reason: string};

export type ExchangeHandler = {
	onHead(status: number, headers: Readonly<Record<string, string | string[] | undefined>>, rawHeaders: HeaderList): void;
	onData(chunk: Uint8Array): void;
	/** The answer has come whole. */
	onEnd(): void;
	onFailure(failure: ExchangeFailure): void;
};

/** One exchange under way. */
export type Exchange = {
	pause(): void;
	resume(): void;
	/** Breaks the connection: the server stops its work. */
	abort(): void;
};

export type BackendConnectionPoolOptions = {
	readonly connectTimeout: Milliseconds;
	/** How long an idle connection is kept where the server does not say. */
	readonly idleTimeout: Milliseconds;
	/** Idle connections kept to one server. */
	readonly maxIdleConnections: number;
	/** An answer out of turn on an idle connection is found by letting it rest this long before it is used again. */
	readonly reuseDelay: Milliseconds;
	readonly now: () => Milliseconds;
	readonly onConnectionOpened: () => void;
};

/** Limits that fit servers within a millisecond's reach. */
export const defaultConnectionLimits = {
	// The sheets give a handshake a millisecond; what takes this long is dead or behind a partition.
	connectTimeout: 200,
	// Used where a server names no time of its own.
	idleTimeout: 4000,
	// Nine hosts with as many stay within the 250 connections that the sheets give a model server.
	maxIdleConnections: 24,
	// An answer that is out of turn arrives within the way between two failure domains, 0.9 ms at most on the sheets.
	reuseDelay: 4,
} as const satisfies Partial<BackendConnectionPoolOptions>;

type Connection = {
	readonly client: Client;
	readonly key: string;
	idleSince: Milliseconds;
	isBroken: boolean;
	/** The socket failed: what undici takes for the end of an answer without a length is a reset. */
	hasFailed: boolean;
	/** The answer under way ends with the connection. */
	endsWithConnection: boolean;
};

/**
 * Tells a reset from an end. When bytes and a reset arrive in one turn of the event loop, Node.js reports an ordinary end;
 * only a write shows that the connection is gone. An empty line before a request is ignored by servers (RFC 9112, section 2.2).
 */
function probeEnd(socket: Socket, connection: Connection): void {
	socket.write('\r\n', error => {
		const code = error instanceof Error && 'code' in error ? error.code : undefined;
		if (code === 'EPIPE' || code === 'ECONNRESET') {
			connection.hasFailed = true;
		}
	});
}

type RawController = {readonly rawHeaders?: readonly Uint8Array[]};

function textOf(rawHeaders: readonly Uint8Array[] | undefined): HeaderList {
	return (rawHeaders ?? []).map(part => Buffer.from(part.buffer, part.byteOffset, part.length).toString('latin1'));
}

/** Connections to backend servers, one exchange at a time on each. */
export class BackendConnectionPool {
	readonly #options: BackendConnectionPoolOptions;
	readonly #idle = new Map<string, Connection[]>();

	constructor(options: BackendConnectionPoolOptions) {
		this.#options = options;
	}

	/**
	 * Sends a request.
	 *
	 * @param target - The server.
	 * @param request - The request.
	 * @param handler - Hears the answer; after `onEnd` or `onFailure` nothing follows.
	 * @returns The exchange.
	 */
	send(target: ConnectionTarget, request: OutgoingRequest, handler: ExchangeHandler): Exchange {
		const connection = this.#acquire(target);
		let control: {pause(): void; resume(): void; abort(reason: Error): void} | undefined;
		let isOver = false;
		let wasWritten = false;
		let isAborted = false;
		const fail = (reason: string) => {
			if (!isOver) {
				isOver = true;
				this.#discard(connection);
				handler.onFailure({wasWritten, reason});
			}
		};

		const finish = () => {
			if (connection.hasFailed) {
				fail('connection reset before the answer was whole');
			} else if (!isOver) {
				isOver = true;
				this.#release(connection);
				handler.onEnd();
			}
		};

		connection.client.dispatch({
			method: request.method,
			path: request.target,
			headers: [...request.headers],

			body: request.body === undefined || request.body.length === 0 ? null : Buffer.from(request.body.buffer, request.body.byteOffset, request.body.length),
			headersTimeout: 0,
			bodyTimeout: 0,
		}, {
			onRequestStart(controller) {
				control = controller;
				wasWritten = true;
				if (isAborted) {
					controller.abort(new Error('aborted'));
				}
			},
			onResponseStart(controller, status, headers) {
				if (status >= 200 && !isOver) {
					connection.endsWithConnection = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
					handler.onHead(status, headers, textOf((controller as unknown as RawController).rawHeaders));
				}
			},
			onResponseData(_controller, chunk) {
				if (!isOver) {
					handler.onData(chunk);
				}
			},
			onResponseEnd() {
				if (connection.endsWithConnection) {
					// The probe of the end tells within this turn.
					setImmediate(finish);
				} else {
					finish();
				}
			},
			onResponseError(_controller, error) {
				fail(getErrorMessage(error));
			},
		});
		return {
			pause() {
				control?.pause();
			},
			resume() {
				control?.resume();
			},
			abort: () => {
				isAborted = true;
				isOver = true;
				control?.abort(new Error('aborted'));
				this.#discard(connection);
			},
		};
	}

	/**
	 * Closes the idle connections to a server.
	 *
	 * @param id - The server.
	 */
	closeIdle(id: string): void {
		for (const [key, idle] of this.#idle) {
			if (key.startsWith(`${id}|`)) {
				this.#idle.delete(key);
				for (const connection of idle) {
					this.#discard(connection);
				}
			}
		}
	}

	/** Closes all idle connections. */
	dispose(): void {
		for (const idle of this.#idle.values()) {
			for (const connection of idle) {
				this.#discard(connection);
			}
		}

		this.#idle.clear();
	}

	#acquire(target: ConnectionTarget): Connection {
		const key = `${target.id}|${target.incarnation}|${target.address}`;
		const idle = this.#idle.get(key) ?? [];
		const now = this.#options.now();
		for (let index = idle.length - 1; index >= 0; index--) {
			const connection = idle[index]!;
			if (connection.isBroken) {
				idle.splice(index, 1);
			} else if (now - connection.idleSince >= this.#options.reuseDelay) {
				idle.splice(index, 1);
				return connection;
			}
		}

		return this.#open(key, target.address);
	}

	#open(key: string, address: string): Connection {
		const connect = buildConnector({timeout: this.#options.connectTimeout, keepAlive: true, keepAliveInitialDelay: 1000});
		const onOpened = this.#options.onConnectionOpened;
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			keepAliveTimeout: this.#options.idleTimeout,
			keepAliveTimeoutThreshold: 500,
			connect(options, callback) {
				connect(options, (...outcome) => {
					const socket = outcome[1];
					// Registered before undici's own listener, which would end an answer without a length.
					socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
						// Undici destroys the socket with an error of its own after an answer that ends with the connection.
						connection.hasFailed ||= error.code !== 'UND_ERR_INFO';
					});
					socket?.prependListener('end', () => {
						if (connection.endsWithConnection) {
							probeEnd(socket, connection);
						}
					});
					onOpened();
					callback(...outcome);
				});
			},
		});
		const connection: Connection = {
			client, key, idleSince: 0, isBroken: false, hasFailed: false, endsWithConnection: false,
		};
		client.on('disconnect', () => {
			connection.isBroken = true;
		});
		return connection;
	}

	#release(connection: Connection): void {
		const idle = this.#idle.get(connection.key) ?? [];
		connection.idleSince = this.#options.now();
		if (connection.isBroken || idle.length >= this.#options.maxIdleConnections) {
			this.#discard(connection);
			return;
		}

		idle.push(connection);
		this.#idle.set(connection.key, idle);
	}

	#discard(connection: Connection): void {
		connection.isBroken = true;
		void connection.client.destroy();
	}
}
