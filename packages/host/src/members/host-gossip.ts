import type {
	FleetLink, HostDescription, HostReportChanges, HostRole, HostState, NamedLimit,
} from '@lacewingpoint/coordination';
import type {
	ExecutedPart, QuarantinedPart, ServerProcess, StreamOriginReport, SuspectCrash,
} from '@lacewingpoint/routing';
import type {
	Disposable, Milliseconds, Scheduler,
} from '@lacewingpoint/shared';
import type {ClusterState} from '../state/cluster-state.js';
import {CrashLog} from './crash-log.js';
import {type GossipEvents, noEvents} from './gossip-events.js';
import type {GossipTransport} from './gossip-socket.js';
import type {HostMessage, PromptPlacement, StateUpdate} from './host-messages.js';
import {type MessageSources, HostMessageComposer} from './host-message-composer.js';
import {SendPace, findDueTime, timerResolution} from './link-timing.js';
import {
	type LinkSelection, type PeerLink, selectOriginRecipients, updateLinks,
} from './peer-link.js';
import {ReportedTotals} from './reported-totals.js';

export type HostGossipOptions = MessageSources & {
	readonly transport: GossipTransport;
	readonly scheduler: Scheduler;
	readonly now: () => Milliseconds;
	/** Called with each message of another host. */
	onMessage(message: HostMessage): void;
};

/**
 * Sends datagrams to the linked peers: heartbeats, versions of the state, rate limit charges, server loads and events. A relay sums up
 * the charges and loads of its members for other relays, and those of all other hosts for each member.
 */
export class HostGossip implements Disposable {
	readonly #options: HostGossipOptions;
	#links = new Map<string, PeerLink>();
	readonly #crashLog = new CrashLog();
	readonly #pace = new SendPace();
	readonly #composer: HostMessageComposer;
	#isClosed = false;
	#cancelTimer: (() => void) | undefined;
	#timerDueAt = Number.POSITIVE_INFINITY;

	constructor(options: HostGossipOptions) {
		this.#options = options;
		this.#composer = new HostMessageComposer({...options, crashLog: this.#crashLog, links: () => [...this.#links.values()]});
	}

	/** The number of hosts in the fleet, as far as the linked peers report them, this one included. */
	get hostCount(): number {
		return this.#composer.hostCount;
	}

	/** Starts to receive messages, and to send them to peers once there are some. */
	async start(): Promise<void> {
		const {transport, description, onMessage} = this.#options;
		await transport.start(message => {
			if (message.name !== description.name) {
				onMessage(message);
			}
		});
	}

	/**
	 * Sets the peers to which messages are sent.
	 *
	 * @param links - The links that this host has from now on.
	 */
	setLinks(links: readonly FleetLink[]): void {
		const previous = this.#links;
		this.#links = updateLinks(previous, links, this.#options.clusterState.stateVersion);
		for (const name of previous.keys()) {
			if (!this.#links.has(name)) {
				this.#options.clusterState.loads.removePeer(name);
				this.#options.clusterState.demand.removePeer(name);
			}
		}

		this.#schedule();
	}

	/**
	 * Finds the kind of a peer.
	 *
	 * @param name - The peer's name.
	 * @returns The kind of the link, `undefined` when there is none.
	 */
	linkKind(name: string): FleetLink['kind'] | undefined {
		return this.#links.get(name)?.target.kind;
	}

	/**
	 * Returns the number of hosts whose state a peer reports.
	 *
	 * @param name - The peer's name.
	 * @returns The number in its latest message; 1 for a member and before the first message.
	 */
	linkHostCount(name: string): number {
		return this.#links.get(name)?.hostCount ?? 1;
	}

	/**
	 * Records the number of hosts whose state a peer reports.
	 *
	 * @param name - The peer's name.
	 * @param count - The number in its latest message.
	 */
	recordHostCount(name: string, count: number): void {
		const link = this.#links.get(name);
		if (link?.target.kind === 'relay') {
			link.hostCount = count;
		}
	}

	/**
	 * Announces a placement with the next datagram.
	 *
	 * @param placement - The parts of a prompt and the locations where they are or will be cached.
	 */
	announcePlacement(placement: PromptPlacement): void {
		this.#announce({placements: [placement]});
	}

	/**
	 * Announces with the next datagram which version of the weights a server was observed to run.
	 *
	 * @param server - The server's id.
	 * @param model - The model's name.
	 * @param version - The observed version.
	 */
	announceObservedVersion(server: string, model: string, version: number): void {
		this.#announce({weights: [{server, model, version}]});
	}

