import {
	type Epoch, type Ticket, epochSchema, hostsOf, isQuorum, registersOf,
} from '@lacewingpoint/coordination';
import {type KeyValueService, keyPrefixes} from '@lacewingpoint/platform';
import type {DeploymentHost} from '@lacewingpoint/settings';
import * as v from 'valibot';

/** What one host says of a ticket. */
export type HoldAnswer = {readonly holds: boolean; readonly ready: boolean; readonly incarnation: number};

/** Asks a host whether it holds a ticket; nothing when it does not answer. */
export type AskHost = (host: DeploymentHost, ticket: Ticket) => Promise<HoldAnswer | undefined>;

/** Where a ticket is in force. */
export type Acceptance = {
	/** True once the store and a quorum of the epoch hold it, so that it cannot be missed or revert. */
	readonly isAccepted: boolean;
	readonly inForce: readonly string[];
	readonly missing: readonly string[];
};

/**
 * Asks every host of the epoch once for a ticket that the store holds.
 * A quorum counts only if each of its hosts still has the same incarnation in a second round: one that restarted between the
 * answers of the others may have forgotten the ticket and learned its state from hosts that do not have it yet.
 *
 * @param store - The key-value service, for the epoch.
 * @param hosts - The deployment's hosts.
 * @param ticket - The stored ticket.
 * @param ask - Asks one host.
 * @returns Where it is in force; nothing is accepted while the epoch cannot be read.
 */
export async function checkAcceptance(store: KeyValueService, hosts: readonly DeploymentHost[], ticket: Ticket, ask: AskHost): Promise<Acceptance> {
	const epoch = await readEpoch(store);
	const members = epoch === undefined ? hosts : hosts.filter(host => hostsOf(epoch).some(member => member.id === host.id));
	const first = await askAll(members, ticket, ask);
	const second = await askAll(members, ticket, ask);
	const isHeld = (id: string) => {
		const before = first.get(id);
		const after = second.get(id);
		return before?.holds === true && after?.holds === true && before.ready && before.incarnation === after.incarnation;
	};

	const ids = members.map(host => host.id);
	return {
		isAccepted: epoch !== undefined && isQuorum(epoch, isHeld),
		inForce: ids.filter(id => isHeld(id)),
		missing: ids.filter(id => !isHeld(id)),
	};
}

async function askAll(hosts: readonly DeploymentHost[], ticket: Ticket, ask: AskHost): Promise<ReadonlyMap<string, HoldAnswer | undefined>> {
	return new Map(await Promise.all(hosts.map(async host => [host.id, await ask(host, ticket)] as const)));
}

async function readEpoch(store: KeyValueService): Promise<Epoch | undefined> {
	const reading = await store.list(keyPrefixes.epoch);
	const entry = reading.isOk ? reading.value.entries[0] : undefined;
	const checked = entry === undefined ? undefined : v.safeParse(epochSchema, JSON.parse(entry.value));
	return checked?.success === true ? checked.output : undefined;
}

/**
 * Composes the question whether a host holds a ticket.
 *
 * @param ticket - The ticket.
 * @returns The JSON body of the question.
 */
export function holdsQuestion(ticket: Ticket): string {
	return JSON.stringify({registers: registersOf(ticket)});
}
