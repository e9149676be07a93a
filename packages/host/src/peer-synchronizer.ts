import type {HostDescription} from '@lacewingpoint/coordination';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {StoreWatch} from './store-watch.js';
import type {ClusterState} from './cluster-state.js';
import {fetchSnapshot} from './peer-snapshots.js';

/** A snapshot is asked for at most this often. */
const snapshotInterval: Milliseconds = 250;

/** A peer that is ahead by its datagrams alone is asked when the store has not told the same within this time. */
const behindPatience: Milliseconds = 300;

/** How often a host that knows no configuration asks a seed for one. */
const seedInterval: Milliseconds = 300;

/** Whom to ask. */
type Informant = Pick<HostDescription, 'name' | 'snapshotAddress'>;

export type PeerSynchronizerOptions = {
	readonly clusterState: ClusterState;
	readonly storeWatch: StoreWatch;
	/** Snapshot addresses of some hosts, perhaps stale. */
	readonly seedAddresses: readonly string[];
	readonly log: Logger;
	readonly now: () => Milliseconds;
};

/** Learns from peers what the store does not tell: everything while it is away, and since when weights have been named. */
export class PeerSynchronizer {
	readonly #options: PeerSynchronizerOptions;
	/** Peers, with their starts, that were asked since when weights have been named. */
	readonly #askedForAges = new Set<string>();
	#lastAskedAt = Number.NEGATIVE_INFINITY;
	#seedTurn = 0;
	#behindSince: Milliseconds | undefined;

	constructor(options: PeerSynchronizerOptions) {
		this.#options = options;
	}

	/** Asks whoever may know what is missing; run each tick. */
	requestMissingState(): void {
		this.#askSeed();
		this.#askForAges();
	}

	/**
	 * Notes that a peer knows more.
	 *
	 * @param peer - The peer.
	 * @param configuration - The version of its configuration.
	 */
	handleNewerPeer(peer: Informant, configuration: number): void {
		const {clusterState: beliefs, storeWatch: watch, now} = this.#options;
		if (watch.isConnected && beliefs.configuration !== undefined) {
			this.#behindSince ??= now();
			if (now() - this.#behindSince < behindPatience || configuration <= beliefs.configuration.version) {
				return;
			}
		}

		if (now() - this.#lastAskedAt >= snapshotInterval) {
			this.#behindSince = undefined;
			void this.#ask(peer);
		}
	}

	// The store tells which weights were named, not when; a peer that has run for longer knows.
	#askForAges(): void {
		const {clusterState: beliefs, now} = this.#options;
		if (!beliefs.weightsTracker.hasAssumedAges || now() - this.#lastAskedAt < snapshotInterval) {
			return;
		}

		const keyOf = ({name, incarnation}: HostDescription) => `${name} ${incarnation}`;
		const peer = beliefs.hosts.listServing(now()).find(candidate => !this.#askedForAges.has(keyOf(candidate)));
		if (peer !== undefined) {
			this.#askedForAges.add(keyOf(peer));
			void this.#ask(peer);
		}
	}

	// A host that starts while the store is away knows no peers: the settings name some hosts.
	#askSeed(): void {
		const {clusterState: beliefs, seedAddresses: seeds, now} = this.#options;
		const seed = seeds[this.#seedTurn % seeds.length];
		if (beliefs.configuration === undefined && seed !== undefined && now() - this.#lastAskedAt >= seedInterval) {
			this.#seedTurn++;
			void this.#ask({name: seed, snapshotAddress: seed});
		}
	}

	async #ask(peer: Informant): Promise<void> {
		const {clusterState: beliefs, log, now} = this.#options;
		const askedAt = now();
		this.#lastAskedAt = askedAt;
		const snapshot = await fetchSnapshot(peer.snapshotAddress);
		if (snapshot.isErr) {
			log.info('snapshot-failed', {peer: peer.name, reason: snapshot.error.message});
			return;
		}

		const onTheWay = now() - askedAt;
		const changes = snapshot.value.changes.map(change => change.type === 'weights' && change.age !== undefined ? {...change, age: change.age + onTheWay} : change);
		beliefs.apply({...snapshot.value, changes}, true, peer.name);
	}
}
