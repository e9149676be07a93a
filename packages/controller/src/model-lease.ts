import {type KeyValueService, keyPrefixes} from '@lacewingpoint/platform';
import type {Milliseconds} from '@lacewingpoint/shared';

export type ModelLeaseOptions = {
	readonly holder: string;
	readonly model: string;
	readonly timeToLive: Milliseconds;
	/** Time after which a holder that was paused at its last order must have stopped. */
	readonly pauseMargin: Milliseconds;
};

/** The right to order one model's engines about: a lease in the store, with the revision of its key as fencing number. */
export class ModelLease {
	readonly #store: KeyValueService;
	readonly #options: ModelLeaseOptions;
	readonly #now: () => Milliseconds;
	#lease: string | undefined;
	#fencing = 0;
	#acquiredAt = 0;
	#validUntil = 0;

	constructor(store: KeyValueService, options: ModelLeaseOptions, now: () => Milliseconds) {
		this.#store = store;
		this.#options = options;
		this.#now = now;
	}

	/** The fencing number of the orders given under this lease; it grows with every change of holder. */
	get fencing(): number {
		return this.#fencing;
	}

	/** True while the lease cannot have lapsed, judged at the moment of the question. */
	get isHeld(): boolean {
		return this.#lease !== undefined && this.#now() < this.#validUntil;
	}

	/** True once an earlier holder must have stopped, even if it was paused between its check and its order. */
	get isSettled(): boolean {
		return this.isHeld && this.#now() - this.#acquiredAt >= this.#options.pauseMargin;
	}

	/** Renews the lease, or tries to take it. */
	async keep(): Promise<void> {
		const startedAt = this.#now();
		if (this.#lease === undefined) {
			await this.#acquire(startedAt);
			return;
		}

		const renewed = await this.#store.renewLease(this.#lease);
		if (renewed.isOk) {
			// Counted from before the call, so that it ends here no later than in the store.
			this.#validUntil = startedAt + this.#options.timeToLive;
		} else if (renewed.error.code === 'lease-lost' || !this.isHeld) {
			this.#lease = undefined;
		}
	}

	/** Gives the lease up, so that another controller need not wait for it to lapse. */
	async release(): Promise<void> {
		const lease = this.#lease;
		this.#lease = undefined;
		if (lease !== undefined) {
			await this.#store.revokeLease(lease);
		}
	}

	async #acquire(startedAt: Milliseconds): Promise<void> {
		const key = `${keyPrefixes.controllers}${this.#options.model}`;
		const held = await this.#store.list(key);
		if (held.isErr || held.value.entries.some(entry => entry.key === key)) {
			return;
		}

		const lease = await this.#store.grantLease(this.#options.timeToLive);
		if (lease.isErr) {
			return;
		}

		const written = await this.#store.compareAndSwap([{
			key, value: this.#options.holder, expected: 0, lease: lease.value,
		}]);
		if (written.isOk && written.value.type === 'written') {
			this.#lease = lease.value;
			this.#fencing = written.value.revision;
			this.#acquiredAt = this.#now();
			this.#validUntil = startedAt + this.#options.timeToLive;
		} else {
			// Lost, or taken with its answer lost: either way the lease goes, and its key with it.
			await this.#store.revokeLease(lease.value);
		}
	}
}
