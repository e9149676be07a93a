import {
	type ContactAges, type Epoch, type HostRecord, type Register, type TicketChanges, ContactTable, CreditTable, EpochMaintenance,
	TicketTable, isQuorum,
} from '../src/index.js';

// Hosts, a store and messages in flight between them, on one clock. Whatever is in flight may be answered late, or never.

export const bound = 3000;
export const loanLifetime = 500;
export const loanMargin = 250;
export const workspace = 'w';

export type FakeHost = {
	readonly id: string;
	readonly incarnation: number;
	readonly tickets: TicketTable;
	readonly contact: ContactTable;
	readonly credit: CreditTable;
	readonly maintenance: EpochMaintenance;
	readonly cursors: Map<string, {readonly incarnation: number; readonly cursor: number}>;
};

type StoreState = {readonly registers: readonly Register[]; readonly epoch: Epoch};

type ExchangeReply = {readonly incarnation: number; readonly changes: TicketChanges; readonly ages: ContactAges; readonly epoch: Epoch | undefined};

type Exchange = {
	readonly from: FakeHost;
	readonly to: string;
	readonly startedAt: number;
	readonly cursor: {readonly incarnation: number; readonly cursor: number};
	reply: ExchangeReply | undefined;
};

type StoreRead = {readonly host: FakeHost; readonly startedAt: number; state: StoreState | undefined};

type Acceptance = {readonly registers: readonly Register[]; readonly first: Map<string, number>; readonly second: Set<string>};

type AcceptedTicket = {readonly registers: readonly Register[]; readonly at: number};

export class FakeFleet {
	now = 0;
	readonly hosts: FakeHost[];
	readonly accepted: AcceptedTicket[] = [];
	readonly frozen = new Set<string>();
	#store: StoreState;
	#incarnation = 0;
	readonly #exchanges: Exchange[] = [];
	readonly #storeReads: StoreRead[] = [];
	readonly #acceptances: Acceptance[] = [];

	constructor(size: number, spare = 0) {
		const records = Array.from({length: size}, (_, index) => recordOf(`h${index}`));
		this.#store = {registers: [], epoch: {number: 1, hosts: records}};
		this.hosts = Array.from({length: size + spare}, (_, index) => this.#newHost(`h${index}`));
		for (const host of this.hosts) {
			this.readStore(host.id);
			this.answerStoreRead(0);
			this.deliverStoreRead(0);
		}
	}

	get storeEpoch(): Epoch {
		return this.#store.epoch;
	}

	host(id: string): FakeHost {
		return this.hosts.find(candidate => candidate.id === id)!;
	}

	advance(time: number): void {
		this.now += time;
		for (const host of this.hosts.filter(candidate => !this.frozen.has(candidate.id))) {
			host.credit.tick(this.now, host.contact.state(this.now) !== 'lost');
		}
	}

	restart(id: string): void {
		const index = this.hosts.findIndex(host => host.id === id);
		this.hosts[index] = this.#newHost(id);
		this.frozen.delete(id);
	}

	submit(registers: readonly Register[]): void {
		this.#store = {...this.#store, registers: [...this.#store.registers, ...registers]};
		this.#acceptances.push({registers, first: new Map(), second: new Set()});
	}

	/** One step of asking whether every ticket that is not accepted yet is held: twice, with the same incarnation. */
	askAcceptance(id: string): void {
		const host = this.host(id);
		for (const acceptance of this.#acceptances) {
			const holds = host.contact.isReady && host.tickets.holds(acceptance.registers);
			if (!holds) {
				continue;
			}

			const isFirstComplete = isQuorum(this.#store.epoch, member => acceptance.first.has(member));
			if (!isFirstComplete) {
				acceptance.first.set(id, host.incarnation);
			} else if (acceptance.first.get(id) === host.incarnation) {
				acceptance.second.add(id);
			}

			this.#concludeAcceptance(acceptance);
		}
	}

	sendExchange(from: string, to: string): void {
		const host = this.host(from);
		this.#exchanges.push({
			from: host, to, startedAt: this.now, cursor: host.cursors.get(to) ?? {incarnation: 0, cursor: 0}, reply: undefined,
		});
	}

