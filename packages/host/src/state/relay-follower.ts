import type {HostDescription} from '@lacewingpoint/coordination';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {HostMessage} from '../members/host-messages.js';
import type {ClusterState} from './cluster-state.js';
import type {PeerClient} from './peer-snapshots.js';

/** Minimum time between two requests to the relay. */
const minimumRequestInterval: Milliseconds = 100;

/**
 * Keeps the cluster state of a member up to date. The relay pushes small changes, each with the state version to which it leads; the
 * member requests the others, and whatever it has missed.
 */
export class RelayFollower {
	readonly #clusterState: ClusterState;
	readonly #peerClient: PeerClient;
	readonly #log: Logger;
	readonly #now: () => Milliseconds;
	#relay = '';
	#stateVersion: number | undefined;
	#isRequesting = false;
	#lastRequestAt = Number.NEGATIVE_INFINITY;

	constructor(clusterState: ClusterState, peerClient: PeerClient, log: Logger, now: () => Milliseconds) {
		this.#clusterState = clusterState;
		this.#peerClient = peerClient;
		this.#log = log;
		this.#now = now;
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
		}

		for (const {version, change} of message.updates) {
			if (this.#stateVersion !== undefined && version === this.#stateVersion + 1) {
				this.#clusterState.apply({changes: [change], revision: change.revision}, false, relay.name);
				this.#stateVersion = version;
			}
		}

		if (message.stateVersion === undefined) {
			return;
		}

		if (this.#stateVersion === message.stateVersion) {
			// Revisions also count changes that are not part of the cluster state.
			this.#clusterState.confirmRevision(message.revision);
			return;
		}

		const isOutdated = this.#stateVersion === undefined || this.#stateVersion < message.stateVersion;
		if (isOutdated && !this.#isRequesting && this.#now() - this.#lastRequestAt >= minimumRequestInterval) {
			void this.#requestChanges(relay, relayKey);
		}
	}

	async #requestChanges(relay: HostDescription, relayKey: string): Promise<void> {
		this.#isRequesting = true;
		this.#lastRequestAt = this.#now();
		const response = await this.#peerClient.fetchChanges(relay.snapshotAddress, {
			configuration: this.#clusterState.configuration?.version ?? 0, stateVersion: this.#stateVersion ?? 0,
		});
		this.#isRequesting = false;
		if (response.isErr) {
			this.#log.info('snapshot-failed', {peer: relay.name, reason: response.error.message});
			return;
		}

		if (relayKey === this.#relay) {
			this.#clusterState.applyMissing(response.value, relay.name);
			this.#stateVersion = response.value.stateVersion;
		}
	}
}
