import type {Milliseconds} from '@lacewingpoint/shared';

/** The identity and addresses that a host publishes. */
export type HostDescription = {
	readonly name: string;
	/** Differs at each start of the process. */
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly region: string;
	/** The address for clients. */
	readonly clientAddress: string;
	/** The address for the datagrams of peers. */
	readonly peerAddress: string;
	/** The address at which peers request a snapshot of the host's cluster state. */
	readonly snapshotAddress: string;
};

/** The lifecycle state of a host; it accepts clients while it is `serving`. */
export type HostState = 'starting' | 'serving' | 'stopping';

type HostRecord = {
	description: HostDescription;
	state: HostState;
	heartbeatAt: Milliseconds | undefined;
	isListed: boolean;
};

export type HostDirectoryOptions = {
	/** A host without a heartbeat for this long is not offered to clients. */
	readonly heartbeatTimeout: Milliseconds;
	/** A host that the store no longer lists is removed this long after its last heartbeat. */
	readonly removalDelay: Milliseconds;
};

/** The other hosts that this host knows: the store lists them, heartbeats show which of them are alive. */
export class HostDirectory {
	readonly #options: HostDirectoryOptions;
	readonly #records = new Map<string, HostRecord>();

	constructor(options: HostDirectoryOptions) {
		this.#options = options;
	}

	/**
	 * Adds a host that the store or a peer's snapshot lists.
	 *
	 * @param description - The host's description; one that a heartbeat carried takes precedence.
	 */
	addListed(description: HostDescription): void {
		const record = this.#records.get(description.name);
		if (record === undefined) {
			this.#records.set(description.name, {
				description, state: 'starting', heartbeatAt: undefined, isListed: true,
			});
			return;
		}

		record.isListed = true;
		if (record.heartbeatAt === undefined) {
			record.description = description;
		}
	}

	/**
	 * Records that the store no longer lists a host.
	 *
	 * @param name - The host's name.
	 */
	markUnlisted(name: string): void {
		const record = this.#records.get(name);
		if (record !== undefined) {
			record.isListed = false;
		}
	}

	/**
	 * Records a heartbeat of a host.
	 *
	 * @param description - The host's description.
	 * @param state - The host's state.
	 * @param now - Current monotonic time.
	 * @returns Whether the host was unknown, was unresponsive until now or has restarted.
	 */
	recordHeartbeat(description: HostDescription, state: HostState, now: Milliseconds): boolean {
		const record = this.#records.get(description.name);
		const isNewlyAlive = record?.heartbeatAt === undefined || now - record.heartbeatAt > this.#options.heartbeatTimeout || record.description.incarnation !== description.incarnation;
		this.#records.set(description.name, {
			description, state, heartbeatAt: now, isListed: record?.isListed ?? false,
		});
		return isNewlyAlive;
	}

	/**
	 * Finds the description of an incarnation of a host.
	 *
	 * @param name - The host's name.
	 * @param incarnation - The incarnation that a message of the host states.
	 * @returns The description, `undefined` when the host is unknown or known only with another incarnation.
	 */
	findDescription(name: string, incarnation: string): HostDescription | undefined {
		const description = this.#records.get(name)?.description;
		return description?.incarnation === incarnation ? description : undefined;
	}

	/**
	 * Lists the peers to which messages are sent. Removes unlisted hosts whose last heartbeat is too old.
	 *
	 * @param now - Current monotonic time.
	 * @returns The descriptions of the peers.
	 */
	listPeers(now: Milliseconds): HostDescription[] {
		for (const [name, record] of this.#records) {
			if (!record.isListed && (record.heartbeatAt === undefined || now - record.heartbeatAt > this.#options.removalDelay)) {
				this.#records.delete(name);
			}
		}

		return [...this.#records.values()].map(record => record.description);
	}

	/**
	 * Lists the peers that can be offered to clients.
	 *
	 * @param now - Current monotonic time.
	 * @returns The descriptions of the serving peers with a recent heartbeat.
	 */
	listServing(now: Milliseconds): HostDescription[] {
		return [...this.#records.values()].filter(record => record.state === 'serving' && this.#isAlive(record, now)).map(record => record.description);
	}

	/**
	 * Lists the peers whose use of rate limits has to be counted: all except those that announced their stop and have stopped sending
	 * heartbeats.
	 *
	 * @param now - Current monotonic time.
	 * @returns The names of the peers.
	 */
	listRateLimitPeers(now: Milliseconds): string[] {
		return [...this.#records.values()].filter(record => record.state !== 'stopping' || this.#isAlive(record, now)).map(record => record.description.name);
	}

	/**
	 * Lists the hosts that have stopped sending heartbeats.
	 *
	 * @param now - Current monotonic time.
	 * @returns The names of the hosts.
	 */
	listUnresponsive(now: Milliseconds): string[] {
		return [...this.#records.values()].filter(record => record.heartbeatAt !== undefined && !this.#isAlive(record, now)).map(record => record.description.name);
	}

	#isAlive(record: HostRecord, now: Milliseconds): boolean {
		return record.heartbeatAt !== undefined && now - record.heartbeatAt <= this.#options.heartbeatTimeout;
	}
}
