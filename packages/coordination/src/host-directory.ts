import type {Milliseconds} from '@lacewingpoint/shared';

/** What a host says of itself. */
export type HostDescription = {
	readonly name: string;
	/** New at each start of the process. */
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly region: string;
	/** Where clients connect. */
	readonly clientAddress: string;
	/** Where peers send datagrams. */
	readonly peerAddress: string;
	/** Where peers ask for a snapshot of what the host knows. */
	readonly snapshotAddress: string;
};

/** Whether a host takes clients. */
export type HostState = 'starting' | 'serving' | 'stopping';

type HostRow = {
	description: HostDescription;
	state: HostState;
	heardAt: Milliseconds | undefined;
	isListed: boolean;
};

export type HostDirectoryOptions = {
	/** A host not heard from for this long is not named to clients. */
	readonly heartbeatTimeout: Milliseconds;
	/** A host that is no longer listed is forgotten this long after its last word. */
	readonly removalDelay: Milliseconds;
};

/** The hosts that this one knows: the store lists them, datagrams tell which of them live. */
export class HostDirectory {
	readonly #options: HostDirectoryOptions;
	readonly #rows = new Map<string, HostRow>();

	constructor(options: HostDirectoryOptions) {
		this.#options = options;
	}

	/**
	 * Takes over a host that the store lists or a peer knows.
	 *
	 * @param description - The host.
	 */
	addListed(description: HostDescription): void {
		const row = this.#rows.get(description.name);
		if (row === undefined) {
			this.#rows.set(description.name, {
				description, state: 'starting', heardAt: undefined, isListed: true,
			});
			return;
		}

		row.isListed = true;
		if (row.heardAt === undefined) {
			row.description = description;
		}
	}

	/**
	 * Notes that the store lists a host no longer.
	 *
	 * @param name - The host.
	 */
	markUnlisted(name: string): void {
		const row = this.#rows.get(name);
		if (row !== undefined) {
			row.isListed = false;
		}
	}

	/**
	 * Takes in a host's word.
	 *
	 * @param description - The host.
	 * @param state - Its state.
	 * @param now - The present moment.
	 * @returns Whether the host was unknown, silent or has started anew.
	 */
	recordHeartbeat(description: HostDescription, state: HostState, now: Milliseconds): boolean {
		const row = this.#rows.get(description.name);
		const isNews = row?.heardAt === undefined || now - row.heardAt > this.#options.heartbeatTimeout || row.description.incarnation !== description.incarnation;
		this.#rows.set(description.name, {
			description, state, heardAt: now, isListed: row?.isListed ?? false,
		});
		return isNews;
	}

	/**
	 * Finds a host by the start that it tells of.
	 *
	 * @param name - The host.
	 * @param incarnation - Its start.
	 * @returns What it said of itself; nothing when only an earlier start is known.
	 */
	findDescription(name: string, incarnation: string): HostDescription | undefined {
		const description = this.#rows.get(name)?.description;
		return description?.incarnation === incarnation ? description : undefined;
	}

	/**
	 * Lists the peers to talk to; those that nobody lists and that have fallen silent are forgotten.
	 *
	 * @param now - The present moment.
	 * @returns The other hosts.
	 */
	listPeers(now: Milliseconds): HostDescription[] {
		for (const [name, row] of this.#rows) {
			if (!row.isListed && (row.heardAt === undefined || now - row.heardAt > this.#options.removalDelay)) {
				this.#rows.delete(name);
			}
		}

		return [...this.#rows.values()].map(row => row.description);
	}

	/**
	 * Lists the peers that clients may be sent to.
	 *
	 * @param now - The present moment.
	 * @returns Those that serve and were heard lately.
	 */
	listServing(now: Milliseconds): HostDescription[] {
		return [...this.#rows.values()].filter(row => row.state === 'serving' && this.#isHeard(row, now)).map(row => row.description);
	}

	/**
	 * Lists the peers whose use of quotas has to be reckoned with: all but those that said goodbye.
	 *
	 * @param now - The present moment.
	 * @returns Their names.
	 */
	listQuotaSharers(now: Milliseconds): string[] {
		return [...this.#rows.values()].filter(row => row.state !== 'stopping' || this.#isHeard(row, now)).map(row => row.description.name);
	}

	/**
	 * Finds hosts that have fallen silent.
	 *
	 * @param now - The present moment.
	 * @returns The names of those heard before and no longer.
	 */
	listUnresponsive(now: Milliseconds): string[] {
		return [...this.#rows.values()].filter(row => row.heardAt !== undefined && !this.#isHeard(row, now)).map(row => row.description.name);
	}

	#isHeard(row: HostRow, now: Milliseconds): boolean {
		return row.heardAt !== undefined && now - row.heardAt <= this.#options.heartbeatTimeout;
	}
}
