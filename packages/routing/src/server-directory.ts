import type {Milliseconds} from '@lacewingpoint/shared';

/** The registration that a backend server writes to the store. */
export type ServerEntry = {
	readonly id: string;
	/** The start time of the server's process; another value under the same id means that the server has restarted. */
	readonly incarnation: string;
	/** Rises within an incarnation with each registration that the server writes; 0 if it is not known. */
	readonly sequence: number;
	readonly service: string;
	/** Version of the server's software, not of its weights; absent if it is not known, as in messages of earlier versions of this program. */
	readonly softwareVersion?: string | undefined;
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly isDraining: boolean;
	/** The loaded version of the weights, by model. */
	readonly weights: Readonly<Record<string, number>>;
};

export type ServerDirectoryOptions = {
	/** How long after a store outage an entry that expired meanwhile is kept, so that its server can register again. */
	readonly reregistrationGrace: Milliseconds;
};

type EntryRecord = {entry: ServerEntry; revision: number; retainedUntil: Milliseconds | undefined};

type RemovalRecord = {
	readonly revision: number;
	readonly incarnation: string;
	/** Whether the store was restored since: the copy may still have the entry. */
	readonly isBeforeRestore: boolean;
};

// A restored store may list an earlier registration of the same process.
function isOutdated(entry: ServerEntry, known: ServerEntry): boolean {
	return entry.sequence > 0 && entry.incarnation === known.incarnation && entry.sequence < known.sequence;
}

/**
 * The registered backend servers. Changes are merged by store revision, so the newest one wins whichever source it comes from.
 * An entry that disappears while the store is unreachable is kept until its server has had time to register again.
 */
export class ServerDirectory {
	readonly #options: ServerDirectoryOptions;
	readonly #records = new Map<string, EntryRecord>();
	readonly #removals = new Map<string, RemovalRecord>();
	/** The results of `listAvailable` since the last change of an entry. */
	readonly #available = new Map<string, readonly ServerEntry[]>();
	#gracePeriodEnd: Milliseconds | undefined;
	#isStoreUnreachable = false;

	constructor(options: ServerDirectoryOptions) {
		this.#options = options;
	}

	/** Records that the store is unreachable. */
	recordStoreLost(): void {
		this.#isStoreUnreachable = true;
		this.#gracePeriodEnd = undefined;
	}

	/**
	 * Records that the store was restored from a copy, which lacks the latest registrations and has some that were removed since.
	 *
	 * @param now - Current monotonic time.
	 */
	recordStoreRestored(now: Milliseconds): void {
		this.recordStoreRecovered(now);
		for (const [id, removal] of this.#removals) {
			this.#removals.set(id, {...removal, isBeforeRestore: true});
		}
	}

	/**
	 * Records that the store responds again.
	 *
	 * @param now - Current monotonic time.
	 */
	recordStoreRecovered(now: Milliseconds): void {
		this.#isStoreUnreachable = false;
		this.#gracePeriodEnd = now + this.#options.reregistrationGrace;
		for (const record of this.#records.values()) {
			if (record.retainedUntil !== undefined) {
				record.retainedUntil = this.#gracePeriodEnd;
			}
		}
	}

	/**
	 * Merges an entry unless a newer change to it, or a later registration of the same process, is known.
	 *
	 * @param entry - Entry of a server, from the store or a peer.
	 * @param revision - The store revision of the entry.
	 * @returns What changed: `nothing`, the `entry` alone, or the `incarnation` (a new, restarted or moved server).
	 */
	applyEntry(entry: ServerEntry, revision: number): 'nothing' | 'entry' | 'incarnation' {
		const record = this.#records.get(entry.id);
		const removal = this.#removals.get(entry.id);
		if (revision <= Math.max(record?.revision ?? 0, removal?.revision ?? 0)) {
			return 'nothing';
		}

		if (record !== undefined && isOutdated(entry, record.entry)) {
			record.revision = revision;
			record.retainedUntil = undefined;
			return 'nothing';
		}

		// A process that is still running writes again, and gets a higher revision than the copy's.
		if (removal?.isBeforeRestore === true && entry.incarnation === removal.incarnation) {
			this.#removals.set(entry.id, {...removal, revision, isBeforeRestore: false});
			return 'nothing';
		}

		this.#records.set(entry.id, {entry, revision, retainedUntil: undefined});
		this.#available.clear();
		this.#removals.delete(entry.id);
		return record?.entry.incarnation === entry.incarnation && record.entry.address === entry.address ? 'entry' : 'incarnation';
	}

