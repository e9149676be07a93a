import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {type AddressInfo} from 'node:net';

type Item = {readonly key: string; readonly value: string; readonly revision: number; readonly createRev: number; readonly lease: number};
type Change = Item | {readonly key: string; readonly revision: number; readonly tombstone: true};
type Transaction = {
	readonly expected: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly puts: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease?: number}>;
	readonly delete: readonly string[];
};

/** A copy of the store, from which it can be restored. */
export type StoreCopy = {readonly items: readonly Item[]; readonly revision: number; readonly leases: readonly number[]};

/** Ways in which the store fails. `refusing`: it responds with status 503; `silent`: not at all; `resetting`: it resets the connection. */
export type StoreFailureMode = 'none' | 'refusing' | 'silent' | 'resetting';

/** Stand-in for the platform's store: key-value items with revisions, watches, transactions and leases over HTTP. */
export class PlatformStoreStandIn {
	failureMode: StoreFailureMode = 'none';
	/** Stated in all responses; rises with each restore. */
	era = 1;
	/** Number of calls by path. */
	readonly callCounts = new Map<string, number>();
	readonly #items = new Map<string, Item>();
	readonly #leaseTimers = new Map<number, NodeJS.Timeout>();
	readonly #pendingWatches = new Set<() => void>();
	#history: Change[] = [];
	#compactedRevision = 0;
	#revision = 1;
	#nextLeaseId = 1;
	readonly #server: Server = createServer((request, response) => {
		void this.#handleRequest(request, response);
	});

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Starts listening on a free port. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Stops the server and closes all connections. */
	dispose(): void {
		for (const timer of this.#leaseTimers.values()) {
			clearTimeout(timer);
		}

		this.#server.close();
		this.#server.closeAllConnections();
	}

	/**
	 * Writes a value as JSON.
	 *
	 * @param key - Key of the item to create or replace.
	 * @param value - Any value that JSON can represent.
	 */
	put(key: string, value: unknown): void {
		this.putText(key, JSON.stringify(value));
	}

	/**
	 * Writes a text, which may be invalid JSON.
	 *
	 * @param key - Key of the item to create or replace.
	 * @param text - The text, stored as UTF-8.
	 */
	putText(key: string, text: string): void {
		this.#write(key, Buffer.from(text).toString('base64'), 0);
		this.#notifyWatches();
	}

	/**
	 * Removes an item.
	 *
	 * @param key - Key of the item; there is no effect if it does not exist.
	 */
	remove(key: string): void {
		this.#remove(key);
		this.#notifyWatches();
	}

	/**
	 * Reads the value of an item.
	 *
	 * @param key - Key of the item.
	 * @returns The text of the value; undefined if the item does not exist.
	 */
	readText(key: string): string | undefined {
		const item = this.#items.get(key);
		return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8');
	}

	/** Discards the history, so that watches from an earlier revision fail and have to start over. */
	compact(): void {
		this.#history = [];
		this.#compactedRevision = this.#revision;
		this.#notifyWatches();
	}

	/** @returns A copy of all items, the revision and the leases. */
	copy(): StoreCopy {
		return {items: [...this.#items.values()], revision: this.#revision, leases: [...this.#leaseTimers.keys()]};
	}

	/**
	 * Restores a copy. Later changes and leases are lost, their revisions are assigned again, and the history is empty.
	 *
	 * @param copy - A copy made earlier.
	 */
	restore(copy: StoreCopy): void {
		this.era++;
		this.#revision = copy.revision;
		this.#compactedRevision = copy.revision;
		this.#history = [];
		this.#items.clear();
		for (const item of copy.items) {
			this.#items.set(item.key, item);
		}

		for (const [lease, timer] of this.#leaseTimers) {
			if (!copy.leases.includes(lease)) {
				clearTimeout(timer);
				this.#leaseTimers.delete(lease);
			}
		}

		this.#notifyWatches();
	}

	#write(key: string, value: string, lease: number): void {
		this.#revision++;
		const item: Item = {
			key, value, lease, revision: this.#revision, createRev: this.#items.get(key)?.createRev ?? this.#revision,
		};
		this.#items.set(key, item);
		this.#history.push(item);
	}

	#remove(key: string): void {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#history.push({key, revision: this.#revision, tombstone: true});
		}
	}

	#notifyWatches(): void {
		for (const notify of this.#pendingWatches) {
			notify();
		}
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://store');
		const [, call = '', id = ''] = url.pathname.split('/');
		this.callCounts.set(call, (this.callCounts.get(call) ?? 0) + 1);
		if (this.failureMode === 'silent') {
			return;
		}

		if (this.failureMode === 'resetting') {
			request.socket.resetAndDestroy();
			return;
		}

		const chunks: Uint8Array[] = [];
		for await (const chunk of request) {
			chunks.push(chunk as Uint8Array);
		}

		const body = Buffer.concat(chunks).toString('utf8');
		const respond = (status: number, value: unknown = {}) => {
			response.writeHead(status, {'Content-Type': 'application/json', 'Store-Era': String(this.era)}).end(JSON.stringify(value));
		};

		if (this.failureMode === 'refusing') {
			respond(503);
			return;
		}

		switch (call) {
			case 'kv-key': {
				const item = this.#items.get(url.searchParams.get('key') ?? '');
				respond(item === undefined ? 404 : 200, {...item, asOf: this.#revision});
				break;
			}

			case 'kv-range': {
				this.#handleRange(url.searchParams, respond);
				break;
			}

			case 'kv-watch': {
				await this.#handleWatch(url.searchParams, respond);
				break;
			}

			case 'kv-txn': {
				this.#handleTransaction(JSON.parse(body) as Transaction, respond);
				break;
			}

			case 'kv-lease': {
				const {ttlMs} = JSON.parse(body) as {readonly ttlMs: number};
				const lease = this.#nextLeaseId++;
				this.#startLeaseTimer(lease, ttlMs);
				respond(200, {lease, ttlMs});
				break;
			}

			case 'kv-keep': {
				const isKnown = this.#leaseTimers.has(Number(id));
				if (isKnown) {
					this.#startLeaseTimer(Number(id), 3000);
				}

				respond(isKnown ? 200 : 404, {ttlMs: 3000});
				break;
			}

			case 'kv-lease-end': {
				this.#endLease(Number(id));
				respond(200);
				break;
			}

			default: {
				respond(404);
			}
		}
	}

	#handleRange(query: URLSearchParams, respond: (status: number, value?: unknown) => void): void {
		const pageSize = 3;
		const matching = [...this.#items.values()]
			.filter(item => item.key.startsWith(query.get('prefix') ?? '') && item.key > (query.get('after') ?? ''))
			.toSorted((left, right) => left.key < right.key ? -1 : 1);
		respond(200, {items: matching.slice(0, pageSize), hasMore: matching.length > pageSize, asOf: this.#revision});
	}

	async #handleWatch(query: URLSearchParams, respond: (status: number, value?: unknown) => void): Promise<void> {
		const after = Number(query.get('after'));
		const prefix = query.get('prefix') ?? '';
		const findChanges = () => this.#history.filter(change => change.revision > after && change.key.startsWith(prefix));
		if (findChanges().length === 0 && after >= this.#compactedRevision && after <= this.#revision) {
			await new Promise<void>(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.#pendingWatches.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, Number(query.get('waitMs')));
				this.#pendingWatches.add(finish);
			});
		}

		if (after < this.#compactedRevision || after > this.#revision) {
			respond(410);
			return;
		}

		respond(200, {events: findChanges(), asOf: this.#revision});
	}

	#handleTransaction(transaction: Transaction, respond: (status: number, value?: unknown) => void): void {
		const isPreconditionMet = transaction.expected.every(({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision);
		if (!isPreconditionMet) {
			respond(412, {items: transaction.expected.map(({key}) => this.#items.get(key))});
			return;
		}

		for (const put of transaction.puts) {
			this.#write(put.key, put.value, put.lease ?? 0);
		}

		for (const key of transaction.delete) {
			this.#remove(key);
		}

		respond(200, {revision: this.#revision});
		this.#notifyWatches();
	}

	#startLeaseTimer(lease: number, duration: number): void {
		clearTimeout(this.#leaseTimers.get(lease));
		this.#leaseTimers.set(lease, setTimeout(() => {
			this.#endLease(lease);
		}, duration));
	}

	#endLease(lease: number): void {
		clearTimeout(this.#leaseTimers.get(lease));
		this.#leaseTimers.delete(lease);
		for (const item of this.#items.values()) {
			if (item.lease === lease) {
				this.#remove(item.key);
			}
		}

		this.#notifyWatches();
	}
}
