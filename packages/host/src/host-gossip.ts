import {type Socket, createSocket} from 'node:dgram';
import type {HostDescription, HostState} from '@lacewingpoint/coordination';
import {
	type ServerLoad, type Quarantine, type SuspectCrash, noLoad,
} from '@lacewingpoint/routing';
import type {
	Disposable, Logger, Metrics, Milliseconds,
} from '@lacewingpoint/shared';
import type {ClusterState} from './cluster-state.js';
import {
	type HostMessage, type PromptPlacement, decodeHostMessage, encodeHostMessage,
} from './host-messages.js';

/** News is told at this pace: within it nine hosts rarely place the same prompt twice. */
const tellInterval: Milliseconds = 25;

/** A host without news tells that it lives at this pace. */
const heartbeatInterval: Milliseconds = 200;

/** What has changed is told at once; everything is told at this pace, since datagrams get lost and peers start anew. */
const wholeInterval: Milliseconds = 1000;

/** What a datagram may carry, so that it is not split on the way. */
const notesPerMessage = 12;
const deathsPerMessage = 24;

/** Deaths that this host saw are told again in whole messages for this long. */
const deathRepeat: Milliseconds = 3000;

export type HostGossipOptions = {
	readonly address: string;
	readonly description: HostDescription;
	readonly clusterState: ClusterState;
	readonly quarantine: Quarantine;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	hostState(): HostState;
	/** Called when a peer knows more than this host. */
	onNewerPeer(peer: HostDescription, message: {readonly configuration: number; readonly revision: number}): void;
};

