import {type Socket, connect} from 'node:net';
import type {Milliseconds} from '@lacewingpoint/shared';
import {Result} from 'true-myth';

/** Opens a TCP connection; the socket emits `connect` once it is established. */
export type OpenSocket = (options: {readonly host: string; readonly port: number}) => Socket;

export type ConnectOptions = {
	readonly timeout: Milliseconds;
	readonly openSocket: OpenSocket;
};

/** The idle time after which the operating system probes a connection. */
const keepAliveDelay: Milliseconds = 1000;

/** Opens connections with the sockets of Node.js. */
export const openTcpSocket: OpenSocket = ({host, port}) => connect({host, port});

/**
 * Connects to a server. Undici's own connector has a timer with a resolution of half a second, so that it gives up 300 to 900 ms late.
 *
 * @param address - IP address and port, separated by a colon.
 * @param options - The time-out in milliseconds, and how sockets are opened.
 * @param callback - Called once: with the connected socket, or with the error.
 */
export function connectToServer(address: string, {timeout, openSocket}: ConnectOptions, callback: (outcome: Result<Socket, Error>) => void): void {
	const separator = address.lastIndexOf(':');
	let socket: Socket;
	try {
		socket = openSocket({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
	} catch (error) {
		// Thrown for a port that no socket can have.
		setImmediate(callback, Result.err(error as Error));
		return;
	}

	socket.setNoDelay(true);
	socket.setKeepAlive(true, keepAliveDelay);
	const timer = setTimeout(() => {
		socket.destroy(new Error(`no connection to ${address} after ${timeout} ms`));
	}, timeout);
	const handleError = (error: Error) => {
		clearTimeout(timer);
		callback(Result.err(error));
	};

	socket.once('error', handleError);
	socket.once('connect', () => {
		clearTimeout(timer);
		socket.off('error', handleError);
		callback(Result.ok(socket));
	});
}
