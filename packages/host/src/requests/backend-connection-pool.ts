import {type Milliseconds, getErrorMessage} from '@lacewingpoint/shared';
import {Client} from 'undici';
import type {HeaderList} from '../ports.js';
import {createFailedExchange} from './failed-exchange.js';
import {type OpenSocket, connectToServer, openTcpSocket} from './server-connector.js';
import {
	type ResetCheck, type SocketState, createSocketState, detectReset, isCloseDelimited,
} from './socket-state.js';

/** The server to connect to. Connections are reused only for the same server, incarnation and address. */
export type ConnectionTarget = {readonly id: string; readonly incarnation: string; readonly address: string};

/** A request as it is written to the connection. */
export type OutgoingRequest = {
	readonly method: string;
	readonly target: string;
	readonly headers: HeaderList;
	readonly body: Uint8Array | undefined;
};

/** Why an exchange failed, and whether the request may have reached the server. */
export type ExchangeFailure = {readonly wasWritten: boolean; readonly reason: string};

/** How the end of a response was recognized. */
export type ResponseEnding = {
	/** `undefined` if the response has a content length or chunks and needs no check. */
	readonly resetCheck: ResetCheck | undefined;
};

/** Callbacks for the response. */
export type ExchangeHandler = {
	onHead(status: number, headers: Readonly<Record<string, string | string[] | undefined>>, rawHeaders: HeaderList): void;
	onData(chunk: Uint8Array): void;
	/** Called when the response is complete. */
	onEnd(ending: ResponseEnding): void;
	onFailure(failure: ExchangeFailure): void;
};

/** A request in flight and its response. */
export type Exchange = {
	/** Whether the connection has carried another exchange before. */
	readonly isReused: boolean;
	pause(): void;
	resume(): void;
	/**
	 * Closes the connection, upon which the server stops executing the request. No callback follows.
	 *
	 * @param options - `isDelivered`: whether the server is known to have received the request, as it is after a response head. The
	 * operating system then announces the end as often as needed. Otherwise the connection is reset, as the request would be sent
	 * again as often as needed.
	 */
	abort(options: {readonly isDelivered: boolean}): void;
};

export type BackendConnectionPoolOptions = {
	readonly connectTimeout: Milliseconds;
	/** How long an idle connection is kept if the server sends no keep-alive timeout. */
	readonly idleTimeout: Milliseconds;
	/** Largest number of idle connections that are kept for one server. */
	readonly maxIdleConnections: number;
	/** Connections are reused only after they have been idle this long, so that an unsolicited response is detected before the next request. */
	readonly reuseDelay: Milliseconds;
	readonly now: () => Milliseconds;
	/** Called with the head of each response, before the handler of its exchange. */
	readonly onResponseHead: (target: ConnectionTarget, status: number, headers: Readonly<Record<string, string | string[] | undefined>>, sentAt: Milliseconds) => void;
	/** Called after each attempt to open a connection, also after a failed one. */
	readonly onConnectionOpened: () => void;
	/** Opens sockets; those of Node.js by default. */
	readonly openSocket?: OpenSocket | undefined;
};

/** Limits for servers that are reached within a millisecond. */
export const defaultConnectionLimits = {
	// The operators specify 1 ms for a handshake; a server that takes this long is down or behind a network partition.
	connectTimeout: 200,
	// Used if a server sends no keep-alive timeout.
	idleTimeout: 4000,
	// Nine hosts with 24 connections each stay within the operators' limit of 250 connections for a model server.
	maxIdleConnections: 24,
	// An unsolicited response arrives within the latency between two failure domains, which the operators specify as 0.9 ms at most.
	reuseDelay: 4,
} as const satisfies Partial<BackendConnectionPoolOptions>;

type Connection = {
	readonly client: Client;
	readonly key: string;
	idleSince: Milliseconds;
	isClosed: boolean;
	/** Whether it has carried an exchange that is complete. */
	isReused: boolean;
	/** State of the socket that was opened last. */
	socketState: SocketState;
};

function createKey(target: ConnectionTarget): string {
	return `${target.id}|${target.incarnation}|${target.address}`;
}

type ControllerWithRawHeaders = {readonly rawHeaders?: readonly Uint8Array[]};

