import {rankByRendezvous} from '@lacewingpoint/shared';
import {spreadOverDomains} from './server-subset.js';

/** An entry host that callers can use. */
export type EntryHost = {
	readonly id: string;
	readonly failureDomain: string;
	readonly callersAddress: string;
};

/** Who asks for an address. */
export type AddressQuestion = {
	readonly workspace: string;
	readonly model: string;
	/** The caller's failure domain, when it tells. */
	readonly failureDomain: string | undefined;
};

/**
 * Ranks entry hosts for a caller: home hosts of its workspace first, its own failure domain before others, domains taking
 * turns, so that the fallback of a lost domain is in another one.
 *
 * @param question - Who asks.
 * @param hosts - The hosts that are ready and not leaving.
 * @param homes - The ids of the workspace's home hosts.
 * @returns The hosts, best first.
 */
export function rankEntryHosts(question: AddressQuestion, hosts: readonly EntryHost[], homes: readonly string[]): EntryHost[] {
	const byId = new Map(hosts.map(host => [host.id, host]));
	const ranked = rankByRendezvous(`${question.workspace} ${question.model}`, [...byId.keys()]).map(id => byId.get(id)!);
	const spread = spreadOverDomains(ranked, host => host.failureDomain);
	const cost = (host: EntryHost) => (homes.includes(host.id) ? 0 : 2) + (host.failureDomain === question.failureDomain ? 0 : 1);
	return spread
		.map((host, rank) => ({host, rank}))
		.toSorted((left, right) => cost(left.host) - cost(right.host) || left.rank - right.rank)
		.map(entry => entry.host);
}
