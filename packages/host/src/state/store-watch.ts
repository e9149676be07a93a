import {setTimeout as pause} from 'node:timers/promises';
import {
	type Disposable, type Logger, type Milliseconds, type RandomSource, describeError,
} from '@lacewingpoint/shared';
import type {ControlStore} from '../ports.js';
import type {ClusterState} from './cluster-state.js';

/** How long the store keeps a watch open without changes. A stalled watch is detected after this time plus the client's margin. */
const watchTimeout: Milliseconds = 2000;

/** Bounds of the exponential backoff between attempts while the store does not respond, in milliseconds. */
const retryDelay = {minimum: 50, maximum: 400} as const;

export type StoreWatchOptions = {
	readonly store: ControlStore;
	readonly clusterState: ClusterState;
	readonly log: Logger;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	/** @returns The earliest monotonic time at which data that is read now may have reached this machine. */
	earliestArrival(): Milliseconds;
};

/** Keeps the cluster state synchronized with the store by a full read and a watch. Reads everything again whenever changes may have been missed. */
export class StoreWatch implements Disposable {
	readonly #options: StoreWatchOptions;
	#isStopped = false;
	#needsFullRead = true;
	#revision = 0;
	#isConnected = false;
	#consecutiveFailures = 0;
	#isFollowing = false;
	#isFollowingWanted = false;
	/** Whether the store was restored from a copy since the last full read. */
	#wasRestored = false;
	#interruptWatch: (() => void) | undefined;
	/** Monotonic time up to which all changes have been read; `undefined` before the first read. */
	#readUntil: Milliseconds | undefined;

	constructor(options: StoreWatchOptions) {
		this.#options = options;
	}

	/** Whether the store has responded and has not failed twice in a row since. */
	get isConnected(): boolean {
		return this.#isConnected;
	}

	/** Starts following the store. */
	start(): void {
		this.#isFollowingWanted = true;
		if (!this.#isFollowing && !this.#isStopped) {
			this.#isFollowing = true;
			this.#needsFullRead = true;
			void this.#followStore();
		}
	}

	/** Stops following the store until the next start, because another host passes on its changes. A call under way is completed. */
	pause(): void {
		this.#isFollowingWanted = false;
	}

	/** Reads everything again at once, because the store was restored from a copy. A watch under way is abandoned. */
	handleRestore(): void {
		this.#wasRestored = true;
		this.#interruptWatch?.();
	}

	/** Makes the next call to the store a full read instead of a watch. */
	requestFullRead(): void {
		this.#needsFullRead = true;
	}

	dispose(): void {
		this.#isStopped = true;
		this.#isConnected = false;
	}

	async #followStore(): Promise<void> {
		while (!this.#isStopped && this.#isFollowingWanted) {
			const canContinue = this.#needsFullRead || this.#wasRestored ? await this.#readAll() : await this.#readChanges();
			if (!canContinue && !this.#isStopped) {
				const maximumDelay = Math.min(retryDelay.minimum * (2 ** Math.min(this.#consecutiveFailures, 10)), retryDelay.maximum);
				await pause(maximumDelay * (0.5 + (this.#options.random.next() / 2)));
			}
		}

		this.#isFollowing = false;
		this.#isConnected = false;
		this.#options.clusterState.confirmation.setStoreLost(false);
	}

	/** @returns Whether the next call may follow without a delay. */
	async #readAll(): Promise<boolean> {
		const {store, clusterState, now} = this.#options;
		this.#needsFullRead = false;
		const startedAt = now();
		const batch = await store.readAll();
		if (batch.isErr) {
			this.#needsFullRead = true;
			if (batch.error.code === 'history-lost') {
				return true;
			}

			this.#recordFailure(describeError(batch.error));
			return false;
		}

		this.#recordSuccess();
		this.#wasRestored = false;
		clusterState.apply(batch.value, true, 'store', this.#readUntil);
		this.#revision = batch.value.revision;
		this.#readUntil = startedAt;
		clusterState.confirmation.record(startedAt);
		return true;
	}

	/** @returns Whether the next call may follow without a delay. */
	async #readChanges(): Promise<boolean> {
		const {store, clusterState, now} = this.#options;
		const openedAt = now();
		const interrupted = new Promise<undefined>(resolve => {
			this.#interruptWatch = () => {
				resolve(undefined);
			};
		});
		clusterState.confirmation.openWatch(() => this.#consecutiveFailures === 0 && this.#isConnected ? this.#options.earliestArrival() : Number.NEGATIVE_INFINITY);
		const batch = await Promise.race([store.watch(this.#revision, watchTimeout), interrupted]);
		clusterState.confirmation.closeWatch();
		this.#interruptWatch = undefined;
		if (batch === undefined || this.#wasRestored) {
			return true;
		}

		if (batch.isErr) {
			this.#needsFullRead = true;
			if (batch.error.code !== 'history-lost') {
				this.#recordFailure(describeError(batch.error));
				return this.#consecutiveFailures === 1;
			}

			this.#options.log.info('history-lost', {revision: this.#revision});
			return true;
		}

		this.#recordSuccess();
		// An open watch reports a change at once; one that was opened just before may report an earlier change.
		const arrivedAfter = this.#options.earliestArrival();
		const unchangedUntil = arrivedAfter > openedAt ? arrivedAfter : this.#readUntil;
		this.#readUntil = Math.max(arrivedAfter, openedAt);
		if (batch.value.changes.length > 0 || batch.value.revision > this.#revision) {
			clusterState.apply(batch.value, false, 'store', unchangedUntil);
			this.#revision = Math.max(this.#revision, batch.value.revision);
		}

		clusterState.confirmation.record(this.#readUntil);

		return true;
	}

	// A single failed call may be a broken watch; two in a row mean that the store is unreachable.
	#recordFailure(reason: string): void {
		this.#consecutiveFailures++;
		if (this.#consecutiveFailures === 2) {
			this.#isConnected = false;
			this.#options.clusterState.servers.recordStoreLost();
			this.#options.clusterState.confirmation.setStoreLost(true);
			this.#options.log.warn('store-lost', {reason, revision: this.#revision});
		}
	}

	#recordSuccess(): void {
		if (this.#consecutiveFailures > 0) {
			this.#options.clusterState.servers.recordStoreRecovered(this.#options.now());
		}

		if (!this.#isConnected) {
			this.#isConnected = true;
			this.#options.log.info('store-found', {failures: this.#consecutiveFailures});
		}

		this.#consecutiveFailures = 0;
		this.#options.clusterState.confirmation.setStoreLost(false);
	}
}
