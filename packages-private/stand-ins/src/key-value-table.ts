import type {
	KeyValueEntry, KeyValueReading, KeyValueWrite, SwapOutcome,
} from '@lacewingpoint/platform';

type Lease = {readonly timeToLive: number; expiresAt: number; readonly keys: Set<string>};

/** The state behind the key-value stand-in: revisions, leases and watchers, on a clock passed in. */
export class KeyValueTable {
	writes = 0;
	reads = 0;
	readonly #now: () => number;
	readonly #entries = new Map<string, KeyValueEntry>();
	readonly #leases = new Map<string, Lease>();
	readonly #watchers = new Set<{readonly prefix: string; readonly notify: () => void}>();
	#revision = 1;
	#nextLease = 1;

	constructor(now: () => number) {
		this.#now = now;
	}

	list(prefix: string, sinceRevision = 0): KeyValueReading {
		this.reads++;
		this.#expireLeases();
		const entries = [...this.#entries.values()]
			.filter(entry => entry.key.startsWith(prefix) && entry.revision >= sinceRevision)
			.toSorted((left, right) => (left.key < right.key ? -1 : 1));
		return {revision: this.#revision, entries};
	}

	compareAndSwap(writes: readonly KeyValueWrite[]): SwapOutcome {
		this.writes++;
		this.#expireLeases();
		const isExpected = writes.every(write => (this.#entries.get(write.key)?.revision ?? 0) === write.expected);
		if (!isExpected) {
			const found = writes.map(write => this.#entries.get(write.key)).filter(entry => entry !== undefined);
			return {type: 'conflict', found};
		}

		this.#revision++;
		for (const write of writes) {
			this.#put(write);
		}

		return {type: 'written', revision: this.#revision};
	}

	grantLease(timeToLive: number): string {
		this.writes++;
		const id = String(this.#nextLease++);
		this.#leases.set(id, {timeToLive, expiresAt: this.#now() + timeToLive, keys: new Set()});
		return id;
	}

	renewLease(id: string): boolean {
		this.writes++;
		this.#expireLeases();
		const lease = this.#leases.get(id);
		if (lease === undefined) {
			return false;
		}

		lease.expiresAt = this.#now() + lease.timeToLive;
		return true;
	}

	revokeLease(id: string): void {
		this.writes++;
		const lease = this.#leases.get(id);
		if (lease !== undefined) {
			this.#dropLease(id, lease);
		}
	}

	watch(prefix: string, notify: () => void): () => void {
		const watcher = {prefix, notify};
		this.#watchers.add(watcher);
		return () => {
			this.#watchers.delete(watcher);
		};
	}

	#put(write: KeyValueWrite): void {
		const createdRevision = this.#entries.get(write.key)?.createdRevision ?? this.#revision;
		this.#entries.set(write.key, {
			key: write.key, value: write.value, revision: this.#revision, createdRevision,
		});
		if (write.lease !== undefined) {
			this.#leases.get(write.lease)?.keys.add(write.key);
		}

		this.#notify(write.key);
	}

	#expireLeases(): void {
		const now = this.#now();
		for (const [id, lease] of this.#leases) {
			if (lease.expiresAt <= now) {
				this.#dropLease(id, lease);
			}
		}
	}

	#dropLease(id: string, lease: Lease): void {
		this.#leases.delete(id);
		this.#revision++;
		for (const key of lease.keys) {
			this.#entries.delete(key);
			this.#notify(key);
		}
	}

	#notify(key: string): void {
		for (const watcher of this.#watchers) {
			if (key.startsWith(watcher.prefix)) {
				watcher.notify();
			}
		}
	}
}