	answerExchange(index: number): void {
		const exchange = pick(this.#exchanges.filter(candidate => candidate.reply === undefined), index);
		if (exchange === undefined) {
			return;
		}

		const host = this.host(exchange.to);
		const cursor = exchange.cursor.incarnation === host.incarnation ? exchange.cursor.cursor : 0;
		exchange.reply = {
			incarnation: host.incarnation, changes: host.tickets.changesSince(cursor), ages: host.contact.ages(this.now), epoch: host.contact.epoch,
		};
	}

	deliverExchange(index: number): void {
		const exchange = pick(this.#exchanges.filter(candidate => candidate.reply !== undefined), index);
		if (exchange === undefined) {
			return;
		}

		this.#exchanges.splice(this.#exchanges.indexOf(exchange), 1);
		const {from, reply} = exchange;
		if (this.host(from.id) === from && reply !== undefined) {
			from.tickets.merge(reply.changes.registers);
			this.#adopt(from, reply.epoch);
			from.cursors.set(exchange.to, {incarnation: reply.incarnation, cursor: reply.changes.cursor});
			from.contact.noteExchange(exchange.startedAt, reply.ages);
		}
	}

	readStore(id: string): void {
		this.#storeReads.push({host: this.host(id), startedAt: this.now, state: undefined});
	}

	answerStoreRead(index: number): void {
		const read = pick(this.#storeReads.filter(candidate => candidate.state === undefined), index);
		if (read !== undefined) {
			read.state = this.#store;
		}
	}

	deliverStoreRead(index: number): void {
		const read = pick(this.#storeReads.filter(candidate => candidate.state !== undefined), index);
		if (read === undefined) {
			return;
		}

		this.#storeReads.splice(this.#storeReads.indexOf(read), 1);
		if (this.host(read.host.id) === read.host && read.state !== undefined) {
			read.host.tickets.merge(read.state.registers);
			this.#adopt(read.host, read.state.epoch);
			read.host.contact.noteStoreRead(read.startedAt);
		}
	}

	maintainEpoch(id: string): void {
		const host = this.host(id);
		const proposal = host.maintenance.propose(host.contact, this.hosts.map(candidate => ({host: recordOf(candidate.id), seenEpoch: candidate.contact.epoch?.number ?? 0})), this.now);
		if (proposal?.replaces === this.#store.epoch.number) {
			this.#store = {...this.#store, epoch: proposal.epoch};
		}
	}

	#concludeAcceptance(acceptance: Acceptance): void {
		if (isQuorum(this.#store.epoch, member => acceptance.second.has(member))) {
			this.#acceptances.splice(this.#acceptances.indexOf(acceptance), 1);
			this.accepted.push({registers: acceptance.registers, at: this.now});
		}
	}

	#adopt(host: FakeHost, epoch: Epoch | undefined): void {
		if (epoch !== undefined && host.contact.adoptEpoch(epoch)) {
			host.credit.setEpoch(epoch);
		}
	}

	#newHost(id: string): FakeHost {
		this.#incarnation++;
		const credit = new CreditTable({
			self: id, homeHosts: 9, loanLifetime, loanMargin, longestGap: 1000,
		}, this.now);
		credit.setLimit(workspace, {tokensPerSecond: 600, burstTokens: 300});
		return {
			id,
			incarnation: this.#incarnation,
			tickets: new TicketTable(),
			contact: new ContactTable({self: id, bound, startedAt: this.now}),
			credit,
			maintenance: new EpochMaintenance({self: id, removalAfter: 2 * bound, settleAfter: bound + 1000}, this.now),
			cursors: new Map(),
		};
	}
}

function recordOf(id: string): HostRecord {
	return {
		id, failureDomain: 'd', callersAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2',
	};
}

function pick<Item>(items: readonly Item[], index: number): Item | undefined {
	return items.length === 0 ? undefined : items.at(index < 0 ? index : index % items.length);
}