	/**
	 * Merges the removal of an entry. During a store outage and its grace period the entry is only marked for expiry.
	 *
	 * @param id - The server's id.
	 * @param revision - The store revision at which the entry was absent.
	 * @param now - Current monotonic time.
	 * @returns Whether the server was removed.
	 */
	applyRemoval(id: string, revision: number, now: Milliseconds): boolean {
		const record = this.#records.get(id);
		// The same revision: the entry was kept for its grace period by the host that this one got it from.
		if (record === undefined || revision < record.revision) {
			return false;
		}

		if (this.#isStoreUnreachable || (this.#gracePeriodEnd !== undefined && now < this.#gracePeriodEnd)) {
			record.retainedUntil ??= this.#gracePeriodEnd ?? now + this.#options.reregistrationGrace;
			record.revision = revision;
			return false;
		}

		this.#deleteRecord(id, revision);
		return true;
	}

	/**
	 * Applies a full listing of the store: entries that it lacks are removed.
	 *
	 * @param ids - The ids in the listing.
	 * @param revision - The store revision before the listing was read.
	 * @param now - Current monotonic time.
	 * @returns The ids of the removed servers.
	 */
	removeUnlisted(ids: ReadonlySet<string>, revision: number, now: Milliseconds): string[] {
		return [...this.#records.keys()].filter(id => !ids.has(id) && this.applyRemoval(id, revision, now));
	}

	/**
	 * Removes entries that expired during a store outage and whose grace period is over.
	 *
	 * @param now - Current monotonic time.
	 * @returns The ids of the removed servers.
	 */
	removeExpired(now: Milliseconds): string[] {
		const expired = [...this.#records].filter(([, record]) => !this.#isStoreUnreachable && record.retainedUntil !== undefined && now >= record.retainedUntil);
		for (const [id, record] of expired) {
			this.#deleteRecord(id, record.revision);
		}

		return expired.map(([id]) => id);
	}

	/**
	 * Finds the entry of a server.
	 *
	 * @param id - The server's id.
	 * @returns The entry, `undefined` for an unknown server.
	 */
	findEntry(id: string): ServerEntry | undefined {
		return this.#records.get(id)?.entry;
	}

	/** @returns All entries with their store revisions, draining servers included. */
	listEntries(): Array<{readonly entry: ServerEntry; readonly revision: number}> {
		return [...this.#records.values()];
	}

	/**
	 * Lists the servers that accept new requests.
	 *
	 * @param service - The name of the service.
	 * @returns The service's servers that are not draining.
	 */
	listAvailable(service: string): readonly ServerEntry[] {
		let available = this.#available.get(service);
		if (available === undefined) {
			available = [...this.#records.values()].filter(record => record.entry.service === service && !record.entry.isDraining).map(record => record.entry);
			this.#available.set(service, available);
		}

		return available;
	}

	/**
	 * Tells whether a server still accepts new requests.
	 *
	 * @param entry - The server, as it was listed before.
	 * @returns Whether the same process is listed for the same service and is not draining.
	 */
	isAvailable({id, incarnation, service}: ServerEntry): boolean {
		const entry = this.#records.get(id)?.entry;
		return entry?.incarnation === incarnation && entry.service === service && !entry.isDraining;
	}

	#deleteRecord(id: string, revision: number): void {
		const entry = this.#records.get(id)?.entry;
		this.#records.delete(id);
		this.#available.clear();
		this.#removals.set(id, {
			revision, incarnation: entry?.incarnation ?? '', isBeforeRestore: false,
		});
	}
}
