import {setTimeout as pause} from 'node:timers/promises';
import {
	LeaseValidity, type ClockReading, type LeaseTiming, computeHandoverDelay,
} from '@lacewingpoint/coordination';
import {
	type Logger, type Milliseconds, type RandomSource, describeError,
} from '@lacewingpoint/shared';
import * as v from 'valibot';
import type {ControlStore, StoreItem} from './ports.js';

export const leaseHolderKey = 'lacewingpoint/weights/holder';
export const leaseTermKey = 'lacewingpoint/weights/term';

/** Hosts that see the lease free wait up to this long, so that they do not all write at once. */
const electionSpread: Milliseconds = 150;

/** Hosts that have run longer leave the lease to others by up to this: in a restart of all in turn they are the next to go. */
const seniorityPause: Milliseconds = 250;
const seniorAfter: Milliseconds = 30_000;

const termSchema = v.object({
	term: v.number(),
	holder: v.string(),
	/** How long before it gave the lease back the holder acted last; absent unless it gave it back. */
	quiet: v.optional(v.number()),
});

type TermRecord = v.InferOutput<typeof termSchema>;

type Tenure = {
	readonly lease: number;
	readonly term: number;
	/** The store's revision of the term's record. */
	readonly termRevision: number;
	readonly turn: LeaseValidity;
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

/** The lease under which one host at a time gives orders to servers. */
export class WeightsLease {
	readonly #options: WeightsLeaseOptions;
	readonly #startedAt: Milliseconds;
	#tenure: Tenure | undefined;
	#holder: string | undefined;
	#lastActAt = Number.NEGATIVE_INFINITY;
	#isElecting = false;
	#isRenewing = false;
	#isLeaving = false;

	constructor(options: WeightsLeaseOptions) {
		this.#options = options;
		this.#startedAt = options.now();
	}

	/** The fencing number of this host's tenure; nothing while it does not hold the lease. */
	get term(): number | undefined {
		return this.#tenure?.term;
	}

	/** Whether this host may give an order in this moment. */
	get mayGiveOrders(): boolean {
		return this.#tenure?.turn.allowsOperation(this.#moment()) === true;
	}

	/** Notes that an order is given. */
	recordOrder(): void {
		this.#lastActAt = this.#options.now();
	}

	/**
	 * Takes over who holds the lease, as the store tells.
	 *
	 * @param holder - The host's name; nothing when the lease is free.
	 */
	updateHolder(holder: string | undefined): void {
		if (holder !== this.#holder) {
			this.#options.log.info('weights-holder', {holder, before: this.#holder});
		}

		this.#holder = holder;
		// Its own name without a tenure is that of this host before its restart.
		if (holder === undefined || holder === this.#options.hostName) {
			void this.#elect();
		}
	}

	/** Leaves the lease to others if it becomes free: this host is about to stop. */
	stopCampaigning(): void {
		this.#isLeaving = true;
	}

	/** Renews the lease when that is due, and gives up one that has run out. */
	renewOrExpire(): void {
		const tenure = this.#tenure;
		if (tenure === undefined) {
			return;
		}

		const {leaseTiming: bounds, log, now} = this.#options;
		if (tenure.turn.isExpired(this.#moment())) {
			this.#tenure = undefined;
			log.warn('weights-lease-lost', {term: tenure.term, reason: 'not renewed in time'});
		} else if (!this.#isRenewing && now() - tenure.renewalSentAt >= bounds.renewalInterval) {
			void this.#renew(tenure);
		}
	}

	/** Gives the lease back and tells how long ago the last order was given, so that the next holder waits no longer than it must. */
	async release(): Promise<void> {
		this.#isLeaving = true;
		const tenure = this.#tenure;
		this.#tenure = undefined;
		if (tenure === undefined) {
			return;
		}

		const {store, hostName: name, now, leaseTiming: bounds} = this.#options;
		const quiet = Math.min(now() - this.#lastActAt, bounds.handoverGap);
		const written = await store.write([{key: leaseTermKey, value: JSON.stringify({term: tenure.term, holder: name, quiet}), expectedRevision: tenure.termRevision}]);
		// A lease that ends without the note would be taken for one that ran out, whose holder had been quiet for longer.
		if (written.isOk && written.value !== undefined) {
			await store.revokeLease(tenure.lease);
		}
	}

	#moment(): ClockReading {
		return {steady: this.#options.now(), wall: this.#options.wallClock()};
	}

	async #renew(tenure: Tenure): Promise<void> {
		const {store, log} = this.#options;
		this.#isRenewing = true;
		const sentAt = this.#moment();
		tenure.renewalSentAt = sentAt.steady;
		const renewed = await store.renewLease(tenure.lease);
		this.#isRenewing = false;
		if (renewed.isOk) {
			tenure.turn.recordRenewal(sentAt);
		} else if (renewed.error.code === 'lease-ended' && this.#tenure === tenure) {
			this.#tenure = undefined;
			log.warn('weights-lease-lost', {term: tenure.term, reason: describeError(renewed.error)});
		}
	}

	async #elect(): Promise<void> {
		if (this.#isElecting || this.#tenure !== undefined) {
			return;
		}

		const {random, now, hostName: name} = this.#options;
		this.#isElecting = true;
		const seniority = Math.min((now() - this.#startedAt) / seniorAfter, 1) * seniorityPause;
		await pause(seniority + (random.next() * electionSpread));
		while ((this.#holder === undefined || this.#holder === name) && this.#tenure === undefined && !this.#isLeaving) {
			if (!await this.#tryToHold()) {
				await pause(electionSpread * (1 + random.next()));
			}
		}

		this.#isElecting = false;
	}

	/** @returns Whether the lease has a holder now, this host or another. */
	async #tryToHold(): Promise<boolean> {
		const {store, hostName: name, leaseTiming: bounds} = this.#options;
		const last = await store.read(leaseTermKey);
		const held = await store.read(leaseHolderKey);
		if (last.isErr || held.isErr) {
			return false;
		}

		if (held.value !== undefined && held.value.value !== name) {
			this.#holder = held.value.value;
			return true;
		}

		const sentAt = this.#moment();
		const lease = await store.grantLease(bounds.timeToLive);
		if (lease.isErr) {
			return false;
		}

		const before = last.value === undefined ? undefined : this.#readTerm(last.value);
		const term = (before?.term ?? 0) + 1;
		const written = await store.write([
			{
				key: leaseHolderKey, value: name, expectedRevision: held.value?.revision ?? 0, lease: lease.value,
			},
			{key: leaseTermKey, value: JSON.stringify({term, holder: name}), expectedRevision: last.value?.revision ?? 0},
		]);
		if (written.isErr || written.value === undefined) {
			await store.revokeLease(lease.value);
			return false;
		}

		this.#hold({
			lease: lease.value, term, termRevision: written.value, sentAt,
		}, before);
		return true;
	}

	#hold(granted: {readonly lease: number; readonly term: number; readonly termRevision: number; readonly sentAt: ClockReading}, before: TermRecord | undefined): void {
		const {hostName: name, leaseTiming: bounds, log, now} = this.#options;
		const {lease, term, termRevision, sentAt} = granted;
		const isFirst = before === undefined || before.holder === name;
		const ordersIn = isFirst ? 0 : computeHandoverDelay(bounds, before.quiet);
		this.#holder = name;
		this.#tenure = {
			lease, term, termRevision, turn: new LeaseValidity(bounds, sentAt, now() + ordersIn), renewalSentAt: sentAt.steady,
		};
		log.info('weights-lease-held', {
			term, before: before?.holder, quiet: before?.quiet, ordersIn,
		});
	}

	#readTerm(item: StoreItem): TermRecord | undefined {
		const checked = v.safeParse(v.pipe(v.string(), v.parseJson(), termSchema), item.value);
		if (!checked.success) {
			this.#options.log.warn('unreadable', {key: leaseTermKey, reason: checked.issues[0].message, revision: item.revision});
			return undefined;
		}

		return checked.output;
	}
}
