import {createServer} from 'node:net';
import {once} from 'node:events';
import {setTimeout as pause} from 'node:timers/promises';

/**
 * A model server with several models. A load of weights takes `loadTime`; requests for the model are refused meanwhile. Servers of this kind write
 * their entry to the store when they start and when a version changes.
 */
/** An event of a longer answer contains several tokens. */
const mostEvents = 60;

export class ModelServer {
	/** Requests that were run, as attempt id, model and version of its weights. */
	runs = [];
	/** Requests that were refused, by reason. */
	refusals = [];
	/** Of so many answers, one is followed by a second copy of it, where the next answer on the connection is due; 0 for none. */
	extraEvery = 0;
	extras = 0;
	#answers = 0;
	#sequence = 0;
	#writes = 0;
	#port = 0;
	#born = 1_700_000_000_000;
	#busy = undefined;
	#sockets = new Set();
	#server = createServer({noDelay: true}, socket => {
		this.#serve(socket);
	});

	constructor({id, store, service, zone, slots = 16, loadTime = 300, runTime = 100, eventInterval = 0, softwareVersion = 'v1', models}) {
		this.id = id;
		this.softwareVersion = softwareVersion;
		this.models = new Map(Object.entries(models));
		this.options = {
			store, service, zone, slots, loadTime, runTime, eventInterval,
		};
	}

	async start() {
		this.#server.listen(this.#port, '127.0.0.1');
		await once(this.#server, 'listening');
		this.#port = this.#server.address().port;
		this.register();
	}

	/** Starts again under its id and at its address, with another version of its software. It knows nothing of before. */
	async restart(softwareVersion, downTime) {
		this.dispose();
		await pause(downTime);
		this.softwareVersion = softwareVersion;
		this.#born += 1000;
		this.#writes = 0;
		this.#sequence = 0;
		await this.start();
	}

	/** Writes the entry, as soon as the store answers. */
	register() {
		if (this.options.store.failureMode !== 'none') {
			setTimeout(() => {
				this.register();
			}, 100);
			return;
		}

		const {store, service, zone, slots} = this.options;
		this.#writes++;
		store.put(`servers/${this.id}`, {
			service, address: `127.0.0.1:${this.#port}`, zone, version: this.softwareVersion, slots, state: 'ready', coldLeftMs: 0, seq: this.#writes, born: this.#born,
			models: [...this.models].map(([name, version]) => ({name, version})),
		});
	}

	dispose() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#serve(socket) {
		this.#sockets.add(socket);
		socket.on('close', () => this.#sockets.delete(socket));
		socket.on('error', () => {/* The host has closed the connection. */});
		const connection = {socket, text: '', late: ''};
		socket.on('data', chunk => {
			connection.text += chunk.toString('latin1');
			this.#read(connection);
		});
	}

	#read(connection) {
		for (;;) {
			const headEnd = connection.text.indexOf('\r\n\r\n');
			if (headEnd === -1) {
				return;
			}

			const [requestLine, ...lines] = connection.text.slice(0, headEnd).split('\r\n');
			const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
			const end = headEnd + 4 + Number(headers.get('content-length') ?? 0);
			if (connection.text.length < end) {
				return;
			}

			const body = connection.text.slice(headEnd + 4, end);
			connection.text = connection.text.slice(end);
			if (connection.late !== '') {
				this.extras++;
				connection.socket.write(connection.late);
				connection.late = '';
			}

			this.#answer(connection, {target: requestLine.split(' ')[1], headers, body});
		}
	}

	#answer(connection, {target, headers, body}) {
		const {socket} = connection;
		const expected = headers.get('expect-instance');
		if (expected !== undefined && expected !== this.id) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
		} else if (target === '/report') {
			const report = JSON.stringify({
				stage: 'both', models: [...this.models].map(([name, version]) => ({name, version, adapters: []})), busy: this.#busy !== undefined, seq: this.#sequence, queued: 0, active: 0, kvUsed: 0, kvTotal: 100_000, handles: 0,
			});
			socket.write(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${report.length}\r\n\r\n${report}`);
		} else if (target === '/order') {
			const status = this.#order(JSON.parse(body));
			socket.write(`HTTP/1.1 ${status} Order\r\nContent-Length: 0\r\n\r\n`);
		} else {
			this.#run(connection, headers);
		}
	}

	#order({model, version, expected}) {
		if (this.#busy !== undefined || (expected !== undefined && expected !== this.#sequence)) {
			return 409;
		}

		if (this.models.get(model) >= version) {
			return 200;
		}

		this.#sequence++;
		this.#busy = model;
		setTimeout(() => {
			this.models.set(model, version);
			this.#busy = undefined;
			this.register();
		}, this.options.loadTime);
		return 202;
	}

	async #run(connection, headers) {
		const {socket} = connection;
		const id = headers.get('attempt-id') ?? '';
		const model = headers.get('model');
		const version = this.models.get(model);
		const refuse = (status, reason) => {
			this.refusals.push(reason);
			socket.write(`HTTP/1.1 ${status} Refused\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nInstance-Id: ${this.id}\r\n${version === undefined ? '' : `Weight-Versions: ${version}\r\n`}Content-Length: 0\r\n\r\n`);
		};

		if (Number(headers.get('expect-version') ?? version) !== version) {
			refuse(421, `${model}: expected version ${headers.get('expect-version')}, has ${version}`);
			return;
		}

		if (this.#busy === model) {
			refuse(503, `${model}: loading`);
			return;
		}

		this.runs.push({
			id, model, version, softwareVersion: this.softwareVersion, at: performance.now(),
		});
		await pause(this.options.runTime);
		const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Stamp: ${this.id}.${this.runs.length}\r\nContent-Type: text/event-stream\r\nWeight-Versions: ${version}\r\nTransfer-Encoding: chunked\r\n\r\n`;
		const {eventInterval} = this.options;
		const eventCount = Math.min(Number((headers.get('token-count') ?? '').split(',')[1]), mostEvents);
		const events = Array.from({length: eventCount}, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1} of ${model} by ${this.softwareVersion}\n\n`).slice(Number(headers.get('last-event-id') ?? 0));
		const chunks = [...events.map(event => `${event.length.toString(16)}\r\n${event}\r\n`), '0\r\n\r\n'];
		const answer = `${head}${chunks.join('')}`;
		if (eventInterval > 0) {
			socket.write(head);
			for (const chunk of chunks) {
				if (socket.destroyed) {
					return;
				}

				socket.write(chunk);
				await pause(eventInterval);
			}

			return;
		}

		if (socket.destroyed) {
			return;
		}

		socket.write(answer);
		this.#answers++;
		if (this.extraEvery > 0 && this.#answers % this.extraEvery === 0) {
			connection.late = answer;
		}
	}
}
