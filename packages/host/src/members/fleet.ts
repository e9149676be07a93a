import type {HostDescription, HostRole, HostState} from '@lacewingpoint/coordination';
import type {Quarantine, ServerEntry} from '@lacewingpoint/routing';
import type {
	Disposable, Logger, Metrics, Milliseconds, RandomSource, Scheduler,
} from '@lacewingpoint/shared';
import type {ConnectionTarget} from '../requests/backend-connection-pool.js';
import type {ClusterState} from '../state/cluster-state.js';
import {CrashReportReview} from '../state/crash-report-review.js';
import type {PeerClient, SnapshotSource} from '../state/peer-snapshots.js';
import {PromptPartGuard} from '../state/prompt-part-guard.js';
import {PeerSynchronizer} from '../state/peer-synchronizer.js';
import {ServerWitnesses} from '../state/server-witnesses.js';
import {StreamOriginFinder} from '../state/stream-origin-finder.js';
import {RelayFollower} from '../state/relay-follower.js';
import {FleetMembership} from './fleet-membership.js';
import {GossipReceiver} from './gossip-receiver.js';
import type {GossipTransport} from './gossip-socket.js';
import {HostGossip} from './host-gossip.js';
import type {HostMessage} from './host-messages.js';
import {hostCapabilities, hostProtocolVersion} from './host-protocol.js';

export type FleetOptions = {
	readonly description: HostDescription;
	/** Datagram addresses of some hosts; they may be outdated. */
	readonly seedAddresses: readonly string[];
	/** Snapshot addresses of the same hosts. */
	readonly seedSnapshotAddresses: readonly string[];
	readonly clusterState: ClusterState;
	readonly quarantine: Quarantine;
	readonly transport: GossipTransport;
	readonly peerClient: PeerClient;
	readonly scheduler: Scheduler;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	/** @returns The earliest monotonic time at which data that is read now may have reached this machine. */
	earliestArrival(): Milliseconds;
	hostState(): HostState;
	/** @returns Whether this host has lost its links to all servers. */
	isDetached(): boolean;
	/** @returns Whether a server accepts a connection. */
	canConnect(server: ConnectionTarget): Promise<boolean>;
	/** @returns The servers that the store lists at present; `undefined` if it does not respond. */
	readServers(): Promise<readonly ServerEntry[] | undefined>;
	/** @returns Whether this host reads the store and has contact to it. */
	hasStoreContact(): boolean;
	/** @returns Whether this host has a task for which it has to stay a relay. */
	mustBeRelay(): boolean;
	/** Called when this host is to read the store from now on, or to leave that to another. */
	onReaderChanged(isReader: boolean): void;
	onRoleChanged(role: HostRole): void;
};

/** This host's part in the fleet: its links to other hosts, and the state that it exchanges with them. */
export class Fleet implements Disposable {
	readonly gossip: HostGossip;
	readonly promptPartGuard: PromptPartGuard;
	readonly streamOriginFinder: StreamOriginFinder;
	readonly serverWitnesses: ServerWitnesses;
	readonly #options: FleetOptions;
	readonly #membership: FleetMembership;
	readonly #receiver: GossipReceiver;
	readonly #relayFollower: RelayFollower;
	readonly #peerSynchronizer: PeerSynchronizer;

