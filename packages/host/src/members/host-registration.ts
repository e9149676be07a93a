import type {HostDescription} from '@lacewingpoint/coordination';
import {
	type Disposable, type Logger, type Milliseconds, describeError, startRepeatingTask,
} from '@lacewingpoint/shared';
import type {ControlStore} from '../ports.js';

/** How long a crashed relay stays listed in the store; its peers detect the missing heartbeats earlier. */
const registrationTimeToLive: Milliseconds = 15_000;

/** Short, because a renewal also shows that the store was restored from a copy and has lost the registration. */
const renewalInterval: Milliseconds = 1500;

/** Interval of checks for a due renewal, and of attempts while the store does not respond. */
const retryInterval: Milliseconds = 500;

/** Keeps this host registered in the store under a lease while it is a relay. */
export class HostRegistration implements Disposable {
	readonly #store: ControlStore;
	readonly #description: HostDescription;
	readonly #log: Logger;
	readonly #now: () => Milliseconds;
	#lease: number | undefined;
	#renewedAt = 0;
	#maintenanceTask: Disposable | undefined;

	constructor(store: ControlStore, description: HostDescription, log: Logger, now: () => Milliseconds) {
		this.#store = store;
		this.#description = description;
		this.#log = log;
		this.#now = now;
	}

	/** Starts to register the host and to renew its lease. */
	start(): void {
		this.#maintenanceTask ??= startRepeatingTask(retryInterval, async () => this.#maintainRegistration(), error => {
			this.#log.warn('registration-failed', {reason: String(error)});
		});
	}

	/** Registers again with a new lease, because the store has lost the registration. */
	registerAgain(): void {
		this.#lease = undefined;
	}

	/** Stops renewing and revokes the lease, so that the host is no longer listed. */
	async release(): Promise<void> {
		const task = this.#maintenanceTask;
		this.#maintenanceTask = undefined;
		void task?.dispose();
		const lease = this.#lease;
		this.#lease = undefined;
		if (lease !== undefined) {
			await this.#store.revokeLease(lease);
		}
	}

	async dispose(): Promise<void> {
		await this.#maintenanceTask?.dispose();
	}

	async #maintainRegistration(): Promise<void> {
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

		const {era} = this.#store;
		const lease = await this.#store.grantLease(registrationTimeToLive);
		if (lease.isErr) {
			return;
		}

		const registered = await this.#store.registerHost(this.#description, lease.value);
		if (registered.isOk && this.#store.era === era) {
			this.#lease = lease.value;
			this.#renewedAt = this.#now();
			this.#log.info('registered', {lease: lease.value});
		}
	}
}
