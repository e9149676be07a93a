import {
	type Epoch, ContactTable, choosePartners, decodeAges, encodeAges, storeReaders,
} from '@lacewingpoint/coordination';
import {createSeededRandom} from '@lacewingpoint/shared';

/** How old the hosts' knowledge is when it is oldest. */
export type StalenessResult = {
	readonly hosts: number;
	/** The oldest state of the store on any host, in milliseconds. */
	readonly storeAge: number;
	/** With the store out: the age within which every host has heard of a majority. */
	readonly quorumAge: number;
};

const domains = 11;
const readersPerDomain = 3;
const interval = 1000;
const rounds = 60;
const settledRounds = 30;

/**
 * Runs the exchange of ages among many hosts in one process, one exchange a second each, on an event-time clock.
 *
 * @param hosts - The number of hosts.
 * @returns The greatest ages after they have settled.
 */
export function measureStaleness(hosts: number): StalenessResult {
	const epoch: Epoch = {
		number: 1,
		hosts: Array.from({length: hosts}, (_, index) => ({
			id: `host-${index}`, failureDomain: `domain-${index % domains}`, callersAddress: '', peerAddress: '',
		})),
	};
	const random = createSeededRandom(hosts);
	const members = epoch.hosts.map(host => ({
		host,
		offset: random.next() * interval,
		start: Math.floor(random.next() * hosts),
		contact: newContact(host.id, epoch),
		readers: storeReaders(epoch, host.failureDomain, readersPerDomain, () => true),
	}));
	const byId = new Map(members.map(member => [member.host.id, member]));
	let storeAge = 0;
	let quorumAge = 0;
	for (let round = 0; round < rounds; round++) {
		for (const member of members.toSorted((left, right) => left.offset - right.offset)) {
			const now = (round * interval) + member.offset;
			if (member.readers.includes(member.host.id)) {
				member.contact.noteStoreRead(now);
			}

			const others = epoch.hosts.filter(host => host !== member.host).map(host => host.id);
			for (const id of choosePartners({
				self: member.host.id, others, readers: member.readers, fanout: 1, turn: member.start + round,
			})) {
				const ages = encodeAges(byId.get(id)!.contact.ages(now), epoch);
				member.contact.noteExchange(now, decodeAges(ages, epoch));
			}

			if (round >= settledRounds) {
				storeAge = Math.max(storeAge, member.contact.ages(now).store ?? Number.POSITIVE_INFINITY);
				quorumAge = Math.max(quorumAge, majorityAge(member.contact, now, hosts));
			}
		}
	}

	return {hosts, storeAge, quorumAge};
}

function newContact(self: string, epoch: Epoch): ContactTable {
	const contact = new ContactTable({self, bound: 12_000, startedAt: 0});
	contact.adoptEpoch(epoch);
	contact.noteStoreRead(0);
	return contact;
}

function majorityAge(contact: ContactTable, now: number, hosts: number): number {
	const ages = contact.ages(now).hosts.map(host => host.age).toSorted((left, right) => left - right);
	return ages[Math.floor(hosts / 2)] ?? Number.POSITIVE_INFINITY;
}
