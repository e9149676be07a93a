import {setTimeout as pause} from 'node:timers/promises';
import {
	LeaseValidity, type ClockReading, type LeaseTiming, computeHandoverDelay, computeRestoreDelay,
} from '@lacewingpoint/coordination';
import {
	type Logger, type Milliseconds, type RandomSource, describeError,
} from '@lacewingpoint/shared';
import * as v from 'valibot';
import type {ControlStore, StoreItem, StoreWrite} from '../ports.js';

/** Store key of the current holder's name, bound to its lease. */
export const leaseHolderKey = 'lacewingpoint/weights/holder';
/** Store key of the last term's record, which outlives the lease. */
export const leaseTermKey = 'lacewingpoint/weights/term';

/** Random delay of up to this time before a host campaigns for a free lease, so that the hosts do not all write at once. */
const electionJitter: Milliseconds = 150;

/** Hosts with a longer uptime wait up to this much longer: in a rolling restart they are the next to stop. */
const maximumUptimeDelay: Milliseconds = 250;

/** Uptime from which a host waits for the maximum delay; below it, the delay is proportional. */
const uptimeForMaximumDelay: Milliseconds = 30_000;

const termSchema = v.object({
	term: v.number(),
	holder: v.string(),
	/** Time in milliseconds between the holder's last order and its release of the lease; absent if the lease was not released. */
	quiet: v.optional(v.number()),
	/** Era of the store in which the record was written; absent in records of earlier versions. */
	era: v.optional(v.number(), 0),
	/** Whether the holder had waited until no earlier holder could give orders; absent in records of earlier versions. */
	isSettled: v.optional(v.boolean(), false),
});

/** Terms of a later era are higher than all of earlier ones, whose records may be lost. */
const termsPerEra = 2 ** 20;

type TermRecord = v.InferOutput<typeof termSchema>;

/** The lease while this host holds it. */
type HeldLease = {
	readonly lease: number;
	readonly term: number;
	/** Store revision of the term's record. */
	termRevision: number;
	readonly leaseValidity: LeaseValidity;
	/** Monotonic time from which no earlier holder can give orders any more. */
	readonly settledAt: Milliseconds;
	/** The write that records this; `undefined` before. */
	settlement: Promise<void> | undefined;
	renewalSentAt: Milliseconds;
};

export type WeightsLeaseOptions = {
	readonly hostName: string;
	readonly leaseTiming: LeaseTiming;
	readonly store: ControlStore;
	readonly log: Logger;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	readonly wallClock: () => Milliseconds;
};

/** The lease that allows one host at a time to order servers to load weights. */
export class WeightsLease {
	readonly #options: WeightsLeaseOptions;
	readonly #startedAt: Milliseconds;
	#heldLease: HeldLease | undefined;
	#currentHolder: string | undefined;
	#lastOrderAt = Number.NEGATIVE_INFINITY;
	#isCampaigning = false;
	#isRenewing = false;
	#isWithdrawn = false;
	/** The era that began while this host certainly held the lease, so that no other host gave orders at the end of the era before. */
	#heldUntilEra: number | undefined;

	constructor(options: WeightsLeaseOptions) {
		this.#options = options;
		this.#startedAt = options.now();
	}

	/** Term number of the held lease, used as fencing token; undefined while this host does not hold the lease. */
	get term(): number | undefined {
		return this.#heldLease?.term;
	}

	/** Whether this host certainly holds the lease now and may give an order. */
	get mayGiveOrders(): boolean {
		return this.#heldLease?.leaseValidity.allowsOperation(this.#readClocks()) === true;
	}

	/** Records that an order is given now. */
	recordOrder(): void {
		this.#lastOrderAt = this.#options.now();
	}

	/**
	 * Applies a change of the holder that was read from the store. If the lease is free, this host campaigns for it.
	 *
	 * @param holder - The holder's host name; undefined when the lease is free.
	 */
	updateHolder(holder: string | undefined): void {
		if (holder !== this.#currentHolder) {
			this.#options.log.info('weights-holder', {holder, before: this.#currentHolder});
		}

		this.#currentHolder = holder;
		// This host's own name, stored while it holds no lease, dates from before its restart.
		if (holder === undefined || holder === this.#options.hostName) {
			void this.#campaign();
		}
	}

