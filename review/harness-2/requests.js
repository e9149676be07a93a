import {connect} from 'node:net';

/**
 * Sends one request on a connection of its own, as raw lines, and reads the answer to the end of its connection, its length or its last chunk.
 *
 * @returns The status (0 without an answer), the headers, the body, and whether the answer is complete.
 */
export async function sendRaw(address, {lines, body = '', timeout = 4000, onData}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect({host, port: Number(port), noDelay: true});
		let text = '';
		const finish = reason => {
			clearTimeout(timer);
			socket.destroy();
			resolve({...parse(text), reason});
		};

		const timer = setTimeout(finish, timeout, 'time');
		socket.on('error', error => {
			finish(error.code ?? error.message);
		});
		socket.on('close', () => {
			finish('closed');
		});
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			onData?.(text, socket);
			if (parse(text).isComplete) {
				finish('complete');
			}
		});
		socket.write(`${[...lines, ...(body === '' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`])].join('\r\n')}\r\n\r\n${body}`);
	});
}

function parse(text) {
	const headEnd = text.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {
			status: 0, headers: new Map(), body: '', isComplete: false,
		};
	}

	const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n');
	const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const rest = text.slice(headEnd + 4);
	const isChunked = headers.get('transfer-encoding') === 'chunked';
	const length = Number(headers.get('content-length') ?? Number.POSITIVE_INFINITY);
	return {
		status: Number(statusLine.split(' ')[1]), headers, body: rest, isComplete: isChunked ? rest.endsWith('0\r\n\r\n') : rest.length >= length,
	};
}