	/**
	 * Announces soon that a server is about to load weights, or that it no longer is.
	 *
	 * @param server - The server's id.
	 * @param time - Maximum time of the load; 0 once it has ended or the order has failed.
	 */
	announceLoading(server: string, time: Milliseconds): void {
		this.#announce({loading: [{server, time}]});
	}

	/**
	 * Announces with the next datagram that a server is draining for a rollout.
	 *
	 * @param server - The server's id.
	 */
	announceRolloutDraining(server: string): void {
		this.#announce({emptying: [server]});
	}

	/**
	 * Announces soon that a server is unreachable.
	 *
	 * @param server - The server's id.
	 */
	announceUnreachable(server: string): void {
		this.#announce({unreachable: [server]});
	}

	/**
	 * Announces soon that a server is leaving.
	 *
	 * @param server - The process that is leaving.
	 */
	announceLeaving(server: ServerProcess): void {
		this.#announce({leaving: [{id: server.id, incarnation: server.incarnation}]});
	}

	/**
	 * Announces soon that requests were in flight when a server crashed.
	 *
	 * @param crashes - One entry for each request.
	 * @param source - The peer that reported them; this host by default.
	 * @param selection - The peers to inform.
	 */
	announceCrashes(crashes: readonly SuspectCrash[], source = this.#options.description.name, selection: LinkSelection = 'all'): void {
		const added = this.#crashLog.add(crashes, source, this.#options.now());
		if (added.length === 0) {
			return;
		}

		this.#addEvents(this.#selectLinks(selection, source), 'urgent', ({events}) => {
			events.addCrashes(added);
		});
	}

	/**
	 * Announces with the next datagram that servers have executed suspected prompt parts.
	 *
	 * @param executed - The parts.
	 * @param source - The peer that reported them; this host by default.
	 * @param selection - The peers to inform.
	 */
	announceExecutedParts(executed: readonly ExecutedPart[], source = this.#options.description.name, selection: LinkSelection = 'all'): void {
		if (executed.length === 0) {
			return;
		}

		this.#addEvents(this.#selectLinks(selection, source), 'ordinary', ({events}) => {
			events.addExecutedParts(executed, this.#options.now());
		});
	}

	/**
	 * Announces soon that servers have named other limits, or none any more.
	 *
	 * @param limits - The changed limits.
	 * @param source - The peer that reported them; this host by default.
	 * @param selection - The peers to inform.
	 */
	announceLimits(limits: readonly NamedLimit[], source = this.#options.description.name, selection: LinkSelection = 'all'): void {
		if (limits.length === 0) {
			return;
		}

		this.#addEvents(this.#selectLinks(selection, source), 'urgent', ({events}) => {
			events.addLimits(limits, this.#options.now());
		});
	}

	/**
	 * Announces the software versions at which streams began to some relays with the next datagram, those of this host's failure domain first.
	 *
	 * @param reports - The streams.
	 */
	announceOrigins(reports: readonly StreamOriginReport[]): void {
		this.#addEvents(selectOriginRecipients(this.#selectLinks('relay'), this.#options.description.failureDomain), 'ordinary', ({events}) => {
			events.addOrigins(reports);
		});
	}

	/**
	 * Forwards events of a peer's message to other peers.
	 *
	 * @param events - The events.
	 * @param source - The peer that sent them; it does not get them back.
	 * @param selection - The peers that get them.
	 */
	forwardEvents(events: GossipEvents, source: string, selection: LinkSelection): void {
		const urgentEvents = events.loading.length + events.unreachable.length + events.leaving.length;
		if (urgentEvents + events.placements.length + events.weights.length + events.emptying.length + events.paces.length === 0) {
			return;
		}

		this.#addEvents(this.#selectLinks(selection, source), urgentEvents > 0 ? 'urgent' : 'ordinary', link => {
			link.events.forward(events);
		});
	}

	/**
	 * Announces at once changes of the hosts that this host reports.
	 *
	 * @param changes - The changes.
	 * @param selection - The peers to which they are reported.
	 */
	announceHostChanges(changes: HostReportChanges, selection: LinkSelection): void {
		for (const link of this.#selectLinks(selection)) {
			link.events.addHostChanges(changes);
		}

		this.#send(() => 0);
	}

	/**
	 * Announces to the peers that follow this host that the cluster state has changed.
	 *
	 * @param change - The change; `undefined` if it is too large for a datagram, so that the peers have to request it.
	 */
	announceStateChange(change: StateUpdate | undefined): void {
		for (const link of this.#selectLinks('all').filter(({target}) => this.#composer.isFollower(target))) {
			link.hasNewTotals = true;
			if (change !== undefined) {
				link.events.addUpdate({version: this.#options.clusterState.stateVersion, change}, this.#options.now());
			}
		}

		this.#schedule();
	}

	/**
	 * Records that charges or loads of this host or of a peer have changed, so that they are sent with the next datagram.
	 *
	 * @param selection - The peers to which they are reported.
	 * @param source - The peer whose message changed them.
	 */
	recordTotalsChanged(selection: LinkSelection, source?: string): void {
		for (const link of this.#selectLinks(selection, source)) {
			link.hasNewTotals = true;
		}

		this.#schedule();
	}

	/**
	 * Sends a message outside of links, to join other hosts or to respond to a joining one.
	 *
	 * @param introduction - Whether the message asks for hosts to link to, or responds.
	 * @param addresses - Datagram addresses.
	 * @param hosts - Hosts to which the recipient can link.
	 */
	sendIntroduction(introduction: 'request' | 'response', addresses: readonly string[], hosts: HostMessage['hosts']): void {
		this.#options.transport.send({
			...this.#composer.createHeader(), ...noEvents, introduction, isWhole: true, host: this.#options.description, charged: {}, loads: {}, quarantined: [], hosts,
		}, addresses);
	}

	/** Sends a message to every peer at once; without updates, it serves as a heartbeat. */
	broadcastState(): void {
		for (const link of this.#links.values()) {
			link.hasNewTotals = true;
		}

		this.#send(() => 0);
	}

	dispose(): void {
		this.#cancelTimer?.();
		this.#isClosed = true;
		void this.#options.transport.dispose();
	}

	#announce(events: Partial<GossipEvents>): void {
		this.forwardEvents({...noEvents, ...events}, this.#options.description.name, 'all');
	}

	#addEvents(links: readonly PeerLink[], urgency: 'urgent' | 'ordinary', add: (link: PeerLink) => void): void {
		for (const link of links) {
			add(link);
			link.hasUrgentEvents ||= urgency === 'urgent';
		}

		this.#schedule();
	}

	#selectLinks(selection: LinkSelection, source?: string): PeerLink[] {
		return [...this.#links.values()].filter(({target}) => target.host.name !== source && (selection === 'all' || target.kind === selection));
	}

	// Sets the timer for the link that is due first.
	#schedule(): void {
		if (this.#isClosed) {
			return;
		}

		let dueAt = Number.POSITIVE_INFINITY;
		for (const link of this.#links.values()) {
			dueAt = Math.min(dueAt, findDueTime(link, this.#intervalFor(link)));
		}

		if (dueAt === Number.POSITIVE_INFINITY || (dueAt >= this.#timerDueAt && this.#cancelTimer !== undefined)) {
			return;
		}

		this.#cancelTimer?.();
		this.#timerDueAt = dueAt;
		const now = this.#options.now();
		this.#cancelTimer = this.#options.scheduler.schedule(Math.max(dueAt - now, 0), () => {
			this.#cancelTimer = undefined;
			this.#pace.recordTimer(this.#options.now() - Math.max(dueAt, now));
			this.#send(link => this.#intervalFor(link));
		});
	}

	#intervalFor(link: PeerLink): Milliseconds {
		return this.#pace.computeInterval(this.#links.size, link.hasUrgentEvents);
	}

	#send(intervalFor: (link: PeerLink) => Milliseconds): void {
		if (this.#isClosed) {
			return;
		}

		const now = this.#options.now();
		const totals = new ReportedTotals(this.#options.clusterState, peer => this.linkKind(peer) === 'member', now);
		for (const link of this.#links.values()) {
			if (findDueTime(link, intervalFor(link)) <= now + timerResolution) {
				this.#sendTo(link, totals, now);
			}
		}

		this.#schedule();
	}

	#sendTo(link: PeerLink, totals: ReportedTotals, now: Milliseconds): void {
		let hasMore: boolean;
		do {
			const composed = this.#composer.compose(link, totals, now);
			hasMore = composed.hasMore;
			this.#options.transport.send(composed.message, [link.target.host.peerAddress]);
		} while (hasMore);
	}
}
