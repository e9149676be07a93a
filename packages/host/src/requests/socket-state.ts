import type {Socket} from 'node:net';

/**
 * Whether the connection of a close-delimited response was reset at its end: the code of the error that the connection reported, `none`
 * if it could still be written to, or `pending` while this is not known.
 */
export type ResetCheck = string;

/** What is known of one socket. Undici may open another one for the same client, of which none of this holds. */
export type SocketState = {
	/** `undefined` until it is connected. */
	readonly socket: Socket | undefined;
	/** Whether the socket reported an error. Undici reports a reset during a close-delimited response as its end. */
	hasSocketError: boolean;
	resetCheck: ResetCheck;
	/** Whether the server ended the connection in an orderly way, as far as Node.js reports it. */
	isEndReceived: boolean;
	/** Called when `resetCheck` is known. */
	onResetChecked: (() => void) | undefined;
	/** Whether the body of the current response ends with the connection, because it has neither a content length nor chunks. */
	isCloseDelimited: boolean;
};

/**
 * Creates the state of a socket.
 *
 * @param socket - The socket; `undefined` until it is connected.
 * @returns The state, of a socket on which nothing has happened yet.
 */
export function createSocketState(socket?: Socket): SocketState {
	return {
		socket, hasSocketError: false, resetCheck: 'pending', isEndReceived: false, onResetChecked: undefined, isCloseDelimited: false,
	};
}

/**
 * Distinguishes a connection reset from an ordinary end. When data and a reset arrive in one turn of the event loop, Node.js reports an
 * ordinary end; only a write fails then. The write does no harm: servers ignore an empty line before a request (RFC 9112, section 2.2).
 *
 * @param socket - The socket, whose end was reported.
 * @param state - Receives what was found out.
 */
export function detectReset(socket: Socket, state: SocketState): void {
	socket.write('\r\n', error => {
		state.resetCheck = error instanceof Error ? ('code' in error ? String(error.code) : error.message) : 'none';
		state.onResetChecked?.();
	});
}

/**
 * Tells whether a response body ends with its connection. A response to HEAD and one with status 204 or 304 has no body, so that its end is
 * known with its head.
 *
 * @param method - The method of the request.
 * @param status - The status of the response.
 * @param headers - Its headers.
 * @returns Whether it has a body without a length and without chunks.
 */
export function isCloseDelimited(method: string, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): boolean {
	const hasBody = method !== 'HEAD' && status !== 204 && status !== 304;
	return hasBody && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
