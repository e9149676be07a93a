import * as v from 'valibot';

/** An entry host as the membership records it. */
export const hostRecordSchema = v.object({
	id: v.string(),
	failureDomain: v.string(),
	callersAddress: v.string(),
	peerAddress: v.string(),
});

/**
 * The agreed membership. While `previousHosts` is present the change is joint:
 * every quorum needs a majority of both lists.
 */
export const epochSchema = v.object({
	number: v.number(),
	hosts: v.array(hostRecordSchema),
	previousHosts: v.optional(v.array(hostRecordSchema)),
});

/** A host's word that it is alive and where it can be reached; `seenEpoch` is the epoch that it said so in. */
export const hostRegistrationSchema = v.object({host: hostRecordSchema, seenEpoch: v.number()});

export type HostRegistration = Readonly<v.InferOutput<typeof hostRegistrationSchema>>;
export type HostRecord = Readonly<v.InferOutput<typeof hostRecordSchema>>;
export type Epoch = Readonly<v.InferOutput<typeof epochSchema>>;

/**
 * Counts the smallest majority of a list.
 *
 * @param size - The number of members.
 * @returns More than half of them.
 */
export function majorityOf(size: number): number {
	return Math.floor(size / 2) + 1;
}

/**
 * Tells whether a set of hosts is a quorum of an epoch.
 *
 * @param epoch - The membership.
 * @param counts - Tells whether a host belongs to the set.
 * @returns True when a majority of each list belongs to it.
 */
export function isQuorum(epoch: Epoch, counts: (hostId: string) => boolean): boolean {
	const lists = [epoch.hosts, epoch.previousHosts ?? []];
	return lists.every(list => list.length === 0 || list.filter(host => counts(host.id)).length >= majorityOf(list.length));
}

/**
 * Lists every host that belongs to an epoch, joint members included.
 *
 * @param epoch - The membership.
 * @returns The records, each host once, by id.
 */
export function hostsOf(epoch: Epoch): HostRecord[] {
	const byId = new Map([...(epoch.previousHosts ?? []), ...epoch.hosts].map(host => [host.id, host]));
	return [...byId.values()].toSorted((left, right) => (left.id < right.id ? -1 : 1));
}
