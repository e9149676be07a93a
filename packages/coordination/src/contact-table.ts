import type {Milliseconds} from '@lacewingpoint/shared';
import {
	type Epoch, hostsOf, isQuorum, majorityOf,
} from './epoch.js';

/** How recent a replica's knowledge of one ready host is. */
export type HostAge = {
	readonly id: string;
	readonly age: Milliseconds;
	/** The epoch that the host held. */
	readonly epoch: number;
	/** Set while the host is stopping and takes no new callers. */
	readonly isLeaving?: boolean | undefined;
};

/** What one replica tells another about how recent its knowledge is. */
export type ContactAges = {
	/** Age of the newest state of the store that the replica's state includes. */
	readonly store?: Milliseconds | undefined;
	/** Ages of the newest states of ready hosts that the replica's state includes. */
	readonly hosts: readonly HostAge[];
};

export type ContactOptions = {
	readonly self: string;
	/** New work is taken only on knowledge that is at most this old. */
	readonly bound: Milliseconds;
	/** When this incarnation of the host started. */
	readonly startedAt: Milliseconds;
};

/** Epochs remembered to read the ages of hosts that are a little behind. */
const keptEpochs = 4;

type HostRow = {readonly heardAt: Milliseconds; readonly epoch: number; readonly isLeaving: boolean};

/** Why a host may take new work, or that it may not. */
export type ContactState = 'store' | 'quorum' | 'lost';

/**
 * Decides whether this host's configuration can be missing an accepted ticket.
 * A ticket is accepted once the store and a quorum of the epoch hold it, so a host that has heard, within the bound,
 * from the store or from any quorum knows every ticket accepted before the bound began.
 */
export class ContactTable {
	readonly #options: ContactOptions;
	readonly #rows = new Map<string, HostRow>();
	readonly #recentEpochs: Epoch[] = [];
	#storeHeardAt: Milliseconds | undefined;
	#epoch: Epoch | undefined;
	#ready = false;
	#isLeaving = false;

	constructor(options: ContactOptions) {
		this.#options = options;
	}

	/** True once this replica has caught up after its start; only then does its word count with others. */
	get isReady(): boolean {
		return this.#ready;
	}

	get epoch(): Epoch | undefined {
		return this.#epoch;
	}

	/**
	 * Finds a recent epoch.
	 *
	 * @param number - Its number.
	 * @returns The epoch, or nothing when it was never held here or is long past.
	 */
	recentEpoch(number: number): Epoch | undefined {
		return this.#recentEpochs.find(epoch => epoch.number === number);
	}

	/** Announces with the next ages that this host takes no new callers. */
	leave(): void {
		this.#isLeaving = true;
	}

