import {setTimeout as pause} from 'node:timers/promises';
import {type LeaseTiming, computeRestoreDelay, createLeaseTiming} from '@lacewingpoint/coordination';
import {createSeededRandom, silentLogger} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {ControlStore, RestoreListener, StoreItem} from '../src/index.js';
import {WeightsLease, leaseHolderKey} from '../src/weights/weights-lease.js';

const test = suite('WeightsLease');
const timing: LeaseTiming = createLeaseTiming(3000, 1000, 400);

type StoredItem = StoreItem & {readonly lease: number};

/** A store in memory that can be restored from a copy. Leases end only with a restore or when they are revoked. */
class MemoryStore {
	era = 1;
	#items = new Map<string, StoredItem>();
	#revision = 1;
	#nextLease = 1;
	#leases = new Set<number>();
	readonly #listeners: RestoreListener[] = [];

	copy() {
		return {items: new Map(this.#items), leases: new Set(this.#leases)};
	}

	restore(copy: ReturnType<MemoryStore['copy']>): void {
		this.#items = new Map(copy.items);
		this.#leases = new Set(copy.leases);
		this.era++;
		for (const listener of this.#listeners) {
			listener(this.era, this.era - 1);
		}
	}

	holder(): string | undefined {
		return this.#items.get(leaseHolderKey)?.value;
	}

	/** The store as a host sees it, without the calls that a lease does not need. */
	connect(): ControlStore {
		const unused = async () => Result.err({layer: 'platform', code: 'refused', message: 'not used'} as const);
		const readEra = () => this.era;
		return {
			get era() {
				return readEra();
			},
			onRestored: listener => this.#listeners.push(listener),
			read: async key => Result.ok(this.#items.get(key)),
			write: async writes => {
				if (writes.some(({key, expectedRevision}) => (this.#items.get(key)?.revision ?? 0) !== expectedRevision)) {
					return Result.ok(undefined);
				}

				this.#revision++;
				for (const {key, value, lease} of writes) {
					this.#items.set(key, {value, revision: this.#revision, lease: lease ?? 0});
				}

				return Result.ok(this.#revision);
			},
			grantLease: async () => {
				this.#leases.add(this.#nextLease);
				return Result.ok(this.#nextLease++);
			},
			renewLease: async lease => this.#leases.has(lease) ? Result.ok(undefined) : Result.err({layer: 'platform', code: 'lease-ended', message: 'ended'}),
			revokeLease: async lease => {
				this.#leases.delete(lease);
				this.#items = new Map([...this.#items].filter(([, item]) => item.lease !== lease));
				return Result.ok(undefined);
			},
			readAll: unused,
			watch: unused,
			registerHost: unused,
		};
	}
}

type Candidate = {readonly lease: WeightsLease; readonly advance: (time: number) => void};

function createCandidate(store: MemoryStore, hostName: string): Candidate {
	let offset = 0;
	const now = () => performance.now() + offset;
	const connection = store.connect();
	const lease = new WeightsLease({
		hostName, leaseTiming: timing, store: connection, log: silentLogger, random: createSeededRandom(7), now, wallClock: now,
	});
	connection.onRestored(era => {
		lease.handleRestore(era);
	});
	return {
		lease,
		advance(time) {
			offset += time;
		},
	};
}

async function waitForTerm(lease: WeightsLease, previousTerm = 0): Promise<number> {
	for (let attempt = 0; attempt < 200; attempt++) {
		if (lease.term !== undefined && lease.term > previousTerm) {
			return lease.term;
		}

		await pause(10);
	}

	throw new Error('the lease was not acquired in time');
}

/** Lets time pass for a holder, which renews its lease meanwhile. */
async function passTime({lease, advance}: Candidate, time: number): Promise<void> {
	for (let passed = 0; passed < time; passed += timing.renewalInterval) {
		advance(timing.renewalInterval);
		lease.renewOrExpire();
		await pause(1);
	}
}

test('a holder gives no orders after a restore until it holds the lease again, under a higher term', async () => {
	const store = new MemoryStore();
	const copy = store.copy();
	const candidate = createCandidate(store, 'a');
	const {lease} = candidate;
	lease.updateHolder(undefined);
	const term = await waitForTerm(lease);
	// The store shows no term, but this process cannot know whether it was restored before.
	assert.not.ok(lease.mayGiveOrders);
	await passTime(candidate, computeRestoreDelay(timing));
	assert.ok(lease.mayGiveOrders);
	store.restore(copy);
	assert.not.ok(lease.mayGiveOrders);
	assert.is(lease.term, undefined);
	assert.ok(await waitForTerm(lease, term) > term);
	assert.ok(lease.mayGiveOrders);
});

test('another host that takes the lease after a restore waits until the last holder has stopped, whatever the copy says', async () => {
	for (const isCopyEmpty of [true, false]) {
		const store = new MemoryStore();
		const first = createCandidate(store, 'a');
		const second = createCandidate(store, 'b');
		const emptyCopy = store.copy();
		first.lease.updateHolder(undefined);
		const term = await waitForTerm(first.lease);
		await first.lease.release();
		// The copy names `a` as the last holder; the last holder was `b`.
		const copy = isCopyEmpty ? emptyCopy : store.copy();
		second.lease.updateHolder(undefined);
		const secondTerm = await waitForTerm(second.lease, term);
		second.lease.stopCampaigning();
		store.restore(copy);
		const third = createCandidate(store, 'a');
		third.lease.handleRestore(store.era);
		third.lease.updateHolder(undefined);
		assert.ok(await waitForTerm(third.lease, secondTerm) > secondTerm);
		assert.is(store.holder(), 'a');
		assert.not.ok(third.lease.mayGiveOrders);
		third.advance(computeRestoreDelay(timing) - 200);
		third.lease.renewOrExpire();
		assert.not.ok(third.lease.mayGiveOrders);
	}
});

test('the delay after a restore covers the validity of the last holder, its last operation and the gap between holders', () => {
	assert.ok(computeRestoreDelay(timing) >= timing.handoverGap + timing.validityWindow + timing.operationTimeout);
});

// Guards against a host that orders at once after its restart, because it takes its own name in the record for proof that no other host did.
test('a host that was killed while it waited for the holder before waits again', async () => {
	const store = new MemoryStore();
	const first = createCandidate(store, 'a');
	first.lease.updateHolder(undefined);
	const term = await waitForTerm(first.lease);
	await passTime(first, computeRestoreDelay(timing));
	assert.ok(first.lease.mayGiveOrders);
	first.lease.recordOrder();
	await first.lease.release();
	const killed = createCandidate(store, 'b');
	killed.lease.updateHolder(undefined);
	const secondTerm = await waitForTerm(killed.lease, term);
	killed.lease.stopCampaigning();
	const restarted = createCandidate(store, 'b');
	restarted.lease.updateHolder('b');
	await waitForTerm(restarted.lease, secondTerm);
	assert.not.ok(restarted.lease.mayGiveOrders);
	await passTime(restarted, timing.handoverGap - timing.renewalInterval);
	assert.not.ok(restarted.lease.mayGiveOrders);
	await passTime(restarted, computeRestoreDelay(timing));
	assert.ok(restarted.lease.mayGiveOrders);
	// Having waited, it need not wait after its next restart.
	const again = createCandidate(store, 'b');
	restarted.lease.stopCampaigning();
	again.lease.updateHolder('b');
	await waitForTerm(again.lease, restarted.lease.term);
	assert.ok(again.lease.mayGiveOrders);
});

// Guards against orders soon after those of an earlier holder, when the one between releases the lease without having given any.
test('a holder that releases the lease before it may order hands on the time since the orders of the one before', async () => {
	const store = new MemoryStore();
	const holders = ['a', 'b', 'c'].map(name => createCandidate(store, name));
	const [first, second, third] = holders as [Candidate, Candidate, Candidate];
	first.lease.updateHolder(undefined);
	let term = await waitForTerm(first.lease);
	await passTime(first, computeRestoreDelay(timing));
	first.lease.recordOrder();
	await first.lease.release();
	second.lease.updateHolder(undefined);
	term = await waitForTerm(second.lease, term);
	await passTime(second, 800);
	await second.lease.release();
	third.lease.updateHolder(undefined);
	await waitForTerm(third.lease, term);
	await passTime(third, timing.handoverGap - 800 - timing.renewalInterval);
	assert.not.ok(third.lease.mayGiveOrders);
	await passTime(third, 2 * timing.renewalInterval);
	assert.ok(third.lease.mayGiveOrders);
});

test.run();
