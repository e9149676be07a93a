import {rankByRendezvous} from '@lacewingpoint/shared';
import type {Epoch} from './epoch.js';

/**
 * Names the hosts of a failure domain that read the store; the others of the domain hear it from them.
 *
 * @param epoch - The membership.
 * @param failureDomain - The failure domain.
 * @param count - How many hosts of a domain read.
 * @param isUsable - Tells whether a host was heard of lately.
 * @returns The readers' ids.
 */
export function storeReaders(epoch: Epoch, failureDomain: string, count: number, isUsable: (hostId: string) => boolean): string[] {
	const members = epoch.hosts.filter(host => host.failureDomain === failureDomain && isUsable(host.id)).map(host => host.id);
	return rankByRendezvous('store readers', members).slice(0, count);
}

/** Whom a host exchanges with next. */
export type PartnerChoice = {
	readonly self: string;
	readonly others: readonly string[];
	/** The readers of the own failure domain. */
	readonly readers: readonly string[];
	readonly fanout: number;
	/** Counts rounds; every host begins elsewhere. */
	readonly turn: number;
};

/**
 * Chooses the partners of a round: a host that does not read the store itself asks one of its domain's readers every other
 * time, so that the store's state is never far; the rest goes round all hosts.
 *
 * @param choice - Who chooses among whom.
 * @returns The partners' ids, each once.
 */
export function choosePartners({self, others, readers, fanout, turn}: PartnerChoice): string[] {
	if (others.length === 0) {
		return [];
	}

	const foreignReaders = readers.filter(reader => reader !== self && others.includes(reader));
	const asksReader = !readers.includes(self) && foreignReaders.length > 0 && turn % 2 === 0;
	const first = asksReader ? [foreignReaders[Math.floor(turn / 2) % foreignReaders.length]!] : [];
	const rest = Array.from({length: Math.min(fanout, others.length)}, (_, index) => others[((turn * fanout) + index) % others.length]!);
	return [...new Set([...first, ...rest])].slice(0, fanout);
}
