import {createServer} from 'node:http';

/** Stand-in for the platform's store: items with revisions, watches, transactions and leases over HTTP, as the users' pages describe them. */
export class Store {
	era = 1;
	/** Called with each transaction that was applied; returns whether its response is lost. */
	onTransaction = () => false;
	/** Called with each call before it is handled; returns true if it gets no response and is not executed. */
	isSilent = () => false;
	#items = new Map();
	#leases = new Map();
	#history = [];
	#watches = new Set();
	#revision = 1;
	#compactedRevision = 0;
	#nextLease = 1;
	#server = createServer(async (request, response) => this.#handle(request, response));

	get address() {
		return `127.0.0.1:${this.#server.address().port}`;
	}

	async start() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	dispose() {
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}

		this.#server.close();
		this.#server.closeAllConnections();
	}

	put(key, value) {
		this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
		this.#notify();
	}

	remove(key) {
		this.#remove(key);
		this.#notify();
	}

	/** @returns A copy of all items, the revision and the leases. */
	copy() {
		return {items: [...this.#items.values()], revision: this.#revision, leases: [...this.#leases.keys()]};
	}

	/**
	 * Comes back from a copy: later changes and leases are lost, and their revisions are given out again.
	 *
	 * @param copy - A copy made earlier.
	 */
	restore({items, revision, leases}) {
		this.era++;
		this.#revision = revision;
		this.#compactedRevision = revision;
		this.#history = [];
		this.#items = new Map(items.map(item => [item.key, item]));
		for (const [lease, {timer}] of this.#leases) {
			if (!leases.includes(lease)) {
				clearTimeout(timer);
				this.#leases.delete(lease);
			}
		}

		this.#notify();
	}

	read(key) {
		const item = this.#items.get(key);
		return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8');
	}

	#write(key, value, lease) {
		this.#revision++;
		const item = {
			key, value, lease, revision: this.#revision, createRev: this.#items.get(key)?.createRev ?? this.#revision,
		};
		this.#items.set(key, item);
		this.#history.push(item);
	}

	#remove(key) {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#history.push({key, revision: this.#revision, tombstone: true});
		}
	}

	#notify() {
		for (const wake of this.#watches) {
			wake();
		}
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const [, call, id] = url.pathname.split('/');
		const chunks = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk);
			}
		} catch {
			// The caller has closed the connection.
			return;
		}

		if (this.isSilent(call)) {
			return;
		}

		const text = Buffer.concat(chunks).toString('utf8');
		const body = text === '' ? {} : JSON.parse(text);
		const respond = (status, value = {}) => {
			response.writeHead(status, {'Content-Type': 'application/json', 'Store-Era': String(this.era)}).end(JSON.stringify(value));
		};

		switch (call) {
			case 'kv-key': {
				const item = this.#items.get(url.searchParams.get('key'));
				respond(item === undefined ? 404 : 200, {...item, asOf: this.#revision});
				break;
			}

			case 'kv-range': {
				const after = url.searchParams.get('after') ?? '';
				const items = [...this.#items.values()]
					.filter(({key}) => key.startsWith(url.searchParams.get('prefix')) && key > after)
					.toSorted((left, right) => left.key < right.key ? -1 : 1);
				respond(200, {items, hasMore: false, asOf: this.#revision});
				break;
			}

			case 'kv-watch': {
				await this.#watch(url.searchParams, respond);
				break;
			}

			case 'kv-txn': {
				this.#transact(body, request, respond);
				break;
			}

			case 'kv-lease': {
				const lease = this.#nextLease++;
				this.#startLease(lease, body.ttlMs);
				respond(200, {lease, ttlMs: body.ttlMs});
				break;
			}

			case 'kv-keep': {
				const lease = this.#leases.get(Number(id));
				if (lease !== undefined) {
					this.#startLease(Number(id), lease.ttl);
				}

				respond(lease === undefined ? 404 : 200, {ttlMs: lease?.ttl});
				break;
			}

			case 'kv-lease-end': {
				const isKnown = this.#leases.has(Number(id));
				this.#endLease(Number(id));
				respond(isKnown ? 200 : 404);
				break;
			}

			default: {
				respond(404);
			}
		}
	}

	async #watch(query, respond) {
		const after = Number(query.get('after'));
		const findEvents = () => this.#history.filter(({key, revision}) => revision > after && key.startsWith(query.get('prefix') ?? ''));
		const isKnown = () => after >= this.#compactedRevision && after <= this.#revision;
		if (isKnown() && findEvents().length === 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#watches.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Number(query.get('waitMs')));
				this.#watches.add(wake);
			});
		}

		if (isKnown()) {
			respond(200, {events: findEvents(), asOf: this.#revision});
		} else {
			respond(410);
		}
	}

	#transact(transaction, request, respond) {
		const {expected = [], puts = [], delete: deletedKeys = []} = transaction;
		if (!expected.every(({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision)) {
			respond(412, {items: expected.map(({key}) => this.#items.get(key))});
			return;
		}

		if (puts.some(({lease}) => lease > 0 && !this.#leases.has(lease))) {
			respond(404);
			return;
		}

		for (const {key, value, lease = 0} of puts) {
			this.#write(key, value, lease);
		}

		for (const key of deletedKeys) {
			this.#remove(key);
		}

		const revision = this.#revision;
		this.#notify();
		if (!this.onTransaction(transaction)) {
			respond(200, {revision});
		}
	}

	#startLease(lease, ttl) {
		clearTimeout(this.#leases.get(lease)?.timer);
		this.#leases.set(lease, {
			ttl, timer: setTimeout(() => {
				this.#endLease(lease);
			}, ttl),
		});
	}

	#endLease(lease) {
		clearTimeout(this.#leases.get(lease)?.timer);
		this.#leases.delete(lease);
		for (const item of [...this.#items.values()].filter(candidate => candidate.lease === lease)) {
			this.#remove(item.key);
		}

		this.#notify();
	}
}
