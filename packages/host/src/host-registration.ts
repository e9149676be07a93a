import type {HostDescription} from '@lacewingpoint/coordination';
import {
	type Disposable, type Logger, type Milliseconds, describeError, startRepeatingTask,
} from '@lacewingpoint/shared';
import type {ControlStore} from './ports.js';

/** A host that dies is listed this long; datagrams tell sooner that it is silent. */
const listedFor: Milliseconds = 15_000;

const renewalInterval: Milliseconds = 4000;

/** Pause between tries while the store does not answer. */
const retryInterval: Milliseconds = 500;

/** Keeps this host listed in the store under a lease. */
export class HostRegistration implements Disposable {
	readonly #store: ControlStore;
	readonly #description: HostDescription;
	readonly #log: Logger;
	readonly #now: () => Milliseconds;
	#lease: number | undefined;
	#renewedAt = 0;
	#task: Disposable | undefined;

	constructor(store: ControlStore, description: HostDescription, log: Logger, now: () => Milliseconds) {
		this.#store = store;
		this.#description = description;
		this.#log = log;
		this.#now = now;
	}

	/** Starts listing. */
	start(): void {
		this.#task = startRepeatingTask(retryInterval, async () => this.#keepListed(), error => {
			this.#log.warn('registration-failed', {reason: String(error)});
		});
	}

	/** Ends the listing; the host is about to leave. */
	async release(): Promise<void> {
		void this.#task?.dispose();
		if (this.#lease !== undefined) {
			await this.#store.revokeLease(this.#lease);
		}
	}

	async dispose(): Promise<void> {
		await this.#task?.dispose();
	}

	async #keepListed(): Promise<void> {
		if (this.#lease !== undefined) {
			if (this.#now() - this.#renewedAt < renewalInterval) {
				return;
			}

			const renewed = await this.#store.renewLease(this.#lease);
			if (renewed.isOk) {
				this.#renewedAt = this.#now();
				return;
			}

			if (renewed.error.code !== 'lease-ended') {
				return;
			}

			this.#log.info('registration-lapsed', {reason: describeError(renewed.error)});
			this.#lease = undefined;
		}

		const lease = await this.#store.grantLease(listedFor);
		if (lease.isErr) {
			return;
		}

		const announced = await this.#store.registerHost(this.#description, lease.value);
		if (announced.isOk) {
			this.#lease = lease.value;
			this.#renewedAt = this.#now();
			this.#log.info('registered', {lease: lease.value});
		}
	}
}
