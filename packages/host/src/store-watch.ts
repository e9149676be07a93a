import {setTimeout as pause} from 'node:timers/promises';
import {
	type Disposable, type Logger, type Milliseconds, type RandomSource, describeError,
} from '@lacewingpoint/shared';
import type {ClusterState} from './cluster-state.js';
import type {ControlStore} from './ports.js';

/** How long the store holds a watch: a watch that has gone silent is noticed after this and the client's margin. */
const watchWait: Milliseconds = 2000;

/** Pauses between tries while the store does not answer. */
const retryPause = {shortest: 50, longest: 400} as const;

/** A step of the steady clock or of the time of day beyond this means that the process stood still or the time was set. */
const jump: Milliseconds = 700;

const jumpCheckInterval: Milliseconds = 100;

/** A suspension looks like a time of day that was set ahead; a longer step is taken for the latter. */
const longestSuspension: Milliseconds = 20_000;

export type StoreWatchOptions = {
	readonly store: ControlStore;
	readonly clusterState: ClusterState;
	readonly log: Logger;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	readonly wallClock: () => Milliseconds;
	/** Called with the time that passed on the time of day and not on the steady clock. */
	onSuspended(time: Milliseconds): void;
};

/** Keeps the beliefs in step with the store: reads all, then watches; reads all again whenever changes may have been missed. */
export class StoreWatch implements Disposable {
	readonly #options: StoreWatchOptions;
	#isStopped = false;
	#mustReadAll = true;
	#revision = 0;
	#isInContact = false;
	#failures = 0;
	#jumpTimer: NodeJS.Timeout | undefined;

	constructor(options: StoreWatchOptions) {
		this.#options = options;
	}

	get isConnected(): boolean {
		return this.#isInContact;
	}

	/** Starts watching. */
	start(): void {
		void this.#run();
		const {now, wallClock} = this.#options;
		let lastSteady = now();
		let lastWall = wallClock();
		this.#jumpTimer = setInterval(() => {
			const steady = now() - lastSteady;
			const wall = wallClock() - lastWall;
			lastSteady = now();
			lastWall = wallClock();
			if (steady > jump || Math.abs(wall - steady) > jump) {
				this.#options.log.info('clock-jump', {steady, wall});
				if (wall > steady) {
					this.#options.onSuspended(Math.min(wall - steady, longestSuspension));
				}

				this.requestFullRead();
			}
		}, jumpCheckInterval);
	}

	/** Reads everything before the next watch. */
	requestFullRead(): void {
		this.#mustReadAll = true;
	}

	dispose(): void {
		this.#isStopped = true;
		this.#isInContact = false;
		clearInterval(this.#jumpTimer);
	}

	async #run(): Promise<void> {
		while (!this.#isStopped) {
			const isDone = this.#mustReadAll ? await this.#readAll() : await this.#watch();
			if (!isDone && !this.#isStopped) {
				const longest = Math.min(retryPause.shortest * (2 ** Math.min(this.#failures, 10)), retryPause.longest);
				await pause(longest * (0.5 + (this.#options.random.next() / 2)));
			}
		}
	}

	async #readAll(): Promise<boolean> {
		const {store, clusterState: beliefs} = this.#options;
		this.#mustReadAll = false;
		const reading = await store.readAll();
		if (reading.isErr) {
			this.#mustReadAll = true;
			this.#lost(describeError(reading.error));
			return false;
		}

		this.#found();
		beliefs.apply(reading.value, true, 'store');
		this.#revision = reading.value.revision;
		return true;
	}

	async #watch(): Promise<boolean> {
		const {store, clusterState: beliefs} = this.#options;
		const reading = await store.watch(this.#revision, watchWait);
		if (reading.isErr) {
			this.#mustReadAll = true;
			if (reading.error.code !== 'history-lost') {
				this.#lost(describeError(reading.error));
				return this.#failures === 1;
			}

			this.#options.log.info('history-lost', {revision: this.#revision});
			return true;
		}

		this.#found();
		if (reading.value.changes.length > 0 || reading.value.revision > this.#revision) {
			beliefs.apply(reading.value, false, 'store');
			this.#revision = Math.max(this.#revision, reading.value.revision);
		}

		return true;
	}

	// One failed call may be a cut watch; the second in a row means that the store is away.
	#lost(reason: string): void {
		this.#failures++;
		if (this.#failures === 2) {
			this.#isInContact = false;
			this.#options.clusterState.servers.recordStoreLost();
			this.#options.log.warn('store-lost', {reason, revision: this.#revision});
		}
	}

	#found(): void {
		if (this.#failures > 0) {
			this.#options.clusterState.servers.recordStoreRecovered(this.#options.now());
		}

		if (!this.#isInContact) {
			this.#isInContact = true;
			this.#options.log.info('store-found', {failures: this.#failures});
		}

		this.#failures = 0;
	}
}
