import {rankByRendezvous} from '@lacewingpoint/shared';
import {spreadOverDomains} from './domain-spread.js';

/** An entry host that callers can use. */
export type EntryHost = {
	readonly id: string;
	readonly failureDomain: string;
	readonly callersAddress: string;
};

/** Who asks for an address. */
export type AddressQuestion = {
	/** The cell that serves the caller's workspace and model. */
	readonly cell: string;
	/** The caller's failure domain, when it tells. */
	readonly failureDomain: string | undefined;
};

/**
 * Ranks entry hosts for a caller. The primary of its cell comes first, whatever its failure domain: one host that knows the
 * cell's queues is worth more than the way between domains. The caller's own domain follows, then domains taking turns,
 * so that the fallback of a lost domain is in another one.
 *
 * @param question - Who asks.
 * @param hosts - The hosts that are ready and not leaving.
 * @returns The hosts, best first.
 */
export function rankEntryHosts(question: AddressQuestion, hosts: readonly EntryHost[]): EntryHost[] {
	const byId = new Map(hosts.map(host => [host.id, host]));
	const [primary, ...others] = rankByRendezvous(question.cell, [...byId.keys()]).map(id => byId.get(id)!);
	if (primary === undefined) {
		return [];
	}

	const isNear = (host: EntryHost) => host.failureDomain === question.failureDomain;
	const spread = spreadOverDomains(others, host => host.failureDomain);
	return [primary, ...spread.filter(host => isNear(host)), ...spread.filter(host => !isNear(host))];
}