function decodeRawHeaders(rawHeaders: readonly Uint8Array[] | undefined): HeaderList {
	return (rawHeaders ?? []).map(part => Buffer.from(part.buffer, part.byteOffset, part.length).toString('latin1'));
}

/** Connections to backend servers. Each connection carries one exchange at a time. */
export class BackendConnectionPool {
	readonly #options: BackendConnectionPoolOptions;
	readonly #idleConnections = new Map<string, Connection[]>();

	constructor(options: BackendConnectionPoolOptions) {
		this.#options = options;
	}

	/**
	 * Sends a request on an idle or new connection.
	 *
	 * @param target - The server to send to, in its current incarnation and at its current address.
	 * @param request - The request as it is written to the connection.
	 * @param handler - Callbacks for the response; `onEnd` or `onFailure` is the last one called.
	 * @returns Controls of the exchange: pause, resume and abort.
	 */
	send(target: ConnectionTarget, request: OutgoingRequest, handler: ExchangeHandler): Exchange {
		let connection: Connection;
		try {
			connection = this.#acquire(target);
		} catch (error) {
			return createFailedExchange(handler, getErrorMessage(error));
		}

		const {onResponseHead, now} = this.#options;
		const sentAt = now();
		let requestController: {pause(): void; resume(): void; abort(reason: Error): void} | undefined;
		let isFinished = false;
		let wasWritten = false;
		let isAborted = false;
		let hasHead = false;
		const fail = (reason: string) => {
			if (!isFinished) {
				isFinished = true;
				this.#discard(connection);
				handler.onFailure({wasWritten, reason});
			}
		};

		const finish = () => {
			const {hasSocketError, isCloseDelimited, resetCheck} = connection.socketState;
			if (hasSocketError || (isCloseDelimited && resetCheck !== 'none')) {
				fail('connection reset before the response was complete');
			} else if (!isFinished) {
				isFinished = true;
				if (isCloseDelimited) {
					// Undici reports the disconnect later, and would open another connection for a request that is sent before that.
					this.#discard(connection);
				} else {
					this.#release(connection);
				}

				handler.onEnd({resetCheck: isCloseDelimited ? resetCheck : undefined});
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
				requestController = controller;
				wasWritten = true;
				if (isAborted) {
					controller.abort(new Error('aborted'));
				}
			},
			onResponseStart(controller, status, headers) {
				if (status >= 200 && !isFinished) {
					hasHead = true;
					onResponseHead(target, status, headers, sentAt);
					connection.socketState.isCloseDelimited = isCloseDelimited(request.method, status, headers);
					handler.onHead(status, headers, decodeRawHeaders((controller as unknown as ControllerWithRawHeaders).rawHeaders));
				}
			},
			onResponseData(_controller, chunk) {
				if (!isFinished) {
					handler.onData(chunk);
				}
			},
			onResponseEnd() {
				const {socketState} = connection;
				if (socketState.isCloseDelimited && socketState.isEndReceived && socketState.resetCheck === 'pending') {
					socketState.onResetChecked = finish;
				} else {
					finish();
				}
			},
			onResponseError(_controller, error) {
				fail(getErrorMessage(error));
			},
		});
		return {
			isReused: connection.isReused,
			pause() {
				requestController?.pause();
			},
			resume() {
				requestController?.resume();
			},
			abort: ({isDelivered}) => {
				isAborted = true;
				isFinished = true;
				if (wasWritten && !isDelivered && !hasHead) {
					connection.socketState.socket?.resetAndDestroy();
				}

				requestController?.abort(new Error('aborted'));
				this.#discard(connection);
			},
		};
	}

	/**
	 * Tells whether a request can be sent without opening a connection.
	 *
	 * @param target - The server, in its current incarnation and at its current address.
	 * @returns Whether a connection is idle and may be reused.
	 */
	hasIdle(target: ConnectionTarget): boolean {
		const now = this.#options.now();
		return this.#idleConnections.get(createKey(target))?.some(connection => this.#isReusable(connection, now)) ?? false;
	}

	/**
	 * Closes the idle connections to a server.
	 *
	 * @param id - Id of the server.
	 */
	closeIdle(id: string): void {
		for (const [key, idle] of this.#idleConnections) {
			if (key.startsWith(`${id}|`)) {
				this.#idleConnections.delete(key);
				for (const connection of idle) {
					this.#discard(connection);
				}
			}
		}
	}

	/** Closes all idle connections. */
	closeAllIdle(): void {
		for (const idle of this.#idleConnections.values()) {
			for (const connection of idle) {
				this.#discard(connection);
			}
		}

		this.#idleConnections.clear();
	}

	/**
	 * Tries to open a connection, and closes it again.
	 *
	 * @param target - The server to connect to.
	 * @param openTime - How long the connection has to stay open; 0 if it is enough that it was accepted.
	 * @returns Whether the server accepted it within the connect timeout, and it stayed open.
	 */
	async canConnect(target: ConnectionTarget, openTime: Milliseconds = 0): Promise<boolean> {
		return new Promise(resolve => {
			connectToServer(target.address, this.#connectOptions, outcome => {
				this.#options.onConnectionOpened();
				if (outcome.isErr) {
					resolve(false);
					return;
				}

				const socket = outcome.value;
				const finish = (isOpen: boolean) => {
					clearTimeout(timer);
					socket.destroy();
					resolve(isOpen);
				};

				const timer = setTimeout(() => {
					finish(true);
				}, openTime);
				// Without a reader, the end of the connection is not noticed.
				socket.resume();
				socket.on('error', () => {
					finish(false);
				});
				socket.on('close', () => {
					finish(false);
				});
			});
		});
	}

	dispose(): void {
		this.closeAllIdle();
	}

	get #connectOptions() {
		return {timeout: this.#options.connectTimeout, openSocket: this.#options.openSocket ?? openTcpSocket};
	}

	#acquire(target: ConnectionTarget): Connection {
		const key = createKey(target);
		const now = this.#options.now();
		const connection = this.#idleConnections.get(key)?.findLast(candidate => this.#isReusable(candidate, now));
		if (connection === undefined) {
			return this.#open(key, target.address);
		}

		this.#forget(connection);
		return connection;
	}

	#isReusable(connection: Connection, now: Milliseconds): boolean {
		return !connection.isClosed && now - connection.idleSince >= this.#options.reuseDelay;
	}

	#open(key: string, address: string): Connection {
		const connectOptions = this.#connectOptions;
		const onOpened = this.#options.onConnectionOpened;
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			keepAliveTimeout: this.#options.idleTimeout,
			keepAliveTimeoutThreshold: 500,
			connect(_options, callback) {
				connectToServer(address, connectOptions, outcome => {
					const socket = outcome.isOk ? outcome.value : undefined;
					const state = createSocketState(socket);
					connection.socketState = state;
					// Runs before undici's own listener, which would end a close-delimited response as if it were complete.
					socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
						// After a close-delimited response, undici destroys the socket with this error of its own.
						state.hasSocketError ||= error.code !== 'UND_ERR_INFO';
					});
					socket?.prependListener('end', () => {
						state.isEndReceived = true;
						if (state.isCloseDelimited) {
							detectReset(socket, state);
						}
					});
					onOpened();
					if (outcome.isOk) {
						callback(null, outcome.value);
					} else {
						callback(outcome.error, null);
					}
				});
			},
		});
		const connection: Connection = {
			client, key, idleSince: 0, isClosed: false, isReused: false, socketState: createSocketState(),
		};
		client.on('disconnect', () => {
			connection.isClosed = true;
			this.#forget(connection);
		});
		return connection;
	}

	#release(connection: Connection): void {
		const idle = this.#idleConnections.get(connection.key) ?? [];
		connection.idleSince = this.#options.now();
		connection.isReused = true;
		if (connection.isClosed || idle.length >= this.#options.maxIdleConnections) {
			this.#discard(connection);
			return;
		}

		idle.push(connection);
		this.#idleConnections.set(connection.key, idle);
	}

	#forget(connection: Connection): void {
		const idle = this.#idleConnections.get(connection.key);
		const index = idle?.indexOf(connection) ?? -1;
		if (index !== -1) {
			idle!.splice(index, 1);
		}

		if (idle?.length === 0) {
			this.#idleConnections.delete(connection.key);
		}
	}

	#discard(connection: Connection): void {
		connection.isClosed = true;
		void connection.client.destroy();
	}
}