	/**
	 * Lists the hosts that callers can be sent to.
	 *
	 * @param now - The present moment.
	 * @returns The ids of hosts that are ready, fresh and not leaving.
	 */
	serving(now: Milliseconds): string[] {
		const others = [...this.#rows]
			.filter(([id, row]) => id !== this.#options.self && !row.isLeaving && now - row.heardAt <= this.#options.bound)
			.map(([id]) => id);
		return this.#ready && !this.#isLeaving ? [this.#options.self, ...others] : others;
	}

	/**
	 * Adopts a membership unless a newer one is known.
	 *
	 * @param epoch - From the store or a peer.
	 * @returns True when it was newer.
	 */
	adoptEpoch(epoch: Epoch): boolean {
		if (this.#epoch !== undefined && this.#epoch.number >= epoch.number) {
			return false;
		}

		this.#epoch = epoch;
		this.#recentEpochs.push(epoch);
		this.#recentEpochs.splice(0, this.#recentEpochs.length - keptEpochs);
		return true;
	}

	/**
	 * Records a complete read of the store.
	 *
	 * @param startedAt - When the read was sent; what it returned is at least that recent.
	 */
	noteStoreRead(startedAt: Milliseconds): void {
		this.#storeHeardAt = Math.max(this.#storeHeardAt ?? startedAt, startedAt);
		this.#ready = true;
	}

	/**
	 * Records that a peer's whole state was merged.
	 *
	 * @param startedAt - When the request was sent; the reply was composed later.
	 * @param ages - The ages that the reply carried.
	 */
	noteExchange(startedAt: Milliseconds, ages: ContactAges): void {
		if (ages.store !== undefined) {
			const heardAt = startedAt - ages.store;
			this.#storeHeardAt = Math.max(this.#storeHeardAt ?? heardAt, heardAt);
		}

		for (const {id, age, epoch, isLeaving} of ages.hosts) {
			this.#noteHost(id, {heardAt: startedAt - age, epoch, isLeaving: isLeaving ?? false});
		}

		this.#becomeReady(startedAt);
	}

	/**
	 * Composes the ages for a reply.
	 *
	 * @param now - The moment at which the reply's state is read.
	 * @returns The ages; this host's own is left out until it is ready.
	 */
	ages(now: Milliseconds): ContactAges {
		const others = [...this.#rows]
			.filter(([id]) => id !== this.#options.self)
			.map(([id, row]): HostAge => ({
				id, age: now - row.heardAt, epoch: row.epoch, isLeaving: row.isLeaving || undefined,
			}));
		const own: HostAge = {
			id: this.#options.self, age: 0, epoch: this.#epoch?.number ?? 0, isLeaving: this.#isLeaving || undefined,
		};
		return {
			store: this.#storeHeardAt === undefined ? undefined : now - this.#storeHeardAt,
			hosts: this.#ready ? [own, ...others] : others,
		};
	}

	/**
	 * Judges contact at the moment of a decision, so that a host that was frozen refuses before any callback runs.
	 *
	 * @param now - The moment of the decision.
	 * @returns What the right to take new work rests on.
	 */
	state(now: Milliseconds): ContactState {
		if (!this.#ready) {
			return 'lost';
		}

		if (this.#storeHeardAt !== undefined && now - this.#storeHeardAt <= this.#options.bound) {
			return 'store';
		}

		const epoch = this.#epoch;
		return epoch !== undefined && isQuorum(epoch, id => id === this.#options.self || this.isFresh(id, now)) ? 'quorum' : 'lost';
	}

	/**
	 * Tells whether a host was heard of, directly or through others, within the bound.
	 *
	 * @param hostId - The other host.
	 * @param now - The moment of the question.
	 * @returns True when it was.
	 */
	isFresh(hostId: string, now: Milliseconds): boolean {
		const row = this.#rows.get(hostId);
		return row !== undefined && now - row.heardAt <= this.#options.bound;
	}

	/**
	 * Tells when a host was last heard of.
	 *
	 * @param hostId - The other host.
	 * @returns The moment, or nothing when it never was.
	 */
	heardAt(hostId: string): Milliseconds | undefined {
		return this.#rows.get(hostId)?.heardAt;
	}

	/**
	 * Tells whether a quorum is known to hold the present epoch.
	 *
	 * @returns True when every host that comes into contact later must learn of it.
	 */
	isEpochHeldByQuorum(): boolean {
		const epoch = this.#epoch;
		return epoch !== undefined && isQuorum(epoch, id => id === this.#options.self || (this.#rows.get(id)?.epoch ?? 0) >= epoch.number);
	}

	/**
	 * Tells whether every member of the present epoch, old and new, is known to hold it.
	 *
	 * @returns True when no host can still act on an earlier one.
	 */
	isEpochHeldByAll(): boolean {
		const epoch = this.#epoch;
		return epoch !== undefined && hostsOf(epoch).every(host => host.id === this.#options.self || (this.#rows.get(host.id)?.epoch ?? 0) >= epoch.number);
	}

	#noteHost(id: string, row: HostRow): void {
		const held = this.#rows.get(id);
		if (held === undefined || held.heardAt < row.heardAt) {
			this.#rows.set(id, row);
		}
	}

	// A restarted host may itself have been one of the quorum that accepted a ticket, so its own silence must not count:
	// it needs as many others as a full majority, all heard after its start.
	#becomeReady(now: Milliseconds): void {
		const epoch = this.#epoch;
		if (this.#ready || epoch === undefined) {
			return;
		}

		const lists = [epoch.hosts, epoch.previousHosts ?? []].filter(list => list.length > 0);
		const isHeard = (id: string) => id !== this.#options.self && this.isFresh(id, now) && this.#rows.get(id)!.heardAt >= this.#options.startedAt;
		this.#ready = hostsOf(epoch).length > 1
			&& lists.every(list => list.filter(host => isHeard(host.id)).length >= majorityOf(list.length));
	}
}
