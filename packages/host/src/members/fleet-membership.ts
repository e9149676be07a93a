import {
	type FleetLink, type HostDescription, type HostReport, type HostRole, FleetTopology, HostReports, StoreReaderElection,
} from '@lacewingpoint/coordination';
import type {Logger, Metrics, Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from '../state/cluster-state.js';
import type {PeerClient} from '../state/peer-snapshots.js';
import type {HostGossip} from './host-gossip.js';
import type {HostMessage} from './host-messages.js';

/** Time between messages to the seeds while this host is joining. */
const joinInterval: Milliseconds = 150;

/**
 * A relay is replaced by its members after the same time without a heartbeat after which a host is not offered to clients. A domain
 * gets another relay, or loses one, only after a longer time, so that a short interruption does not move roles.
 */
const topologyOptions = {
	relaysPerDomain: 3, joinTime: 600, relayTimeout: 750, failedRelayBackoff: 2000, roleReviewInterval: 500, roleChangeDelay: 2500,
} as const;

/** Relays announce their contact to the store with each heartbeat, every 200 ms. */
const readerOptions = {contactTimeout: 650, takeoverDelay: 300, releaseDelay: 2500} as const;

/** The list of a peer that may have lost a message is requested again after this many digests in a row that differ. */
const toleratedMismatches = 1;

/** Stands for the senders of introductions as the reporter of hosts. */
const introductionReporter = '';

/** The hosts that one incarnation of a peer reports. */
type Mirror = {
	readonly incarnation: string;
	readonly reports: HostReports;
	/** Whether all hosts were requested once; the peer sends only changes. */
	isComplete: boolean;
	mismatches: number;
	isRequested: boolean;
};

export type FleetMembershipOptions = {
	readonly description: HostDescription;
	/** Datagram addresses of some hosts; they may be outdated. */
	readonly seedAddresses: readonly string[];
	readonly clusterState: ClusterState;
	readonly gossip: HostGossip;
	readonly peerClient: PeerClient;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	/** @returns Whether this host has a task for which it has to stay a relay. */
	mustBeRelay(): boolean;
	/** Called when this host is to read the store from now on, or to leave that to another. */
	onReaderChanged(isReader: boolean): void;
	onRoleChanged(role: HostRole): void;
};

/** Keeps this host's links and its knowledge of the other hosts up to date. */
export class FleetMembership {
	readonly #options: FleetMembershipOptions;
	readonly #topology: FleetTopology;
	/** The hosts that this host reports, by the kind of the peers that get them. */
	readonly #reported: Readonly<Record<FleetLink['kind'], HostReports>> = {relay: new HostReports(), member: new HostReports()};
	readonly #mirrors = new Map<string, Mirror>();
	readonly #readerElection: StoreReaderElection;
	#isReader = false;
	#stateSource: string | undefined;
	#lastJoinRequestAt = Number.NEGATIVE_INFINITY;
	#lastRole: HostRole = 'joining';
	#lastRelay: string | undefined;

	constructor(options: FleetMembershipOptions) {
		this.#options = options;
		this.#topology = new FleetTopology(options.description, options.clusterState.hosts, topologyOptions, options.now());
		this.#readerElection = new StoreReaderElection(options.description.name, readerOptions);
	}

	get role(): HostRole {
		return this.#topology.role;
	}

	/** The peer from which this host gets the changes of the cluster state; undefined if it reads the store, or knows no such peer. */
	get stateSource(): string | undefined {
		return this.#stateSource;
	}

	/**
	 * Returns the digest of the hosts that this host reports.
	 *
	 * @param kind - The kind of the peers that get the reports.
	 * @returns The digest.
	 */
	reportDigest(kind: FleetLink['kind']): number {
		return this.#reported[kind].digest;
	}

	/**
	 * Lists the hosts that this host reports.
	 *
	 * @param kind - The kind of the peers that get the reports.
	 * @returns For other relays the members of this relay, for members all hosts that are alive.
	 */
	listReported(kind: FleetLink['kind']): HostReport[] {
		const {clusterState, now} = this.#options;
		if (this.role !== 'relay') {
			return [];
		}

		return kind === 'relay' ? clusterState.hosts.listMembers(now()) : clusterState.hosts.listAlive(now()).filter(host => host.role !== 'joining');
	}

	/** Reviews this host's role and links and reports changes of the known hosts. Called periodically. */
	review(): void {
		const {clusterState, gossip, seedAddresses, now} = this.#options;
		this.#topology.review(now(), this.#options.mustBeRelay());
		if (this.role === 'joining') {
			if (now() - this.#lastJoinRequestAt >= joinInterval) {
				this.#lastJoinRequestAt = now();
				gossip.sendIntroduction('request', seedAddresses, []);
			}

			return;
		}

		const links = this.#topology.listLinks(now());
		gossip.setLinks(links);
		const limitPeers = links.map(link => ({name: link.host.name, hostCount: gossip.linkHostCount(link.host.name), isMember: link.kind === 'member'}));
		clusterState.rateLimiter.setPeers(limitPeers, now());
		clusterState.serverLimits.setPeers(limitPeers, now());
		this.#announceRole(links.length);
		this.#reviewReader();
		this.#publishReports();
	}

	/**
	 * Records what a message says about its sender and other hosts.
	 *
	 * @param message - The message.
	 * @returns The sender and the kind of its link; undefined if no state is exchanged with the sender.
	 */
	handleMessage(message: HostMessage): {readonly sender: HostDescription; readonly kind: FleetLink['kind']} | undefined {
		const {clusterState, gossip, log, metrics, now} = this.#options;
		const sender = message.host ?? clusterState.hosts.findDescription(message.name, message.incarnation);
		if (sender === undefined) {
			// A host that has just started sends its description within a second.
			metrics.incrementCounter('datagrams_unknown');
			return undefined;
		}

		if (message.introduction !== undefined) {
			this.#handleIntroduction(sender, message);
			return undefined;
		}

		const previousState = clusterState.hosts.findAlive(sender.name, now())?.state;
		if (clusterState.hosts.recordHeartbeat({description: sender, state: message.state, role: message.role}, now())) {
			log.info('host-heard', {
				host: sender.name, state: message.state, role: message.role, incarnation: sender.incarnation,
			});
		}

		this.#readerElection.recordContact(sender.name, message.hasStoreContact, now());
		if (message.role === 'member') {
			this.#topology.recordAttachment();
		}

		this.#applyReports(sender, message);
		const isLinkMissing = this.role === 'relay' && gossip.linkKind(sender.name) !== message.role;
		if (this.role === 'joining' || previousState !== message.state || isLinkMissing) {
			this.review();
		}

		const kind = gossip.linkKind(sender.name);
		if (kind === undefined) {
			return undefined;
		}

		this.#checkDigest(sender, kind, message.digest);
		return {sender, kind};
	}

	#handleIntroduction(sender: HostDescription, message: HostMessage): void {
		const {clusterState, gossip, now} = this.#options;
		const report = {description: sender, state: message.state, role: message.role};
		if (message.introduction === 'request') {
			clusterState.hosts.recordHeartbeat(report, now());
			gossip.sendIntroduction('response', [sender.peerAddress], this.#topology.listRelayCandidates(sender.failureDomain, now()));
			return;
		}

		// The sender does not keep these reports up to date, so they are not recorded as its own and soon expire.
		for (const host of [report, ...message.hosts]) {
			if (host.description.name !== this.#options.description.name) {
				clusterState.hosts.recordReport(host, introductionReporter, now());
			}
		}

		if (message.role !== 'joining' && this.role === 'joining') {
			this.#topology.recordSettledPeer();
			this.review();
		}
	}

	#reviewReader(): void {
		const {log, now, onReaderChanged} = this.#options;
		const relays = this.#topology.listDomainRelays(now());
		const isReader = this.#readerElection.review(relays, now());
		if (isReader !== this.#isReader) {
			this.#isReader = isReader;
			log.info('store-reader', {isReader, relays});
			onReaderChanged(isReader);
		}

		const readingRelay = isReader ? undefined : relays.find(name => this.#readerElection.hasContact(name, now()));
		this.#stateSource = this.role === 'member' ? this.#topology.relay?.name : readingRelay;
	}

	#announceRole(links: number): void {
		const relay = this.#topology.relay?.name;
		if (this.role === this.#lastRole && relay === this.#lastRelay) {
			return;
		}

		this.#options.log.info('role', {
			role: this.role, before: this.#lastRole, relay, links,
		});
		const isRoleChanged = this.role !== this.#lastRole;
		this.#lastRole = this.role;
		this.#lastRelay = relay;
		if (isRoleChanged) {
			this.#options.onRoleChanged(this.role);
		}

		// Peers learn at once of the new role, and the relay of its new member.
		this.#options.gossip.broadcastState();
	}

	#publishReports(): void {
		for (const kind of ['relay', 'member'] as const) {
			const changes = this.#reported[kind].replace(this.listReported(kind));
			if (changes.reported.length + changes.departed.length > 0) {
				this.#options.gossip.announceHostChanges(changes, kind);
			}
		}
	}

	#applyReports(sender: HostDescription, {hosts, departed}: Pick<HostMessage, 'hosts' | 'departed'>): void {
		if (hosts.length + departed.length === 0) {
			return;
		}

		const {clusterState, description, now} = this.#options;
		this.#getMirror(sender).reports.apply({reported: hosts, departed});
		for (const name of departed) {
			clusterState.hosts.recordDeparture(name, sender.name);
		}

		for (const host of hosts) {
			if (host.description.name !== description.name) {
				clusterState.hosts.recordReport(host, sender.name, now());
			}
		}
	}

	#checkDigest(sender: HostDescription, kind: FleetLink['kind'], digest: number | undefined): void {
		if (digest === undefined || kind !== 'relay') {
			return;
		}

		const mirror = this.#getMirror(sender);
		if (mirror.reports.digest === digest) {
			mirror.mismatches = 0;
			return;
		}

		mirror.mismatches++;
		if ((mirror.mismatches > toleratedMismatches || !mirror.isComplete) && !mirror.isRequested) {
			void this.#requestHosts(sender, mirror);
		}
	}

	async #requestHosts(sender: HostDescription, mirror: Mirror): Promise<void> {
		const {clusterState, log, peerClient} = this.#options;
		mirror.isRequested = true;
		const hosts = await peerClient.fetchHosts(sender.snapshotAddress, this.role === 'relay' ? 'relay' : 'member');
		mirror.isRequested = false;
		mirror.mismatches = 0;
		if (hosts.isErr) {
			log.info('snapshot-failed', {peer: sender.name, reason: hosts.error.message});
			return;
		}

		mirror.isComplete = true;
		const {departed} = mirror.reports.replace(hosts.value);
		for (const name of departed) {
			clusterState.hosts.recordDeparture(name, sender.name);
		}

		this.#applyReports(sender, {hosts: hosts.value, departed: []});
	}

	#getMirror({name, incarnation}: HostDescription): Mirror {
		const known = this.#mirrors.get(name);
		if (known?.incarnation === incarnation) {
			return known;
		}

		const mirror = {
			incarnation, reports: new HostReports(), isComplete: false, mismatches: 0, isRequested: false,
		};
		this.#mirrors.set(name, mirror);
		return mirror;
	}
}
