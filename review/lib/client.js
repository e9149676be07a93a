import {Agent, request as httpRequest} from 'node:http';

const key = 'key-panaderia';

/** Stand-in for the consumers: sends requests on connections that are kept, and notes what is answered. */
export class Client {
	/** All requests, in the order in which they were sent. */
	requests = [];
	#agent = new Agent({keepAlive: true, maxSockets: 400, maxFreeSockets: 400});
	#record;

	constructor(record) {
		this.#record = record;
	}

	/**
	 * Sends a request.
	 *
	 * @param address - Address of the host.
	 * @param target - Path of the request.
	 * @param options - `id`: its id; `deadline`: value of `Deadline-Ms`; `headers`: further headers; `patience`: time in milliseconds after which the client leaves.
	 * @returns What became of the request, once its channel or its answer has ended.
	 */
	async send(address, target, {id, deadline, headers = {}, patience = 30_000}) {
		const [hostname, port] = address.split(':');
		const entry = {
			id, target, sentAt: performance.now(), status: undefined, isComplete: false, body: '', endedAt: undefined, ending: 'open',
		};
		this.requests.push(entry);
		this.#record(`sent ${id} ${target} to ${address}`);
		return new Promise(resolve => {
			const finish = ending => {
				if (entry.endedAt === undefined) {
					clearTimeout(timer);
					entry.endedAt = performance.now();
					entry.ending = ending;
					this.#record(`ended ${id} after ${(entry.endedAt - entry.sentAt).toFixed(0)} ms: ${ending}, status ${entry.status ?? 'none'}, ${entry.body.length} bytes, ${entry.isComplete ? 'complete' : 'incomplete'}`);
					resolve(entry);
				}
			};

			const outgoing = httpRequest({
				hostname, port, method: 'POST', path: target, agent: this.#agent, headers: {
					Host: 'h.example', 'Attempt-Id': id, 'Api-Key': key, 'Deadline-Ms': String(deadline), 'Content-Length': 2, ...headers,
				},
			}, response => {
				entry.status = response.statusCode;
				response.on('data', chunk => {
					entry.body += chunk.toString('latin1');
				});
				response.on('error', () => {/* The close follows. */});
				response.on('close', () => {
					entry.isComplete = response.complete;
					finish(response.complete ? 'answered' : 'channel closed within the answer');
				});
			});
			const timer = setTimeout(() => {
				finish('the client left');
				outgoing.destroy();
			}, patience);
			outgoing.on('error', error => {
				finish(`channel closed without an answer (${error.code})`);
			});
			outgoing.end('{}');
		});
	}

	dispose() {
		this.#agent.destroy();
	}
}

/**
 * Creates the headers of a generation.
 *
 * @param session - Id of the last part of its prompt.
 * @returns The headers.
 */
export function generationHeaders(session) {
	return {Model: 'm0', 'Token-Count': '826,42', 'Prompt-Prefix': `5c1e07a2:198,${session}:628`};
}
