import type {HostDescription} from '@lacewingpoint/coordination';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from './cluster-state.js';
import type {PeerClient} from './peer-snapshots.js';

/** Minimum time between two snapshot requests. */
const minimumSnapshotInterval: Milliseconds = 250;

/** How long the store, or the relay that reads it, may take to deliver a change that a peer has announced, before the peer is asked for a snapshot. */
const storeUpdateGrace: Milliseconds = 300;

/** Time between requests to seeds while this host has no configuration; it doubles with each request, as the seeds may not have one either. */
const seedRequestInterval = {first: 300, longest: 2400} as const;

/** A host that serves snapshots. */
type SnapshotSource = Pick<HostDescription, 'name' | 'snapshotAddress'>;

/** The versions that a peer's message states. */
export type AnnouncedState = {readonly configuration: number; readonly revision: number};

export type PeerSynchronizerOptions = {
	readonly clusterState: ClusterState;
	readonly peerClient: PeerClient;
	/** Snapshot addresses of some hosts, possibly outdated. */
	readonly seedAddresses: readonly string[];
	readonly log: Logger;
	readonly now: () => Milliseconds;
	/** @returns Whether this host reads the store and has contact to it. */
	hasStoreContact(): boolean;
	/** @returns Whether another relay, which reads the store, passes on its changes. */
	isFollowing(): boolean;
	/** @returns Whether that relay has announced a state, so that this host gets it from there. */
	isAnnouncedBySource(state: AnnouncedState): boolean;
	/** @returns Peers that have run for some time and respond. */
	peers(): readonly HostDescription[];
};

/** Fetches from peers what the store cannot provide: the whole state while it is unreachable, and the ages of target versions. */
export class PeerSynchronizer {
	readonly #options: PeerSynchronizerOptions;
	/** Peers that were asked for the ages of target versions, by name and incarnation. */
	readonly #peersAskedForAges = new Set<string>();
	/** The target versions of which these peers were asked for the ages. */
	#assumedTargets = '';
	#lastRequestAt = Number.NEGATIVE_INFINITY;
	#isRequesting = false;
	#nextSeedIndex = 0;
	/** The announced state that this host has lacked for the longest time. */
	#missing: {readonly since: Milliseconds; readonly announced: AnnouncedState} | undefined;

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
	 * @param announced - The state that the peer has announced.
	 */
	handleNewerPeer(peer: SnapshotSource, announced: AnnouncedState): void {
		const {clusterState, now} = this.#options;
		const hasStoreContact = this.#options.hasStoreContact();
		const isFollowing = this.#options.isFollowing();
		if (isFollowing && this.#options.isAnnouncedBySource(announced)) {
			return;
		}

		const hasSource = hasStoreContact || isFollowing;
		if (hasSource && clusterState.configuration !== undefined) {
			if (this.#missing === undefined || this.#hasReached(this.#missing.announced)) {
				this.#missing = {since: now(), announced};
			}

			const isSourceDue = now() - this.#missing.since >= storeUpdateGrace;
			// A connected watch delivers the changes of servers; what another relay reads may not be missing for long.
			if (!isSourceDue || (hasStoreContact && announced.configuration <= clusterState.configuration.version)) {
				return;
			}
		}

		if (!this.#isRequesting && now() - this.#lastRequestAt >= minimumSnapshotInterval) {
			this.#missing = undefined;
			void this.#fetchAndApply(peer);
		}
	}

	#hasReached({configuration, revision}: AnnouncedState): boolean {
		const {clusterState} = this.#options;
		return (clusterState.configuration?.version ?? 0) >= configuration && clusterState.revision >= revision;
	}

	// The store holds the target versions but not their ages; a peer that has run for longer knows those.
	#requestTargetAges(): void {
		const {clusterState, now} = this.#options;
		const assumedTargets = clusterState.weightsTracker.listAssumedTargets().join(' ');
		if (assumedTargets !== this.#assumedTargets) {
			this.#assumedTargets = assumedTargets;
			this.#peersAskedForAges.clear();
		}

		if (assumedTargets === '' || now() - this.#lastRequestAt < minimumSnapshotInterval) {
			return;
		}

		const keyOf = ({name, incarnation}: HostDescription) => `${name} ${incarnation}`;
		const peer = this.#options.peers().find(candidate => !this.#peersAskedForAges.has(keyOf(candidate)));
		if (peer !== undefined) {
			this.#peersAskedForAges.add(keyOf(peer));
			void this.#fetchAndApply(peer);
		}
	}

	// A host that starts during a store outage knows no peers, so it uses the seeds from its settings.
	#requestFromSeed(): void {
		const {clusterState, seedAddresses, now} = this.#options;
		const seed = seedAddresses[this.#nextSeedIndex % seedAddresses.length];
		const interval = Math.min(seedRequestInterval.first * (2 ** this.#nextSeedIndex), seedRequestInterval.longest);
		if (clusterState.configuration === undefined && seed !== undefined && now() - this.#lastRequestAt >= interval) {
			this.#nextSeedIndex++;
			void this.#fetchAndApply({name: seed, snapshotAddress: seed});
		}
	}

	async #fetchAndApply(peer: SnapshotSource): Promise<void> {
		const {clusterState, peerClient, log, now} = this.#options;
		this.#lastRequestAt = now();
		this.#isRequesting = true;
		const snapshot = await peerClient.fetchSnapshot(peer.snapshotAddress);
		this.#isRequesting = false;
		if (snapshot.isErr) {
			log.info('snapshot-failed', {peer: peer.name, reason: snapshot.error.message});
			return;
		}

		clusterState.apply(snapshot.value, true, peer.name);
	}
}
