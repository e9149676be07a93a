import {
	type EpochMaintenance, type EpochProposal, type HostRecord, type HostRegistration, storeReaders,
} from '@lacewingpoint/coordination';
import {
	type KeyValueReading, type KeyValueService, type KeyValueWatch, keyPrefixes, readConfigurationEntries,
} from '@lacewingpoint/platform';
import {
	type Disposable, startRepeatingTask,
} from '@lacewingpoint/shared';
import * as v from 'valibot';
import {applyChanges} from './configuration-change.js';
import type {RouterContext} from './router-context.js';

export type StoreLinkOptions = {
	readonly record: HostRecord;
	readonly initialHosts: readonly HostRecord[];
	readonly interval: number;
	readonly watchersPerFailureDomain: number;
};

/** The link to the platform's key-value service: reads changes, registers this host and maintains the membership. */
export class StoreLink implements Disposable {
	readonly #context: RouterContext;
	readonly #store: KeyValueService;
	readonly #maintenance: EpochMaintenance;
	readonly #options: StoreLinkOptions;
	readonly #registered = new Map<string, HostRegistration>();
	#revision = 0;
	#epochRevision = 0;
	#ownRevision: number | undefined;
	#watch: KeyValueWatch | undefined;
	#task: Disposable | undefined;
	#isUp: boolean | undefined;
	#round: Promise<void> | undefined;
	#isRoundDue = false;

	constructor(context: RouterContext, store: KeyValueService, maintenance: EpochMaintenance, options: StoreLinkOptions) {
		this.#context = context;
		this.#store = store;
		this.#maintenance = maintenance;
		this.#options = options;
	}

	/** Begins to read the store. */
	start(): void {
		this.#task = startRepeatingTask(this.#options.interval, async () => this.round(), error => {
			this.#context.logger.warn('store-round-failed', {message: String(error)});
		});
	}

	/** Reads what changed and does what is due; a call during a round is served by another one after it. */
	async round(): Promise<void> {
		if (this.#round !== undefined) {
			this.#isRoundDue = true;
			return this.#round;
		}

		this.#round = this.#runRounds().finally(() => {
			this.#round = undefined;
		});
		return this.#round;
	}

	async dispose(): Promise<void> {
		this.#watch?.dispose();
		await this.#task?.dispose();
	}

	async #runRounds(): Promise<void> {
		do {
			this.#isRoundDue = false;
			await this.#runRound();
		} while (this.#isRoundDue);
	}

	async #runRound(): Promise<void> {
		if (!this.#isReader()) {
			return;
		}

		const isRead = await this.#read();
		this.#noteState(isRead);
		if (!isRead) {
			return;
		}

		this.#openWatch();
		await this.#register();
		await this.#maintainEpoch();
	}

	// At a large size only a few hosts of each failure domain read the store; the others hear it from peers, ages included.
	#isReader(): boolean {
		const {contact} = this.#context.tables;
		const {record, watchersPerFailureDomain} = this.#options;
		const epoch = contact.epoch;
		if (!contact.isReady || epoch?.hosts.some(host => host.id === record.id) !== true) {
			return true;
		}

		const now = this.#context.clock.now();
		const readers = storeReaders(epoch, record.failureDomain, watchersPerFailureDomain, id => id === record.id || contact.isFresh(id, now));
		return readers.includes(record.id);
	}

	async #read(): Promise<boolean> {
		const startedAt = this.#context.clock.now();
		const reading = await this.#store.list(keyPrefixes.configuration, this.#revision === 0 ? 0 : this.#revision + 1);
		this.#context.metrics.count('store_reads', {outcome: reading.isOk ? 'ok' : 'failed'});
		return reading.match({
			Ok: value => this.#take(value, startedAt),
			Err: () => false,
		});
	}

	#take(reading: KeyValueReading, startedAt: number): boolean {
		// A replica of the service that lags shows less than was read before: it is no contact with the truth.
		if (reading.revision < this.#revision) {
			this.#context.metrics.count('store_stale_reads');
			return false;
		}

		const {registers, epoch, hosts, unreadable} = readConfigurationEntries(reading.entries);
		for (const key of unreadable) {
			this.#context.logger.warn('entry-unreadable', {key});
		}

		for (const {registration, revision} of hosts) {
			this.#takeHost(registration, revision);
		}

		this.#epochRevision = epoch?.revision ?? this.#epochRevision;
		applyChanges(this.#context.tables, registers, epoch?.value);
		this.#revision = Math.max(this.#revision, reading.revision);
		this.#context.tables.contact.noteStoreRead(startedAt);
		return true;
	}

	#takeHost(registration: HostRegistration, revision: number): void {
		this.#registered.set(registration.host.id, registration);
		if (registration.host.id === this.#options.record.id) {
			this.#ownRevision = revision;
		}
	}

	#hostKey(): string {
		return `${keyPrefixes.hosts}${this.#options.record.id}`;
	}

	// A member registers once; a host that finds itself left out says in each new epoch that it is alive.
	async #register(): Promise<void> {
		const {record} = this.#options;
		const held = this.#registered.get(record.id);
		const epoch = this.#context.tables.contact.epoch;
		const isMember = epoch?.hosts.some(host => host.id === record.id) === true;
		const isKnown = held !== undefined && isSameHost(held.host, record);
		if (isKnown && (isMember || held.seenEpoch === epoch?.number)) {
			return;
		}

		const registration: HostRegistration = {host: record, seenEpoch: epoch?.number ?? 0};
		await this.#store.compareAndSwap([{key: this.#hostKey(), value: JSON.stringify(registration), expected: this.#ownRevision ?? 0}]);
	}

	async #maintainEpoch(): Promise<void> {
		const current = this.#context.tables.contact.epoch;
		const proposal: EpochProposal | undefined = current === undefined
			? {replaces: 0, epoch: {number: 1, hosts: [...this.#options.initialHosts]}}
			: this.#maintenance.propose(this.#context.tables.contact, [...this.#registered.values()], this.#context.clock.now());
		if (proposal === undefined || (current !== undefined && this.#epochRevision === 0)) {
			return;
		}

		const value = JSON.stringify(proposal.epoch);
		const outcome = await this.#store.compareAndSwap([{key: keyPrefixes.epoch, value, expected: this.#epochRevision}]);
		if (outcome.isOk && outcome.value.type === 'written') {
			this.#context.logger.info('epoch-written', {number: proposal.epoch.number, hosts: proposal.epoch.hosts.length, joint: proposal.epoch.previousHosts !== undefined});
		}

		await this.#read();
	}

	#openWatch(): void {
		this.#watch ??= this.#store.watch(keyPrefixes.configuration, () => {
			void this.round();
		}, () => {
			this.#watch = undefined;
		});
	}

	#noteState(isUp: boolean): void {
		if (this.#isUp !== isUp) {
			this.#isUp = isUp;
			this.#context.logger.info(isUp ? 'store-reached' : 'store-lost');
		}
	}
}

function isSameHost(left: HostRecord, right: HostRecord): boolean {
	return left.failureDomain === right.failureDomain && left.callersAddress === right.callersAddress && left.peerAddress === right.peerAddress;
}
