import {
	type EncodedAges, type HostRecord, choosePartners, decodeAges, encodeAges, hostsOf, storeReaders,
} from '@lacewingpoint/coordination';
import {
	type ExchangeReply, type ExchangeRequest, type Peer, createPeer,
} from '@lacewingpoint/peer';
import {type Disposable, startRepeatingTask} from '@lacewingpoint/shared';
import {applyChanges} from './configuration-change.js';
import type {Tables} from './tables.js';
import type {RouterContext} from './router-context.js';

export type PeerLinksOptions = {
	readonly self: string;
	readonly failureDomain: string;
	readonly readersPerDomain: number;
	readonly incarnation: number;
	readonly seeds: readonly HostRecord[];
	readonly interval: number;
	readonly fanout: number;
	readonly timeout: number;
	/** Makes the client of a peer; tests pass a fake. */
	readonly connect?: (address: string, timeout: number) => Peer;
};

type Link = {
	readonly record: HostRecord;
	readonly peer: Peer;
	cursor: number;
	cursorIncarnation: number;
};

/** The links to the other entry hosts: a few exchanges a second, taking turns. */
export class PeerLinks implements Disposable {
	readonly #context: RouterContext;
	readonly #options: PeerLinksOptions;
	readonly #links = new Map<string, Link>();
	#turn: number;
	#task: Disposable | undefined;

	constructor(context: RouterContext, options: PeerLinksOptions) {
		this.#context = context;
		this.#options = options;
		this.#turn = options.incarnation % Math.max(options.seeds.length, 1);
	}

	/** Begins the exchanges. */
	start(): void {
		this.#task = startRepeatingTask(this.#options.interval, async () => this.exchangeRound(), error => {
			this.#context.logger.warn('peer-exchange-failed', {message: String(error)});
		});
	}

	/**
	 * Finds the client of a host.
	 *
	 * @param hostId - The host.
	 * @returns Its client, or nothing for this host and for unknown ones.
	 */
	peer(hostId: string): Peer | undefined {
		this.#refreshLinks();
		return this.#links.get(hostId)?.peer;
	}

	/** @returns The clients of all other hosts. */
	peers(): Peer[] {
		this.#refreshLinks();
		return [...this.#links.values()].map(link => link.peer);
	}

	/**
	 * Exchanges with the next few hosts; with all of them until this host is ready.
	 */
	async exchangeRound(): Promise<void> {
		this.#refreshLinks();
		const {contact} = this.#context.tables;
		const ids = [...this.#links.keys()];
		const partners = contact.isReady
			? choosePartners({
				self: this.#options.self, others: ids, readers: this.#readers(), fanout: this.#options.fanout, turn: this.#turn++,
			})
			: ids;
		const chosen = partners.map(id => this.#links.get(id)!);
		await Promise.all(chosen.map(async link => this.#exchange(link)));
	}

	async dispose(): Promise<void> {
		await this.#task?.dispose();
		await Promise.all([...this.#links.values()].map(async link => link.peer.dispose()));
	}

	#readers(): string[] {
		const {tables, clock} = this.#context;
		const epoch = tables.contact.epoch;
		const now = clock.now();
		return epoch === undefined ? [] : storeReaders(epoch, this.#options.failureDomain, this.#options.readersPerDomain, id => id === this.#options.self || tables.contact.isFresh(id, now));
	}

	async #exchange(link: Link): Promise<void> {
		const startedAt = this.#context.clock.now();
		const reply = await link.peer.exchange({
			from: this.#options.self,
			incarnation: this.#options.incarnation,
			cursor: link.cursor,
			cursorIncarnation: link.cursorIncarnation,
			epoch: this.#context.tables.contact.epoch?.number ?? 0,
		});
		reply.match({
			Ok: value => {
				this.#merge(link, value, startedAt);
			},
			Err: () => {
				this.#context.metrics.count('peer_exchanges', {outcome: 'failed'});
			},
		});
	}

	#merge(link: Link, reply: ExchangeReply, startedAt: number): void {
		this.#context.metrics.count('peer_exchanges', {outcome: 'ok'});
		// A peer that took over another's address answers under its own name; its state counts for itself only.
		if (reply.from !== link.record.id) {
			return;
		}

		const {contact} = this.#context.tables;
		applyChanges(this.#context.tables, reply.registers, reply.epoch);
		link.cursor = reply.cursor;
		link.cursorIncarnation = reply.incarnation;
		// Ages count only after everything that came with them is in force.
		const epoch = reply.ages === undefined ? undefined : contact.recentEpoch(reply.ages.epoch);
		if (reply.ages !== undefined && epoch !== undefined) {
			contact.noteExchange(startedAt, decodeAges(reply.ages, epoch));
		}

		this.#context.tables.quarantine.merge(reply.suspects, this.#context.clock.now());
	}

	#refreshLinks(): void {
		const epoch = this.#context.tables.contact.epoch;
		const records = epoch === undefined ? this.#options.seeds : hostsOf(epoch);
		for (const record of records) {
			const link = this.#links.get(record.id);
			if (record.id !== this.#options.self && link?.record.peerAddress !== record.peerAddress) {
				void link?.peer.dispose();
				const connect = this.#options.connect ?? createPeer;
				this.#links.set(record.id, {
					record, peer: connect(record.peerAddress, this.#options.timeout), cursor: 0, cursorIncarnation: 0,
				});
			}
		}

		this.#dropLinks(new Set(records.map(record => record.id)));
	}

	#dropLinks(kept: ReadonlySet<string>): void {
		for (const [id, link] of this.#links) {
			if (!kept.has(id)) {
				void link.peer.dispose();
				this.#links.delete(id);
			}
		}
	}
}

/**
 * Composes the answer to a peer's exchange.
 *
 * @param tables - The router's state.
 * @param self - This host and its incarnation.
 * @param self.id - This host.
 * @param self.incarnation - Its incarnation.
 * @param request - The peer's request.
 * @param now - The present moment.
 * @returns The changes since the peer's cursor, and the ages of all of it.
 */
export function answerExchange(tables: Tables, self: {readonly id: string; readonly incarnation: number}, request: ExchangeRequest, now: number): ExchangeReply {
	const cursor = request.cursorIncarnation === self.incarnation ? request.cursor : 0;
	const changes = tables.tickets.changesSince(cursor);
	const epoch = tables.contact.epoch;
	return {
		from: self.id,
		incarnation: self.incarnation,
		cursor: changes.cursor,
		registers: [...changes.registers],
		epoch: epoch !== undefined && epoch.number > request.epoch ? epoch : undefined,
		ages: epoch === undefined ? undefined : mutableAges(encodeAges(tables.contact.ages(now), epoch)),
		suspects: tables.quarantine.suspects(now),
	};
}

function mutableAges(ages: EncodedAges) {
	return {...ages, exceptions: [...ages.exceptions]};
}
