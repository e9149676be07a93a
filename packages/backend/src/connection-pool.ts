import type {Milliseconds} from '@lacewingpoint/shared';
import {Pool} from 'undici';

/** How a backend server is connected to. */
export type BackendConnectionOptions = {
	/** An IP number and port. */
	readonly address: string;
	readonly connections: number;
	readonly connectTimeout: Milliseconds;
	/** The longest silence of a backend server within an answer. */
	readonly silenceTimeout: Milliseconds;
};

/**
 * Makes the connections to one backend server. Requests are never pipelined: an answer belongs to the one request before it.
 *
 * @param options - How to connect.
 * @returns The pool; connections are opened by requests.
 */
export function createConnectionPool(options: BackendConnectionOptions): Pool {
	return new Pool(`http://${options.address}`, {
		connections: options.connections,
		pipelining: 1,
		connect: {timeout: options.connectTimeout},
		headersTimeout: options.silenceTimeout,
		bodyTimeout: options.silenceTimeout,
	});
}