	/**
	 * Drops a held lease, because the store was restored from a copy that may lack it, and campaigns again.
	 *
	 * @param era - The era of the store that has begun.
	 */
	handleRestore(era: number): void {
		const heldLease = this.#heldLease;
		if (this.mayGiveOrders) {
			this.#heldUntilEra = era;
		}

		this.#heldLease = undefined;
		if (heldLease !== undefined) {
			this.#options.log.warn('weights-lease-lost', {term: heldLease.term, reason: 'the store was restored from a copy', era});
			this.#currentHolder = undefined;
			void this.#campaign();
		}
	}

	/** Stops campaigning for the lease, because this host is about to stop. A held lease is kept. */
	stopCampaigning(): void {
		this.#isWithdrawn = true;
	}

	/** Renews the held lease if that is due, or drops it once it has expired. Called periodically. */
	renewOrExpire(): void {
		const heldLease = this.#heldLease;
		if (heldLease === undefined) {
			return;
		}

		const {leaseTiming, log, now} = this.#options;
		if (heldLease.leaseValidity.isExpired(this.#readClocks())) {
			this.#heldLease = undefined;
			log.warn('weights-lease-lost', {term: heldLease.term, reason: 'not renewed within its time to live'});
			return;
		}

		if (!this.#isRenewing && now() - heldLease.renewalSentAt >= leaseTiming.renewalInterval) {
			void this.#renew(heldLease);
		}

		if (now() >= heldLease.settledAt) {
			heldLease.settlement ??= this.#recordSettlement(heldLease);
		}
	}

	/** Releases the lease and stores the time since the last order, so that the next holder waits no longer than necessary. */
	async release(): Promise<void> {
		this.#isWithdrawn = true;
		const heldLease = this.#heldLease;
		this.#heldLease = undefined;
		if (heldLease === undefined) {
			return;
		}

		await heldLease.settlement;
		const {store, now, leaseTiming} = this.#options;
		// A holder that has not waited to the end hands on the time since the orders of the one before.
		const lastOrderAt = Math.max(this.#lastOrderAt, heldLease.settledAt - leaseTiming.handoverGap);
		const written = await store.write([this.#createTermWrite({
			term: heldLease.term, quiet: Math.min(now() - lastOrderAt, leaseTiming.handoverGap), era: store.era, isSettled: now() >= heldLease.settledAt,
		}, heldLease.termRevision)]);
		// Revoked without this record, the lease would look expired, and the next holder would assume a longer time since the last order.
		if (written.isOk && written.value !== undefined) {
			await store.revokeLease(heldLease.lease);
		}
	}

	#readClocks(): ClockReading {
		return {steady: this.#options.now(), wall: this.#options.wallClock()};
	}

