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

/** What may be wrong with the store. */
export type StoreFailureMode = 'none' | 'refusing' | 'silent' | 'resetting';

/** The users' platform's store in small: items with revisions, watches, transactions and leases over HTTP. */
export class PlatformStoreStandIn {
	failureMode: StoreFailureMode = 'none';
	/** Calls by path. */
	readonly callCounts = new Map<string, number>();
	readonly #items = new Map<string, Item>();
	readonly #leases = new Map<number, NodeJS.Timeout>();
	readonly #waiting = new Set<() => void>();
	#history: Change[] = [];
	#forgottenUpTo = 0;
	#revision = 1;
	#nextLease = 1;
	readonly #server: Server = createServer((request, response) => {
		void this.#answer(request, response);
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

	/** Stops. */
	dispose(): void {
		for (const timer of this.#leases.values()) {
			clearTimeout(timer);
		}

		this.#server.close();
		this.#server.closeAllConnections();
	}

	/**
	 * Writes as the operators and servers do.
	 *
	 * @param key - The key.
	 * @param value - Anything; it is written as JSON.
	 */
	put(key: string, value: unknown): void {
		this.putText(key, JSON.stringify(value));
	}

	/**
	 * Writes bytes that may make no sense.
	 *
	 * @param key - The key.
	 * @param text - The text.
	 */
	putText(key: string, text: string): void {
		this.#write(key, Buffer.from(text).toString('base64'), 0);
		this.#wake();
	}

	/**
	 * Removes a key.
	 *
	 * @param key - The key.
	 */
	remove(key: string): void {
		this.#remove(key);
		this.#wake();
	}

	/**
	 * Reads a key.
	 *
	 * @param key - The key.
	 * @returns Its text.
	 */
	readText(key: string): string | undefined {
		const item = this.#items.get(key);
		return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8');
	}

	/** Forgets the history, so that watches have to begin anew. */
	compact(): void {
		this.#history = [];
		this.#forgottenUpTo = this.#revision;
		this.#wake();
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

	#wake(): void {
		for (const waiter of this.#waiting) {
			waiter();
		}
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
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
		const send = (status: number, value: unknown = {}) => {
			response.writeHead(status, {'Content-Type': 'application/json'}).end(JSON.stringify(value));
		};

		if (this.failureMode === 'refusing') {
			send(503);
			return;
		}

		switch (call) {
			case 'kv-key': {
				const item = this.#items.get(url.searchParams.get('key') ?? '');
				send(item === undefined ? 404 : 200, {...item, asOf: this.#revision});
				break;
			}

			case 'kv-range': {
				this.#answerRange(url.searchParams, send);
				break;
			}

			case 'kv-watch': {
				await this.#answerWatch(url.searchParams, send);
				break;
			}

			case 'kv-txn': {
				this.#answerTransaction(JSON.parse(body) as Transaction, send);
				break;
			}

			case 'kv-lease': {
				const {ttlMs} = JSON.parse(body) as {readonly ttlMs: number};
				const lease = this.#nextLease++;
				this.#keep(lease, ttlMs);
				send(200, {lease, ttlMs});
				break;
			}

			case 'kv-keep': {
				const isKnown = this.#leases.has(Number(id));
				if (isKnown) {
					this.#keep(Number(id), 3000);
				}

				send(isKnown ? 200 : 404, {ttlMs: 3000});
				break;
			}

			case 'kv-lease-end': {
				this.#end(Number(id));
				send(200);
				break;
			}

			default: {
				send(404);
			}
		}
	}

	#answerRange(query: URLSearchParams, send: (status: number, value?: unknown) => void): void {
		const pageSize = 3;
		const matching = [...this.#items.values()]
			.filter(item => item.key.startsWith(query.get('prefix') ?? '') && item.key > (query.get('after') ?? ''))
			.toSorted((left, right) => left.key < right.key ? -1 : 1);
		send(200, {items: matching.slice(0, pageSize), hasMore: matching.length > pageSize, asOf: this.#revision});
	}

	async #answerWatch(query: URLSearchParams, send: (status: number, value?: unknown) => void): Promise<void> {
		const after = Number(query.get('after'));
		const prefix = query.get('prefix') ?? '';
		const found = () => this.#history.filter(change => change.revision > after && change.key.startsWith(prefix));
		if (found().length === 0 && after >= this.#forgottenUpTo) {
			await new Promise<void>(resolve => {
				const done = () => {
					clearTimeout(timer);
					this.#waiting.delete(done);
					resolve();
				};

				const timer = setTimeout(done, Number(query.get('waitMs')));
				this.#waiting.add(done);
			});
		}

		if (after < this.#forgottenUpTo) {
			send(410);
			return;
		}

		send(200, {events: found(), asOf: this.#revision});
	}

	#answerTransaction(transaction: Transaction, send: (status: number, value?: unknown) => void): void {
		const isMet = transaction.expected.every(({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision);
		if (!isMet) {
			send(412, {items: transaction.expected.map(({key}) => this.#items.get(key))});
			return;
		}

		for (const put of transaction.puts) {
			this.#write(put.key, put.value, put.lease ?? 0);
		}

		for (const key of transaction.delete) {
			this.#remove(key);
		}

		send(200, {revision: this.#revision});
		this.#wake();
	}

	#keep(lease: number, time: number): void {
		clearTimeout(this.#leases.get(lease));
		this.#leases.set(lease, setTimeout(() => {
			this.#end(lease);
		}, time));
	}

	#end(lease: number): void {
		clearTimeout(this.#leases.get(lease));
		this.#leases.delete(lease);
		for (const item of this.#items.values()) {
			if (item.lease === lease) {
				this.#remove(item.key);
			}
		}

		this.#wake();
	}
}
