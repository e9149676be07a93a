import {type Socket, createSocket} from 'node:dgram';
import type {HostDescription, HostState} from '@lacewingpoint/coordination';
import {
	type ServerLoad, type Quarantine, type SuspectCrash, noLoad,
} from '@lacewingpoint/routing';
import type {
	Disposable, Logger, Metrics, Milliseconds,
} from '@lacewingpoint/shared';
import type {ClusterState} from '../state/cluster-state.js';
import {
	type HostMessage, type PromptPlacement, decodeHostMessage, encodeHostMessage,
} from './host-messages.js';

/** Interval at which pending updates are sent, so short that nine hosts rarely place the same prompt twice within it. */
const sendInterval: Milliseconds = 25;

/** Time between heartbeats of a host without updates. */
const heartbeatInterval: Milliseconds = 200;

/** Datagrams carry only changes, but the full state is sent at this interval, because datagrams get lost and peers restart. */
const fullStateInterval: Milliseconds = 1000;

/** Limits on the content of a datagram that keep it from being fragmented. */
const placementsPerMessage = 12;
const crashesPerMessage = 24;

/** Crashes that this host detected are repeated in full messages for this long. */
const crashRepeatTime: Milliseconds = 3000;

export type HostGossipOptions = {
	readonly address: string;
	readonly description: HostDescription;
	readonly clusterState: ClusterState;
	readonly quarantine: Quarantine;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	hostState(): HostState;
	/** Called when a peer has a newer configuration or store revision than this host. */
	onNewerPeer(peer: HostDescription, message: {readonly configuration: number; readonly revision: number}): void;
};

