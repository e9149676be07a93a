import type {HostDescription} from '@lacewingpoint/coordination';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {HostMessage} from '../members/host-messages.js';
import type {ClusterState} from './cluster-state.js';
import type {PeerClient} from './peer-snapshots.js';
import {addTransferTime} from './transfer-time.js';

/** Time between two requests to the relay; it doubles with each failed one. */
const requestInterval = {shortest: 100, longest: 1600} as const;

export type RelayFollowerOptions = {
	readonly clusterState: ClusterState;
	readonly peerClient: PeerClient;
	readonly log: Logger;
	readonly now: () => Milliseconds;
	/** @returns The earliest monotonic time at which data that is read now may have reached this machine. */
	readonly earliestArrival: () => Milliseconds;
};

/**
 * Keeps the cluster state of a member up to date. The relay pushes small changes, each with the state version to which it leads; the
 * member requests the others, and whatever it has missed.
 */
export class RelayFollower {
	readonly #options: RelayFollowerOptions;
	#relay = '';
	#stateVersion: number | undefined;
	#isRequesting = false;
	#lastRequestAt = Number.NEGATIVE_INFINITY;
	#consecutiveFailures = 0;
	/** The versions in the latest message of the relay. */
	#announced = {configuration: 0, revision: 0};

	constructor(options: RelayFollowerOptions) {
		this.#options = options;
	}

	/**
	 * Tells whether the relay has announced a state, so that this host gets it from there.
	 *
	 * @param state - The versions of the state.
	 * @param state.configuration - Version of the configuration.
	 * @param state.revision - The store revision.
	 * @returns Whether the relay's latest message states these versions or newer ones.
	 */
	isAnnounced({configuration, revision}: {readonly configuration: number; readonly revision: number}): boolean {
		return this.#announced.configuration >= configuration && this.#announced.revision >= revision;
	}

	/** Requests the whole state with the next message, because messages may have been missed. */
	requestFullState(): void {
		this.#stateVersion = undefined;
	}

	/**
	 * Applies the changes of a message of the relay, and requests those that it does not contain.
	 *
	 * @param relay - The relay that sent the message.
	 * @param message - The message.
	 */
	handleMessage(relay: HostDescription, message: HostMessage): void {
		const relayKey = `${relay.name} ${relay.incarnation}`;
		if (relayKey !== this.#relay) {
			this.#relay = relayKey;
			this.#stateVersion = undefined;
			this.#consecutiveFailures = 0;
		}

		const {clusterState, now, earliestArrival} = this.#options;
		this.#announced = {configuration: message.configuration, revision: message.revision};
		for (const {version, change} of message.updates) {
			if (this.#stateVersion !== undefined && version === this.#stateVersion + 1) {
				clusterState.apply({changes: [addTransferTime(change, now() - earliestArrival())], revision: change.revision}, false, relay.name);
				this.#stateVersion = version;
			}
		}

		if (message.stateVersion === undefined) {
			return;
		}

		if (this.#stateVersion === message.stateVersion) {
			// Revisions also count changes that are not part of the cluster state.
			clusterState.confirmRevision(message.revision);
			clusterState.confirmation.record(earliestArrival());
			return;
		}

		const isOutdated = this.#stateVersion === undefined || this.#stateVersion < message.stateVersion;
		const interval = Math.min(requestInterval.shortest * (2 ** this.#consecutiveFailures), requestInterval.longest);
		if (isOutdated && !this.#isRequesting && now() - this.#lastRequestAt >= interval) {
			void this.#requestChanges(relay, relayKey);
		}
	}

	async #requestChanges(relay: HostDescription, relayKey: string): Promise<void> {
		const {clusterState, peerClient, log, now} = this.#options;
		this.#isRequesting = true;
		const requestedAt = now();
		this.#lastRequestAt = requestedAt;
		const response = await peerClient.fetchChanges(relay.snapshotAddress, {
			configuration: clusterState.configuration?.version ?? 0, stateVersion: this.#stateVersion ?? 0,
		});
		this.#isRequesting = false;
		this.#consecutiveFailures = response.isErr ? this.#consecutiveFailures + 1 : 0;
		if (response.isErr) {
			log.info('snapshot-failed', {peer: relay.name, reason: response.error.message});
			return;
		}

		if (relayKey === this.#relay) {
			clusterState.applyMissing(response.value, relay.name);
			this.#stateVersion = response.value.stateVersion;
			clusterState.confirmation.record(requestedAt);
		}
	}
}
