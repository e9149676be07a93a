import {once} from 'node:events';
import {connect} from 'node:net';

export type RawRequestOptions = {
	/** The bytes of the request, in pieces that are written as fast as the peer reads. */
	readonly pieces: Iterable<string> | AsyncIterable<string>;
	/** The request is given up after this time, in milliseconds. */
	readonly timeout: number;
};

export type RawResponse = {
	/** 0 if there was no response with a length, or not all of it. */
	readonly status: number;
	readonly body: string;
};

/**
 * Sends a request on a new connection, byte by byte as given, and reads a response that states its length.
 *
 * @param address - Address of the host, `host:port`.
 * @param options - The request.
 * @returns The response.
 */
export async function sendRawRequest(address: string, options: RawRequestOptions): Promise<RawResponse> {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	return new Promise(resolve => {
		let received = '';
		const finish = () => {
			clearTimeout(timer);
			socket.destroy();
			resolve(parseResponse(received) ?? {status: 0, body: ''});
		};

		const timer = setTimeout(finish, options.timeout);
		socket.on('data', chunk => {
			received += chunk.toString('latin1');
			if (parseResponse(received) !== undefined) {
				finish();
			}
		});
		socket.on('error', () => {/* The close event follows. */});
		socket.on('close', finish);
		writePieces().catch(() => {/* The close event follows. */});

		async function writePieces(): Promise<void> {
			for await (const piece of options.pieces) {
				if (socket.destroyed) {
					return;
				}

				if (!socket.write(piece, 'latin1')) {
					await Promise.race([once(socket, 'drain'), closed]);
				}
			}
		}
	});
}

function parseResponse(text: string): RawResponse | undefined {
	const headEnd = text.indexOf('\r\n\r\n');
	const head = text.slice(0, headEnd);
	const length = /^content-length: (?<length>\d+)$/imv.exec(head)?.groups?.length;
	const body = text.slice(headEnd + 4);
	return headEnd === -1 || length === undefined || body.length < Number(length) ? undefined : {status: Number(head.split(' ')[1]), body};
}