/** Exchanges datagrams with the peers: heartbeats, versions of the state, rate limit charges, server loads, prompt placements and observations of servers. */
export class HostGossip implements Disposable {
	readonly #options: HostGossipOptions;
	readonly #socket: Socket;
	readonly #pendingPlacements: PromptPlacement[] = [];
	#pendingVersions: HostMessage['weights'] = [];
	#pendingLoading: HostMessage['loading'] = [];
	readonly #pendingDraining = new Set<string>();
	readonly #pendingUnreachable = new Set<string>();
	/** The charges and loads sent last, so that only changes are sent. */
	#sentCharges: ReadonlyMap<string, number> = new Map();
	#sentLoads: ReadonlyMap<string, ServerLoad> = new Map();
	/** The peers that the full state was sent to, by name and incarnation. */
	#informedPeers = '';
	/** Crashes that this host detected, oldest first; those not yet sent are at the end. */
	#suspectCrashes: Array<{readonly crash: SuspectCrash; readonly recordedAt: Milliseconds}> = [];
	#unsentCrashCount = 0;
	#isClosed = false;
	#hasPendingUpdates = false;
	#lastSentAt = Number.NEGATIVE_INFINITY;
	#lastFullStateAt = Number.NEGATIVE_INFINITY;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: HostGossipOptions) {
		this.#options = options;
		this.#socket = createSocket('udp4');
	}

	/** Binds the socket and starts to send heartbeats and updates. */
	async start(): Promise<void> {
		const [host, port] = this.#options.address.split(':');
		this.#socket.on('message', bytes => {
			this.#receive(bytes);
		});
		this.#socket.on('error', error => {
			this.#options.metrics.incrementCounter('datagram_errors');
			this.#options.log.warn('datagram-error', {reason: error.message});
		});
		await new Promise<void>(resolve => {
			this.#socket.bind(Number(port), host, resolve);
		});
		this.#timer = setInterval(() => {
			if (this.#hasPendingUpdates || this.#options.now() - this.#lastSentAt >= heartbeatInterval) {
				this.broadcastState();
			}
		}, sendInterval);
	}

	/**
	 * Announces a placement with the next datagram.
	 *
	 * @param placement - The parts of a prompt and the locations where they are or will be cached.
	 */
	announcePlacement(placement: PromptPlacement): void {
		this.#pendingPlacements.push(placement);
		this.#hasPendingUpdates = true;
	}

	/** Announces changed loads and charges with the next datagram. */
	announceLoadChange(): void {
		this.#hasPendingUpdates = true;
	}

	/**
	 * Announces with the next datagram which version of the weights a server was observed to run.
	 *
	 * @param server - The server's id.
	 * @param model - The model's name.
	 * @param version - The observed version.
	 */
	announceObservedVersion(server: string, model: string, version: number): void {
		this.#pendingVersions.push({server, model, version});
		this.#hasPendingUpdates = true;
	}

	/**
	 * Announces at once that a server is about to load weights, or that it no longer is.
	 *
	 * @param server - The server's id.
	 * @param time - Maximum time of the load; 0 once it has ended or the order has failed.
	 */
	announceLoading(server: string, time: Milliseconds): void {
		this.#pendingLoading.push({server, time});
		this.broadcastState();
	}

	/**
	 * Announces with the next datagram that a server is draining for a rollout.
	 *
	 * @param server - The server's id.
	 */
	announceRolloutDraining(server: string): void {
		this.#pendingDraining.add(server);
		this.#hasPendingUpdates = true;
	}

	/**
	 * Announces at once that a server is unreachable.
	 *
	 * @param server - The server's id.
	 */
	announceUnreachable(server: string): void {
		this.#pendingUnreachable.add(server);
		this.broadcastState();
	}

	/**
	 * Announces at once that requests were in flight when a server crashed.
	 *
	 * @param crashes - One entry for each request.
	 */
	announceCrashes(crashes: readonly SuspectCrash[]): void {
		const recordedAt = this.#options.now();
		this.#suspectCrashes.push(...crashes.map(crash => ({crash, recordedAt})));
		this.#unsentCrashCount += crashes.length;
		this.broadcastState();
	}

	/** Sends all pending updates to the peers; if there are none, the datagram serves as a heartbeat. */
	broadcastState(): void {
		if (this.#isClosed) {
			return;
		}

		const {clusterState, now} = this.#options;
		this.#hasPendingUpdates = false;
		this.#lastSentAt = now();
		const peers = clusterState.hosts.listPeers(now());
		this.#checkForNewPeers(peers);
		do {
			const message = this.#createMessage(this.#pendingPlacements.splice(0, placementsPerMessage));
			const bytes = encodeHostMessage(message);
			this.#options.metrics.incrementCounter('datagrams', {}, peers.length);
			this.#options.metrics.incrementCounter('datagram_bytes', {}, peers.length * bytes.length);
			for (const peer of peers) {
				const [host, port] = peer.peerAddress.split(':');
				this.#socket.send(bytes, Number(port), host, error => {
					if (error !== null) {
						this.#options.metrics.incrementCounter('datagrams_unsent');
					}
				});
			}
		} while (this.#pendingPlacements.length > 0 || this.#unsentCrashCount > 0);

		this.#pendingVersions = [];
		this.#pendingLoading = [];
		this.#pendingDraining.clear();
		this.#pendingUnreachable.clear();
	}

	dispose(): void {
		clearInterval(this.#timer);
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#socket.close();
		}
	}

	// New and restarted peers lack the state that the changes are relative to.
	#checkForNewPeers(peers: readonly HostDescription[]): void {
		const currentPeers = peers.map(peer => `${peer.name} ${peer.incarnation}`).toSorted().join(',');
		if (currentPeers !== this.#informedPeers) {
			this.#informedPeers = currentPeers;
			this.#lastFullStateAt = Number.NEGATIVE_INFINITY;
		}
	}

	#createMessage(placements: PromptPlacement[]): HostMessage {
		const {clusterState, description, now} = this.#options;
		const isWhole = now() - this.#lastFullStateAt >= fullStateInterval;
		if (isWhole) {
			this.#lastFullStateAt = now();
			this.#sentCharges = new Map();
			this.#sentLoads = new Map();
		}

		return {
			name: description.name,
			incarnation: description.incarnation,
			state: this.#options.hostState(),
			configuration: clusterState.configuration?.version ?? 0,
			revision: clusterState.revision,
			isWhole,
			host: isWhole ? description : undefined,
			charged: this.#changedCharges(),
			loads: this.#changedLoads(),
			placements,
			weights: this.#pendingVersions,
			loading: this.#pendingLoading,
			emptying: [...this.#pendingDraining],
			unreachable: [...this.#pendingUnreachable],
			deaths: this.#takeNextCrashes(isWhole),
		};
	}

	// New crashes are sent once and repeated in full messages only: repeated in every datagram, they would load the network just when servers crash.
	#takeNextCrashes(isWhole: boolean): SuspectCrash[] {
		const now = this.#options.now();
		const firstUnsent = this.#suspectCrashes.length - this.#unsentCrashCount;
		const unsent = this.#suspectCrashes.slice(firstUnsent, firstUnsent + crashesPerMessage);
		this.#unsentCrashCount -= unsent.length;
		if (!isWhole) {
			return unsent.map(({crash, recordedAt}) => ({...crash, age: crash.age + now - recordedAt}));
		}

		this.#suspectCrashes = this.#suspectCrashes.filter(({recordedAt}, index) => now - recordedAt < crashRepeatTime || index >= this.#suspectCrashes.length - this.#unsentCrashCount);
		const repeated = this.#suspectCrashes.slice(0, this.#suspectCrashes.length - this.#unsentCrashCount).slice(-crashesPerMessage);
		return repeated.map(({crash, recordedAt}) => ({...crash, age: crash.age + now - recordedAt}));
	}

	#changedCharges(): HostMessage['charged'] {
		const charges = this.#options.clusterState.rateLimiter.localTotals();
		const changed = [...charges].filter(([workspace, charged]) => this.#sentCharges.get(workspace) !== charged);
		this.#sentCharges = charges;
		return Object.fromEntries(changed);
	}

	#changedLoads(): HostMessage['loads'] {
		const loads = new Map(this.#options.clusterState.loads.localLoads());
		// A server without remaining requests is sent once with an empty load.
		const ended = [...this.#sentLoads.keys()].filter(server => !loads.has(server));
		const changed = [...loads].filter(([server, load]) => this.#sentLoads.get(server) !== load);
		this.#sentLoads = loads;
		return Object.fromEntries([...ended.map(server => [server, noLoad] as const), ...changed]
			.map(([server, load]) => [server, [load.requests, Math.round(load.prefillTokens), Math.round(load.memoryTokens)]]));
	}

	#receive(bytes: Uint8Array): void {
		const message = decodeHostMessage(bytes);
		const {clusterState, description, log, metrics, now, quarantine} = this.#options;
		if (message === undefined) {
			metrics.incrementCounter('datagrams_unreadable');
			return;
		}

		if (message.name === description.name) {
			return;
		}

		const receivedAt = now();
		const host = message.host ?? clusterState.hosts.findDescription(message.name, message.incarnation);
		if (host === undefined) {
			// A host that has just started sends its description within a second.
			metrics.incrementCounter('datagrams_unknown');
			return;
		}

		if (clusterState.hosts.recordHeartbeat(host, message.state, receivedAt)) {
			log.info('host-heard', {host: host.name, state: message.state, incarnation: host.incarnation});
		}

		clusterState.rateLimiter.setPeers(clusterState.hosts.listRateLimitPeers(receivedAt), receivedAt);
		clusterState.rateLimiter.mergePeerTotals(host.name, host.incarnation, new Map(Object.entries(message.charged)), receivedAt, message.isWhole);
		clusterState.loads.mergePeerLoads(host.name, new Map(Object.entries(message.loads).map(([server, [requests, prefillTokens, memoryTokens]]) => [server, {
			requests, prefillTokens, memoryTokens,
		}])), receivedAt, message.isWhole);
		for (const placement of message.placements) {
			const parts = placement.parts.map(([id, tokens]) => ({id, tokens}));
			for (const [location, availableAfter] of placement.places) {
				if (availableAfter === null) {
					clusterState.promptCache.removeParts(location, placement.salt, parts);
				} else {
					clusterState.promptCache.recordParts(location, placement.salt, parts, receivedAt + availableAfter);
				}
			}
		}

		for (const {server, model, version} of message.weights) {
			clusterState.recordObservedVersion(server, model, version);
		}

		for (const {server, time} of message.loading) {
			clusterState.weightsTracker.recordLoading(server, receivedAt + time, receivedAt);
		}

		for (const server of message.unreachable) {
			clusterState.health.applyUnreachableReport(server, receivedAt);
		}

		for (const server of message.emptying) {
			clusterState.weightsTracker.recordRolloutDraining(server, receivedAt);
		}

		quarantine.mergeSuspects(message.deaths, receivedAt);
		if (message.configuration > (clusterState.configuration?.version ?? 0) || message.revision > clusterState.revision) {
			this.#options.onNewerPeer(host, message);
		}
	}
}
