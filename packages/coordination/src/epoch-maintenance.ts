import type {Milliseconds} from '@lacewingpoint/shared';
import type {ContactTable} from './contact-table.js';
import {type Epoch, type HostRegistration} from './epoch.js';

export type EpochMaintenanceOptions = {
	readonly self: string;
	/** A host unheard of for this long leaves the epoch. */
	readonly removalAfter: Milliseconds;
	/** After a quorum holds a joint epoch, a host that missed it must have stopped after this long. */
	readonly settleAfter: Milliseconds;
};

/** A longer time between two judgements means that this host did not listen. */
const longestPause: Milliseconds = 3000;

/** The membership to write next, if the stored one has not changed meanwhile. */
export type EpochProposal = {readonly replaces: number; readonly epoch: Epoch};

/**
 * Proposes changes of membership: first a joint epoch, in which shares of rate only shrink,
 * then, once every host has acknowledged it or must have stopped by the contact rule, the settled one.
 */
export class EpochMaintenance {
	readonly #options: EpochMaintenanceOptions;
	#listeningSince: Milliseconds;
	#judgedAt: Milliseconds;
	#heldByQuorumSince: {readonly epoch: number; readonly at: Milliseconds} | undefined;

	constructor(options: EpochMaintenanceOptions, startedAt: Milliseconds) {
		this.#options = options;
		this.#listeningSince = startedAt;
		this.#judgedAt = startedAt;
	}

	/**
	 * Judges the membership once a tick.
	 *
	 * @param contact - What was heard of each host.
	 * @param registered - The hosts that have registered in the store.
	 * @param now - The moment of the tick.
	 * @returns The proposal that is due, if any.
	 */
	propose(contact: ContactTable, registered: readonly HostRegistration[], now: Milliseconds): EpochProposal | undefined {
		this.#noteJudgement(now);
		const epoch = contact.epoch;
		if (epoch === undefined || !contact.isReady || !this.#isMaintainer(contact, epoch, now)) {
			return undefined;
		}

		return epoch.previousHosts === undefined ? this.#proposeJoint(contact, epoch, registered, now) : this.#proposeSettled(contact, epoch, now);
	}

	// After a pause of this host or an outage of the store the others' silence may be its own: it listens anew first.
	#noteJudgement(now: Milliseconds): void {
		if (now - this.#judgedAt > longestPause) {
			this.#listeningSince = now;
		}

		this.#judgedAt = now;
	}

	// One proposer at a time is enough; two are harmless, since the store takes one of them.
	#isMaintainer(contact: ContactTable, epoch: Epoch, now: Milliseconds): boolean {
		const candidates = epoch.hosts.map(host => host.id).filter(id => id === this.#options.self || contact.isFresh(id, now));
		return candidates.toSorted()[0] === this.#options.self;
	}

	#isGone(contact: ContactTable, hostId: string, now: Milliseconds): boolean {
		const heardAt = Math.max(contact.heardAt(hostId) ?? this.#listeningSince, this.#listeningSince);
		return hostId !== this.#options.self && now - heardAt > this.#options.removalAfter;
	}

	#proposeJoint(contact: ContactTable, epoch: Epoch, registered: readonly HostRegistration[], now: Milliseconds): EpochProposal | undefined {
		const members = new Set(epoch.hosts.map(host => host.id));
		// A host that is no member has to have registered in this very epoch: an older word may be that of a lost host.
		const current = registered.filter(({host, seenEpoch}) => members.has(host.id) || seenEpoch === epoch.number).map(({host}) => host);
		const known = new Map([...epoch.hosts, ...current].map(host => [host.id, host]));
		const hosts = [...known.values()]
			.filter(host => !members.has(host.id) || !this.#isGone(contact, host.id, now))
			.toSorted((left, right) => (left.id < right.id ? -1 : 1));
		if (JSON.stringify(hosts) === JSON.stringify(epoch.hosts) || hosts.length === 0) {
			return undefined;
		}

		return {replaces: epoch.number, epoch: {number: epoch.number + 1, hosts, previousHosts: epoch.hosts}};
	}

	#proposeSettled(contact: ContactTable, epoch: Epoch, now: Milliseconds): EpochProposal | undefined {
		if (!contact.isEpochHeldByQuorum()) {
			return undefined;
		}

		if (this.#heldByQuorumSince?.epoch !== epoch.number) {
			this.#heldByQuorumSince = {epoch: epoch.number, at: now};
		}

		const hasStopped = now - this.#heldByQuorumSince.at >= this.#options.settleAfter;
		if (!hasStopped && !contact.isEpochHeldByAll()) {
			return undefined;
		}

		return {replaces: epoch.number, epoch: {number: epoch.number + 1, hosts: epoch.hosts}};
	}
}
