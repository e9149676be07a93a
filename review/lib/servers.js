import {createServer} from 'node:http';

/** Time between two writes of a server's entry in the store. */
const heartbeatInterval = 1200;

/** Stand-in for a backend server: it registers in the store and responds to requests by a handler of the test. */
export class BackendServer {
	/** Requests that it has begun to execute. */
	executed = [];
	id;
	#service;
	#zone;
	#store;
	#handler;
	#born = Date.now();
	#sequence = 0;
	#timer;
	#sockets = new Set();
	#server = createServer((request, response) => {
		const chunks = [];
		request.on('data', chunk => chunks.push(chunk));
		request.on('error', () => {/* The caller has closed the connection. */});
		response.on('error', () => {/* The caller has closed the connection. */});
		request.on('end', () => {
			this.#respond(request, response, Buffer.concat(chunks));
		});
	});

	/**
	 * @param store - The store in which it registers.
	 * @param options - Its id, service and zone, and the handler of requests.
	 */
	constructor(store, {id, service, zone, handler}) {
		this.id = id;
		this.#store = store;
		this.#service = service;
		this.#zone = zone;
		this.#handler = handler;
		this.#server.keepAliveTimeout = 15_000;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {/* The caller has closed the connection. */});
			socket.once('close', () => this.#sockets.delete(socket));
		});
	}

	get address() {
		return `127.0.0.1:${this.#server.address().port}`;
	}

	async start() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.register();
		this.#timer = setInterval(() => {
			this.register();
		}, heartbeatInterval);
	}

	/** Writes the server's entry to the store. */
	register() {
		this.#store.put(`servers/${this.id}`, {
			service: this.#service, address: this.address, zone: this.#zone, version: 'v1', slots: 32, state: 'ready', coldLeftMs: 0, seq: ++this.#sequence, born: this.#born, ...this.entryFields(),
		});
	}

	/** @returns Further fields of the entry. */
	entryFields() {
		return {};
	}

	dispose() {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Ends as in a crash: the port is closed, all connections are reset, and the entry in the store is not written any more. */
	crash() {
		clearInterval(this.#timer);
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	/**
	 * Handles calls other than requests.
	 *
	 * @returns Whether the call was handled.
	 */
	handleControlCall() {
		return false;
	}

	#respond(request, response, body) {
		const expected = request.headers['expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {'Instance-Id': this.id, 'Content-Length': 0}).end();
			return;
		}

		if (request.url === '/health') {
			response.writeHead(200, {'Instance-Id': this.id, 'Content-Length': 0}).end();
			return;
		}

		if (this.handleControlCall(request, response, body)) {
			return;
		}

		this.executed.push({
			id: request.headers['attempt-id'], method: request.method, target: request.url, body: body.toString('utf8'), at: performance.now(),
		});
		this.#handler(request, response, body);
	}
}

/** Stand-in for a model server, which loads weights at the orders of the hosts. It does not check fencing tokens. */
export class ModelServer extends BackendServer {
	/** All orders that arrived. */
	orders = [];
	#version = 1;
	#acceptedOrders = 0;
	#isBusy = false;
	#loadTime;
	#onOrder;

	/**
	 * @param store - The store in which it registers.
	 * @param options - As for `BackendServer`; `loadTime`: time in milliseconds to load weights; `onOrder`: called with each order.
	 */
	constructor(store, {loadTime, onOrder, ...options}) {
		super(store, options);
		this.#loadTime = loadTime;
		this.#onOrder = onOrder;
	}

	get version() {
		return this.#version;
	}

	entryFields() {
		return {stage: 'both', models: [{name: 'm0', version: this.#version, adapters: []}]};
	}

	handleControlCall(request, response, body) {
		if (request.url === '/report') {
			const text = JSON.stringify({
				stage: 'both', models: [{name: 'm0', version: this.#version, adapters: []}], busy: this.#isBusy, seq: this.#acceptedOrders, queued: 0, active: 0, kvUsed: 0, kvTotal: 171_052, handles: 0,
			});
			response.writeHead(200, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)}).end(text);
			return true;
		}

		if (request.url === '/order') {
			const order = JSON.parse(body.toString('utf8'));
			const status = this.#accept(order);
			this.orders.push({
				at: performance.now(), holder: order.holder, fence: order.fence, version: order.version, status,
			});
			response.writeHead(status, {'Content-Length': 0}).end();
			this.#onOrder?.(this, order, status);
			return true;
		}

		return false;
	}

	#accept({version, expected}) {
		if (this.#isBusy || (expected !== undefined && expected !== this.#acceptedOrders)) {
			return 409;
		}

		if (version === this.#version) {
			return 200;
		}

		this.#acceptedOrders++;
		this.#isBusy = true;
		setTimeout(() => {
			this.#isBusy = false;
			this.#version = version;
			this.register();
		}, this.#loadTime);
		return 202;
	}
}

/**
 * Creates the headers of a response to a request.
 *
 * @param request - The request.
 * @returns Its id and the server's receipt.
 */
export function responseHeaders(request) {
	return {'Attempt-Id': request.headers['attempt-id'], 'Response-Stamp': `s.${request.headers['attempt-id']}`};
}
