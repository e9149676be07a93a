import type {HostDescription} from '@lacewingpoint/coordination';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {StoreWatch} from './store-watch.js';
import type {ClusterState} from './cluster-state.js';
import {fetchSnapshot} from './peer-snapshots.js';

/** Minimum time between two snapshot requests. */
const minimumSnapshotInterval: Milliseconds = 250;

/** How long the store may take to deliver a change that a peer has announced, before the peer is asked for a snapshot. */
const storeUpdateGrace: Milliseconds = 300;

/** Time between requests to seeds while this host has no configuration. */
const seedRequestInterval: Milliseconds = 300;

/** A host that serves snapshots. */
type SnapshotSource = Pick<HostDescription, 'name' | 'snapshotAddress'>;

export type PeerSynchronizerOptions = {
	readonly clusterState: ClusterState;
	readonly storeWatch: StoreWatch;
	/** Snapshot addresses of some hosts, possibly outdated. */
	readonly seedAddresses: readonly string[];
	readonly log: Logger;
	readonly now: () => Milliseconds;
};

/** Fetches from peers what the store cannot provide: the whole state while it is unreachable, and the ages of target versions. */
export class PeerSynchronizer {
	readonly #options: PeerSynchronizerOptions;
	/** Peers that were asked for the ages of target versions, by name and incarnation. */
	readonly #peersAskedForAges = new Set<string>();
	#lastRequestAt = Number.NEGATIVE_INFINITY;
	#nextSeedIndex = 0;
	#outdatedSince: Milliseconds | undefined;

	constructor(options: PeerSynchronizerOptions) {
		this.#options = options;
	}

	/** Requests a missing configuration from a seed and missing ages from a peer. Called periodically. */
	requestMissingState(): void {
		this.#requestFromSeed();
		this.#requestTargetAges();
	}

	/**
	 * Requests a snapshot from a peer that has announced a newer state, unless the store is expected to deliver it.
	 *
	 * @param peer - The peer's name and snapshot address.
	 * @param configurationVersion - The version of the peer's configuration.
	 */
	handleNewerPeer(peer: SnapshotSource, configurationVersion: number): void {
		const {clusterState, storeWatch, now} = this.#options;
		if (storeWatch.isConnected && clusterState.configuration !== undefined) {
			this.#outdatedSince ??= now();
			if (now() - this.#outdatedSince < storeUpdateGrace || configurationVersion <= clusterState.configuration.version) {
				return;
			}
		}

		if (now() - this.#lastRequestAt >= minimumSnapshotInterval) {
			this.#outdatedSince = undefined;
			void this.#fetchAndApply(peer);
		}
	}

	// The store holds the target versions but not their ages; a peer that has run for longer knows those.
	#requestTargetAges(): void {
		const {clusterState, now} = this.#options;
		if (!clusterState.weightsTracker.hasAssumedAges || now() - this.#lastRequestAt < minimumSnapshotInterval) {
			return;
		}

		const keyOf = ({name, incarnation}: HostDescription) => `${name} ${incarnation}`;
		const peer = clusterState.hosts.listServing(now()).find(candidate => !this.#peersAskedForAges.has(keyOf(candidate)));
		if (peer !== undefined) {
			this.#peersAskedForAges.add(keyOf(peer));
			void this.#fetchAndApply(peer);
		}
	}

	// A host that starts during a store outage knows no peers, so it uses the seeds from its settings.
	#requestFromSeed(): void {
		const {clusterState, seedAddresses, now} = this.#options;
		const seed = seedAddresses[this.#nextSeedIndex % seedAddresses.length];
		if (clusterState.configuration === undefined && seed !== undefined && now() - this.#lastRequestAt >= seedRequestInterval) {
			this.#nextSeedIndex++;
			void this.#fetchAndApply({name: seed, snapshotAddress: seed});
		}
	}

	async #fetchAndApply(peer: SnapshotSource): Promise<void> {
		const {clusterState, log, now} = this.#options;
		const requestedAt = now();
		this.#lastRequestAt = requestedAt;
		const snapshot = await fetchSnapshot(peer.snapshotAddress);
		if (snapshot.isErr) {
			log.info('snapshot-failed', {peer: peer.name, reason: snapshot.error.message});
			return;
		}

		const transferTime = now() - requestedAt;
		const changes = snapshot.value.changes.map(change => change.type === 'weights' && change.age !== undefined ? {...change, age: change.age + transferTime} : change);
		clusterState.apply({...snapshot.value, changes}, true, peer.name);
	}
}