	async #renew(heldLease: HeldLease): Promise<void> {
		const {store, log} = this.#options;
		this.#isRenewing = true;
		const sentAt = this.#readClocks();
		heldLease.renewalSentAt = sentAt.steady;
		const renewed = await store.renewLease(heldLease.lease);
		this.#isRenewing = false;
		if (renewed.isOk) {
			heldLease.leaseValidity.recordRenewal(sentAt);
		} else if (renewed.error.code === 'lease-ended' && this.#heldLease === heldLease) {
			this.#heldLease = undefined;
			log.warn('weights-lease-lost', {term: heldLease.term, reason: describeError(renewed.error)});
		}
	}

	// Without this record, a process that starts anew on this host would have to wait once more.
	async #recordSettlement(heldLease: HeldLease): Promise<void> {
		const {store} = this.#options;
		const written = await store.write([this.#createTermWrite({term: heldLease.term, era: store.era, isSettled: true}, heldLease.termRevision)]);
		if (written.isOk && written.value !== undefined) {
			heldLease.termRevision = written.value;
		}
	}

	async #campaign(): Promise<void> {
		if (this.#isCampaigning || this.#heldLease !== undefined) {
			return;
		}

		const {random, now, hostName} = this.#options;
		this.#isCampaigning = true;
		const uptimeDelay = Math.min((now() - this.#startedAt) / uptimeForMaximumDelay, 1) * maximumUptimeDelay;
		await pause(uptimeDelay + (random.next() * electionJitter));
		while ((this.#currentHolder === undefined || this.#currentHolder === hostName) && this.#heldLease === undefined && !this.#isWithdrawn) {
			if (!await this.#tryAcquire()) {
				await pause(electionJitter * (1 + random.next()));
			}
		}

		this.#isCampaigning = false;
	}

	/** @returns Whether the lease is held now, by this host or another one. */
	async #tryAcquire(): Promise<boolean> {
		const {store, hostName, leaseTiming} = this.#options;
		const storedTerm = await store.read(leaseTermKey);
		const storedHolder = await store.read(leaseHolderKey);
		if (storedTerm.isErr || storedHolder.isErr) {
			return false;
		}

		if (storedHolder.value !== undefined && storedHolder.value.value !== hostName) {
			this.#currentHolder = storedHolder.value.value;
			return true;
		}

		const sentAt = this.#readClocks();
		const lease = await store.grantLease(leaseTiming.timeToLive);
		if (lease.isErr) {
			return false;
		}

		const previousTerm = storedTerm.value === undefined ? undefined : this.#parseTermRecord(storedTerm.value);
		const {era} = store;
		const term = Math.max(previousTerm?.term ?? 0, era * termsPerEra) + 1;
		const handoverDelay = this.#computeOrderDelay(previousTerm, era);
		const written = await store.write([
			{
				key: leaseHolderKey, value: hostName, expectedRevision: storedHolder.value?.revision ?? 0, lease: lease.value,
			},
			this.#createTermWrite({term, era, isSettled: handoverDelay === 0}, storedTerm.value?.revision ?? 0),
		]);
		if (written.isErr || written.value === undefined || store.era !== era) {
			await store.revokeLease(lease.value);
			return false;
		}

		this.#startTerm({
			lease: lease.value, term, termRevision: written.value, sentAt,
		}, previousTerm, handoverDelay);
		return true;
	}

	#startTerm(grantedLease: {readonly lease: number; readonly term: number; readonly termRevision: number; readonly sentAt: ClockReading}, previousTerm: TermRecord | undefined, handoverDelay: Milliseconds): void {
		const {hostName, leaseTiming, log, now} = this.#options;
		const {lease, term, termRevision, sentAt} = grantedLease;
		const settledAt = now() + handoverDelay;
		this.#currentHolder = hostName;
		this.#heldLease = {
			lease, term, termRevision, leaseValidity: new LeaseValidity(leaseTiming, sentAt, settledAt), settledAt, settlement: handoverDelay === 0 ? Promise.resolve() : undefined, renewalSentAt: sentAt.steady,
		};
		log.info('weights-lease-held', {
			term, before: previousTerm?.holder, quiet: previousTerm?.quiet, ordersIn: handoverDelay,
		});
	}

	#computeOrderDelay(previousTerm: TermRecord | undefined, era: number): Milliseconds {
		const {hostName, leaseTiming} = this.#options;
		// Without a record of this era, any host may have held the lease until the store was restored.
		if (previousTerm?.era !== era) {
			return this.#heldUntilEra === era ? 0 : computeRestoreDelay(leaseTiming);
		}

		if (previousTerm.holder === hostName && previousTerm.isSettled) {
			return 0;
		}

		// A process of this host that was killed before it had waited for the holder before leaves the wait to the next one.
		return previousTerm.holder === hostName && previousTerm.quiet === undefined ? computeRestoreDelay(leaseTiming) : computeHandoverDelay(leaseTiming, previousTerm.quiet);
	}

	#createTermWrite(record: Omit<TermRecord, 'holder'>, expectedRevision: number): StoreWrite {
		return {key: leaseTermKey, value: JSON.stringify({...record, holder: this.#options.hostName}), expectedRevision};
	}

	#parseTermRecord(item: StoreItem): TermRecord | undefined {
		const parsed = v.safeParse(v.pipe(v.string(), v.parseJson(), termSchema), item.value);
		if (!parsed.success) {
			this.#options.log.warn('unreadable', {key: leaseTermKey, reason: parsed.issues[0].message, revision: item.revision});
			return undefined;
		}

		return parsed.output;
	}
}
