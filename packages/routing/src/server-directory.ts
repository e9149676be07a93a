import type {Milliseconds} from '@lacewingpoint/shared';

/** What a backend server says of itself in the store. */
export type ServerEntry = {
	readonly id: string;
	/** When the server's process started; another value under the same id is another incarnation. */
	readonly incarnation: string;
	readonly service: string;
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly isDraining: boolean;
	/** The version of the weights that it runs, by model. */
	readonly weights: Readonly<Record<string, number>>;
};

export type ServerDirectoryOptions = {
	/** How long after the store's return an entry that lapsed meanwhile may still come back. */
	readonly reregistrationGrace: Milliseconds;
};

type Row = {entry: ServerEntry; revision: number; lapsedUntil: Milliseconds | undefined};

/**
 * The backend servers as the store tells of them. Revisions only rise, whoever tells.
 * An entry that goes while the store is away is kept until the server has had the time to write it again.
 */
export class ServerDirectory {
	readonly #options: ServerDirectoryOptions;
	readonly #rows = new Map<string, Row>();
	readonly #removedAt = new Map<string, number>();
	#graceUntil: Milliseconds | undefined;
	#isStoreAway = false;

	constructor(options: ServerDirectoryOptions) {
		this.#options = options;
	}

	/** Notes that the store does not answer. */
	recordStoreLost(): void {
		this.#isStoreAway = true;
	}

	/**
	 * Notes that the store answers again.
	 *
	 * @param now - The present moment.
	 */
	recordStoreRecovered(now: Milliseconds): void {
		this.#isStoreAway = false;
		this.#graceUntil = now + this.#options.reregistrationGrace;
	}

	/**
	 * Takes over an entry.
	 *
	 * @param entry - The entry.
	 * @param revision - The store's revision of it.
	 * @returns What changed: nothing, the entry, or the whole incarnation.
	 */
	applyEntry(entry: ServerEntry, revision: number): 'nothing' | 'entry' | 'incarnation' {
		const row = this.#rows.get(entry.id);
		if (revision <= Math.max(row?.revision ?? 0, this.#removedAt.get(entry.id) ?? 0)) {
			return 'nothing';
		}

		this.#rows.set(entry.id, {entry, revision, lapsedUntil: undefined});
		this.#removedAt.delete(entry.id);
		return row?.entry.incarnation === entry.incarnation && row.entry.address === entry.address ? 'entry' : 'incarnation';
	}

	/**
	 * Takes over that an entry is gone.
	 *
	 * @param id - The server.
	 * @param revision - The store's revision at which it was gone.
	 * @param now - The present moment.
	 * @returns Whether the server is known no longer.
	 */
	applyRemoval(id: string, revision: number, now: Milliseconds): boolean {
		const row = this.#rows.get(id);
		if (row === undefined || revision <= row.revision) {
			return false;
		}

		if (this.#isStoreAway || (this.#graceUntil !== undefined && now < this.#graceUntil)) {
			row.lapsedUntil ??= this.#graceUntil ?? now + this.#options.reregistrationGrace;
			row.revision = revision;
			return false;
		}

		this.#forget(id, revision);
		return true;
	}

	/**
	 * Takes over a whole reading: what it lacks is gone.
	 *
	 * @param ids - The ids read.
	 * @param revision - The store's revision before the reading began.
	 * @param now - The present moment.
	 * @returns The servers that are known no longer.
	 */
	removeUnlisted(ids: ReadonlySet<string>, revision: number, now: Milliseconds): string[] {
		return [...this.#rows.keys()].filter(id => !ids.has(id) && this.applyRemoval(id, revision, now));
	}

	/**
	 * Drops lapsed entries whose time to come back is over.
	 *
	 * @param now - The present moment.
	 * @returns The servers that are known no longer.
	 */
	removeExpired(now: Milliseconds): string[] {
		const gone = [...this.#rows].filter(([, row]) => !this.#isStoreAway && row.lapsedUntil !== undefined && now >= row.lapsedUntil);
		for (const [id, row] of gone) {
			this.#forget(id, row.revision);
		}

		return gone.map(([id]) => id);
	}

	/**
	 * Finds a server.
	 *
	 * @param id - Its id.
	 * @returns Its entry, if it is known.
	 */
	findEntry(id: string): ServerEntry | undefined {
		return this.#rows.get(id)?.entry;
	}

	/** @returns All known servers, with the revision of each entry. */
	listEntries(): Array<{readonly entry: ServerEntry; readonly revision: number}> {
		return [...this.#rows.values()];
	}

	/**
	 * Lists the servers that may take new work.
	 *
	 * @param service - The service.
	 * @returns Those that are not leaving.
	 */
	listAvailable(service: string): ServerEntry[] {
		return [...this.#rows.values()].filter(row => row.entry.service === service && !row.entry.isDraining).map(row => row.entry);
	}

	#forget(id: string, revision: number): void {
		this.#rows.delete(id);
		this.#removedAt.set(id, revision);
	}
}