/** Datagrams between hosts: who lives, what is known, charged, placed and seen. */
export class HostGossip implements Disposable {
	readonly #options: HostGossipOptions;
	readonly #socket: Socket;
	readonly #notes: PromptPlacement[] = [];
	#weights: HostMessage['weights'] = [];
	#loading: HostMessage['loading'] = [];
	readonly #emptying = new Set<string>();
	readonly #unreachable = new Set<string>();
	/** What the peers were told last, so that only changes are told. */
	#toldCharges: ReadonlyMap<string, number> = new Map();
	#toldLoads: ReadonlyMap<string, ServerLoad> = new Map();
	/** The peers and their starts that have been told everything. */
	#met = '';
	/** Deaths that this host saw, each with when it was noted. */
	#deaths: Array<{readonly death: SuspectCrash; readonly at: Milliseconds}> = [];
	#untoldDeaths = 0;
	#isClosed = false;
	#hasNews = false;
	#lastTold = Number.NEGATIVE_INFINITY;
	#lastWhole = Number.NEGATIVE_INFINITY;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: HostGossipOptions) {
		this.#options = options;
		this.#socket = createSocket('udp4');
	}

	/** Starts talking. */
	async start(): Promise<void> {
		const [host, port] = this.#options.address.split(':');
		this.#socket.on('message', bytes => {
			this.#hear(bytes);
		});
		this.#socket.on('error', error => {
			this.#options.metrics.incrementCounter('datagram_errors');
			this.#options.log.warn('datagram-error', {reason: error.message});
		});
		await new Promise<void>(resolve => {
			this.#socket.bind(Number(port), host, resolve);
		});
		this.#timer = setInterval(() => {
			if (this.#hasNews || this.#options.now() - this.#lastTold >= heartbeatInterval) {
				this.broadcastState();
			}
		}, tellInterval);
	}

	/**
	 * Notes a placement for the peers.
	 *
	 * @param note - The placement.
	 */
	announcePlacement(note: PromptPlacement): void {
		this.#notes.push(note);
		this.#hasNews = true;
	}

	/** Notes that loads or charges have changed. */
	announceLoadChange(): void {
		this.#hasNews = true;
	}

	/**
	 * Notes weights that a server was seen to run.
	 *
	 * @param server - The server.
	 * @param model - The model.
	 * @param version - The version.
	 */
	announceObservedVersion(server: string, model: string, version: number): void {
		this.#weights.push({server, model, version});
		this.#hasNews = true;
	}

	/**
	 * Tells at once that a server is about to load weights.
	 *
	 * @param server - The server.
	 * @param time - How long at most.
	 */
	announceLoading(server: string, time: Milliseconds): void {
		this.#loading.push({server, time});
		this.broadcastState();
	}

	/**
	 * Notes that a server is to be left to run empty.
	 *
	 * @param server - The server.
	 */
	announceRolloutDraining(server: string): void {
		this.#emptying.add(server);
		this.#hasNews = true;
	}

	/**
	 * Tells at once that a server could not be reached.
	 *
	 * @param server - The server.
	 */
	announceUnreachable(server: string): void {
		this.#unreachable.add(server);
		this.broadcastState();
	}

	/**
	 * Tells at once that requests were in flight at the death of a server.
	 *
	 * @param deaths - One entry a request.
	 */
	announceCrashes(deaths: readonly SuspectCrash[]): void {
		const at = this.#options.now();
		this.#deaths.push(...deaths.map(death => ({death, at})));
		this.#untoldDeaths += deaths.length;
		this.broadcastState();
	}

	/** Tells the peers all there is to tell. */
	broadcastState(): void {
		if (this.#isClosed) {
			return;
		}

		const {clusterState: beliefs, now} = this.#options;
		this.#hasNews = false;
		this.#lastTold = now();
		const peers = beliefs.hosts.listPeers(now());
		this.#meet(peers);
		do {
			const message = this.#message(this.#notes.splice(0, notesPerMessage));
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
		} while (this.#notes.length > 0 || this.#untoldDeaths > 0);

		this.#weights = [];
		this.#loading = [];
		this.#emptying.clear();
		this.#unreachable.clear();
	}

	dispose(): void {
		clearInterval(this.#timer);
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#socket.close();
		}
	}

	// A peer that is new or has started anew knows nothing that could have changed.
	#meet(peers: readonly HostDescription[]): void {
		const met = peers.map(peer => `${peer.name} ${peer.incarnation}`).toSorted().join(',');
		if (met !== this.#met) {
			this.#met = met;
			this.#lastWhole = Number.NEGATIVE_INFINITY;
		}
	}

	#message(placements: PromptPlacement[]): HostMessage {
		const {clusterState: beliefs, description, now} = this.#options;
		const isWhole = now() - this.#lastWhole >= wholeInterval;
		if (isWhole) {
			this.#lastWhole = now();
			this.#toldCharges = new Map();
			this.#toldLoads = new Map();
		}

		return {
			name: description.name,
			incarnation: description.incarnation,
			state: this.#options.hostState(),
			configuration: beliefs.configuration?.version ?? 0,
			revision: beliefs.revision,
			isWhole,
			host: isWhole ? description : undefined,
			charged: this.#changedCharges(),
			loads: this.#changedLoads(),
			placements,
			weights: this.#weights,
			loading: this.#loading,
			emptying: [...this.#emptying],
			unreachable: [...this.#unreachable],
			deaths: this.#nextDeaths(isWhole),
		};
	}

	// Every death in every datagram would fill the links between the hosts just when servers die.
	#nextDeaths(isWhole: boolean): SuspectCrash[] {
		const now = this.#options.now();
		const first = this.#deaths.length - this.#untoldDeaths;
		const untold = this.#deaths.slice(first, first + deathsPerMessage);
		this.#untoldDeaths -= untold.length;
		if (!isWhole) {
			return untold.map(({death, at}) => ({...death, age: death.age + now - at}));
		}

		this.#deaths = this.#deaths.filter(({at}, index) => now - at < deathRepeat || index >= this.#deaths.length - this.#untoldDeaths);
		const repeated = this.#deaths.slice(0, this.#deaths.length - this.#untoldDeaths).slice(-deathsPerMessage);
		return repeated.map(({death, at}) => ({...death, age: death.age + now - at}));
	}

	#changedCharges(): HostMessage['charged'] {
		const charges = this.#options.clusterState.rateLimiter.localTotals();
		const changed = [...charges].filter(([workspace, charged]) => this.#toldCharges.get(workspace) !== charged);
		this.#toldCharges = charges;
		return Object.fromEntries(changed);
	}

	#changedLoads(): HostMessage['loads'] {
		const loads = new Map(this.#options.clusterState.loads.localLoads());
		// A server at which nothing is left is told once with a load of nothing.
		const ended = [...this.#toldLoads.keys()].filter(server => !loads.has(server));
		const changed = [...loads].filter(([server, load]) => this.#toldLoads.get(server) !== load);
		this.#toldLoads = loads;
		return Object.fromEntries([...ended.map(server => [server, noLoad] as const), ...changed]
			.map(([server, load]) => [server, [load.requests, Math.round(load.unreadTokens), Math.round(load.memoryTokens)]]));
	}

	#hear(bytes: Uint8Array): void {
		const message = decodeHostMessage(bytes);
		const {clusterState: beliefs, description, log, metrics, now, quarantine} = this.#options;
		if (message === undefined) {
			metrics.incrementCounter('datagrams_unreadable');
			return;
		}

		if (message.name === description.name) {
			return;
		}

		const moment = now();
		const host = message.host ?? beliefs.hosts.findDescription(message.name, message.incarnation);
		if (host === undefined) {
			// A host that has just started says who it is within a second.
			metrics.incrementCounter('datagrams_unknown');
			return;
		}

		if (beliefs.hosts.recordHeartbeat(host, message.state, moment)) {
			log.info('host-heard', {host: host.name, state: message.state, incarnation: host.incarnation});
		}

		beliefs.rateLimiter.setPeers(beliefs.hosts.listQuotaSharers(moment), moment);
		beliefs.rateLimiter.mergePeerTotals(host.name, host.incarnation, new Map(Object.entries(message.charged)), moment, message.isWhole);
		beliefs.loads.mergePeerLoads(host.name, new Map(Object.entries(message.loads).map(([server, [requests, unreadTokens, memoryTokens]]) => [server, {requests, unreadTokens, memoryTokens}])), moment, message.isWhole);
		for (const note of message.placements) {
			const parts = note.parts.map(([id, tokens]) => ({id, tokens}));
			for (const [place, readyIn] of note.places) {
				if (readyIn === null) {
					beliefs.promptCache.removeParts(place, note.salt, parts);
				} else {
					beliefs.promptCache.recordParts(place, note.salt, parts, moment + readyIn);
				}
			}
		}

		for (const {server, model, version} of message.weights) {
			beliefs.recordObservedVersion(server, model, version);
		}

		for (const {server, time} of message.loading) {
			beliefs.weightsTracker.recordLoading(server, moment + time, moment);
		}

		for (const server of message.unreachable) {
			beliefs.health.applyUnreachableReport(server, moment);
		}

		for (const server of message.emptying) {
			beliefs.weightsTracker.recordRolloutDraining(server, moment);
		}

		quarantine.mergeSuspects(message.deaths, moment);
		if (message.configuration > (beliefs.configuration?.version ?? 0) || message.revision > beliefs.revision) {
			this.#options.onNewerPeer(host, message);
		}
	}
}