	constructor(options: FleetOptions) {
		const {
			clusterState, peerClient, log, metrics, now,
		} = options;
		const description: HostDescription = {...options.description, protocol: hostProtocolVersion, capabilities: hostCapabilities};
		this.#options = options;
		this.gossip = new HostGossip({
			transport: options.transport,
			description,
			clusterState,
			scheduler: options.scheduler,
			now,
			hostState: () => options.hostState(),
			hostRole: () => this.#membership.role,
			hasStoreContact: () => options.hasStoreContact(),
			reportDigest: kind => this.#membership.reportDigest(kind),
			listQuarantinedParts: () => this.promptPartGuard.listQuarantined(),
			onMessage: message => {
				this.#onMessage(message);
			},
		});
		this.promptPartGuard = new PromptPartGuard({
			hostName: description.name, clusterState, gossip: this.gossip, log, metrics, now,
		});
		this.#membership = new FleetMembership({
			description,
			seedAddresses: options.seedAddresses.filter(address => address !== description.peerAddress),
			clusterState,
			gossip: this.gossip,
			peerClient,
			log,
			metrics,
			now,
			mustBeRelay: () => options.mustBeRelay(),
			onReaderChanged(isReader) {
				options.onReaderChanged(isReader);
			},
			onRoleChanged(role) {
				options.onRoleChanged(role);
			},
		});
		this.streamOriginFinder = new StreamOriginFinder({
			clusterState, peerClient, now, readServers: async () => options.readServers(), relays: () => clusterState.hosts.listRelays(now()).filter(({name}) => name !== description.name),
		});
		this.serverWitnesses = new ServerWitnesses({
			hostName: description.name, clusterState, peerClient, random: options.random, now, isDetached: () => options.isDetached(), canConnect: async server => options.canConnect(server),
		});
		const crashReports = new CrashReportReview({
			clusterState, log, metrics, now, isDetached: () => options.isDetached(), canConnect: async server => options.canConnect(server),
		});
		this.#receiver = new GossipReceiver({
			clusterState, gossip: this.gossip, quarantine: options.quarantine, promptPartGuard: this.promptPartGuard, crashReports, log, now,
		});
		this.#relayFollower = new RelayFollower({
			clusterState, peerClient, log, now, earliestArrival: () => options.earliestArrival(),
		});
		this.#peerSynchronizer = new PeerSynchronizer({
			clusterState,
			peerClient,
			seedAddresses: options.seedSnapshotAddresses.filter(address => address !== description.snapshotAddress),
			log,
			now,
			hasStoreContact: () => options.hasStoreContact(),
			isFollowing: () => this.#membership.stateSource !== undefined,
			isAnnouncedBySource: state => this.#relayFollower.isAnnounced(state),
			peers: () => clusterState.hosts.listRelays(now()).filter(host => clusterState.hosts.hasHeartbeat(host.name, now())),
		});
	}

	/** This host's part in the exchange of state. */
	get role(): HostRole {
		return this.#membership.role;
	}

	/** The state that this host serves to its peers. */
	get snapshotSource(): SnapshotSource {
		const {clusterState, now} = this.#options;
		return {
			snapshot: () => clusterState.snapshot(),
			changesSince: known => clusterState.changesSince(known),
			hosts: kind => this.#membership.listReported(kind),
			serverContact: async question => this.serverWitnesses.answer(question),
			streamOrigin: ({service, stream}) => clusterState.streamOrigins.find(service, stream, now()),
		};
	}

	/** Starts to receive messages and to join other hosts. */
	async start(): Promise<void> {
		await this.gossip.start();
		this.#membership.review();
	}

	/** Reviews the links to other hosts, the crashes and the limits of servers, and requests missing state. Called periodically. */
	review(): void {
		this.#membership.review();
		this.promptPartGuard.review();
		this.reviewStreamOrigins();
		const {clusterState, now} = this.#options;
		clusterState.serverLimits.removeExpired(now(), ({id, incarnation}) => clusterState.servers.findEntry(id)?.incarnation === incarnation);
		if (this.role === 'relay') {
			this.#peerSynchronizer.requestMissingState();
		}
	}

	/** Records the software versions of the servers, and informs relays of recent streams once a service has got a second version. */
	reviewStreamOrigins(): void {
		const {clusterState, now} = this.#options;
		const reports = clusterState.streamOrigins.observeServers(clusterState.servers.listEntries().map(({entry}) => entry), now());
		if (reports.length > 0) {
			this.gossip.announceOrigins(reports);
		}
	}

	/**
	 * Reacts to a suspension or to a change of the wall clock: changes and messages may have been missed.
	 *
	 * @param uncountedTime - Time that the monotonic clock did not count.
	 */
	handleClockJump(uncountedTime: Milliseconds): void {
		const {weightsTracker, streamOrigins} = this.#options.clusterState;
		weightsTracker.addSuspendedTime(uncountedTime);
		streamOrigins.interruptObservation();
		this.#relayFollower.requestFullState();
	}

	dispose(): void {
		this.gossip.dispose();
	}

	#onMessage(message: HostMessage): void {
		const link = this.#membership.handleMessage(message);
		if (link === undefined) {
			return;
		}

		const {clusterState} = this.#options;
		this.#receiver.merge(link.sender, link.kind, message);
		if (link.sender.name === this.#membership.stateSource) {
			this.#relayFollower.handleMessage(link.sender, message);
		} else if (message.configuration > (clusterState.configuration?.version ?? 0) || message.revision > clusterState.revision) {
			this.#peerSynchronizer.handleNewerPeer(link.sender, message);
		}
	}
}
