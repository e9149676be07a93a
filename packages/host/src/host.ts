import type {Server} from 'node:http';
import {type HostState, createLeaseTiming} from '@lacewingpoint/coordination';
import {Quarantine, RetryBudget} from '@lacewingpoint/routing';
import {
	DisposableStore, type Logger, type Metrics, type Milliseconds, type RandomSource, bytesPerMebibyte,
} from '@lacewingpoint/shared';
import {BackendConnectionPool, defaultConnectionLimits} from './backend-connection-pool.js';
import {StoreWatch} from './store-watch.js';
import {ClusterState} from './cluster-state.js';
import {type ClientListener, serveClients} from './client-listener.js';
import {Dispatcher} from './dispatcher.js';
import {serveEndpoints} from './host-endpoints.js';
import {HostGossip} from './host-gossip.js';
import {HostRegistration} from './host-registration.js';
import {PeerSynchronizer} from './peer-synchronizer.js';
import {PromptPlacementTracker} from './prompt-placement-tracker.js';
import type {
	PlatformAdapter, HostBounds, HostSettings, ReceivedRequest,
} from './ports.js';
import type {PipelineContext} from './pipeline-context.js';
import {RequestPipeline} from './request-pipeline.js';
import {ModelServerClient, controlCallTimeout} from './model-server-client.js';
import {ServerCrashDetector} from './server-crash-detector.js';
import {serveSnapshots} from './peer-snapshots.js';
import {WeightsController} from './weights-controller.js';
import {WeightsLease} from './weights-lease.js';

/** How long clients are told to keep an address: some keep it three times as long, and a stop has to outlast them. */
const addressKeep: Milliseconds = 1000;

/** Clients keep an address up to this many times as long as they are told. */
const keepFactor = 3;

/** Time kept from the grace of a stop for the end of the process. */
const stopMargin: Milliseconds = 700;

const tickInterval: Milliseconds = 100;

/** The part of the memory that bodies of requests may take. */
const bodyMemoryShare = 0.15;

/** Requests whose servers died with them: three deaths convict one for this long after the last. */
const quarantineOptions = {crashThreshold: 3, domainFailureWindow: 0, suspicionLifetime: 60_000} as const;

/** What a host is made of. */
export type HostDependencies = {
	readonly settings: HostSettings;
	readonly adapter: PlatformAdapter;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	readonly wallClock: () => Milliseconds;
	/** Log lines that were dropped so far. */
	droppedLogLines(): number;
};

/** The daemon of one host. */
export class Host {
	readonly #parts: HostDependencies;
	readonly #metrics: Metrics;
	readonly #beliefs: ClusterState;
	readonly #dispatcher: Dispatcher;
	readonly #connections: BackendConnectionPool;
	readonly #links: HostGossip;
	readonly #watch: StoreWatch;
	readonly #registration: HostRegistration;
	readonly #lease: WeightsLease;
	readonly #weights: WeightsController;
	readonly #catchUp: PeerSynchronizer;
	readonly #notes: PromptPlacementTracker;
	readonly #deaths: ServerCrashDetector;
	readonly #quarantine = new Quarantine(quarantineOptions);
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #store = new DisposableStore();
	#clients: readonly ClientListener[] = [];
	#running = 0;
	#isStopping = false;
	#bounds: HostBounds;
	readonly #startedAt: Milliseconds;

	constructor(parts: HostDependencies) {
		const {settings, adapter, log, metrics, random, now, wallClock} = parts;
		this.#parts = parts;
		this.#metrics = metrics;
		this.#startedAt = now();
		this.#bounds = settings.bounds;
		this.#beliefs = new ClusterState(log, now, () => this.#bounds.weightsWithin, {
			onServersChanged: () => {
				this.#dispatcher.dispatchQueued();
				for (const clients of this.#clients) {
					clients.applyLimits();
				}
			},
			onServerRemoved: id => {
				this.#connections.closeIdle(id);
			},
			onLeaseHolderRead: holder => {
				this.#lease.updateHolder(holder);
			},
		});
		this.#dispatcher = new Dispatcher(this.#beliefs, {failureDomain: settings.description.failureDomain, maxWeightsStaleness: () => this.#bounds.weightsWithin, now});
		this.#connections = new BackendConnectionPool({
			...defaultConnectionLimits,
			now,
			onConnectionOpened: () => {
				this.#metrics.incrementCounter('backend_connections');
			},
		});
		this.#links = new HostGossip({
			address: settings.datagramAddress,
			description: settings.description,
			clusterState: this.#beliefs,
			quarantine: this.#quarantine,
			log,
			metrics: this.#metrics,
			now,
			hostState: () => this.#state(),
			onNewerPeer: (peer, message) => {
				this.#catchUp.handleNewerPeer(peer, message.configuration);
			},
		});
		this.#watch = new StoreWatch({
			store: adapter.store, clusterState: this.#beliefs, log, random, now, wallClock, onSuspended: time => {
				this.#beliefs.weightsTracker.addSuspendedTime(time);
			},
		});
		this.#catchUp = new PeerSynchronizer({
			clusterState: this.#beliefs, storeWatch: this.#watch, seedAddresses: settings.seeds.filter(seed => seed !== settings.snapshotAddress), log, now,
		});
		this.#notes = new PromptPlacementTracker(this.#beliefs, this.#links, now);
		this.#deaths = new ServerCrashDetector({
			clusterState: this.#beliefs, hostGossip: this.#links, quarantine: this.#quarantine, log, now,
		});
		this.#registration = new HostRegistration(adapter.store, settings.description, log, now);
		const {name} = settings.description;
		this.#lease = new WeightsLease({
			hostName: name, leaseTiming: createLeaseTiming(settings.bounds.weightsLease, settings.bounds.shortestLease, controlCallTimeout), store: adapter.store, log, random, now, wallClock,
		});
		const calls = new ModelServerClient({
			connections: this.#connections, backend: adapter.backend, log, metrics: this.#metrics,
		});
		this.#weights = new WeightsController({
			hostName: name, weightsLease: this.#lease, modelServerClient: calls, clusterState: this.#beliefs, hostGossip: this.#links, log, now,
		});
	}

	/** Starts serving: clients get 503 until a configuration is known. */
	async start(): Promise<void> {
		const {settings, adapter, log, now} = this.#parts;
		await this.#links.start();
		this.#clients = await Promise.all(adapter.interfaces.map(async ({address, protocol}) => serveClients({
			address,
			protocol,
			limits: () => this.#beliefs.configuration?.limits,
			isStopping: () => this.#isStopping,
			bodyMemoryLimit: settings.memory * bodyMemoryShare / adapter.interfaces.length,
			now,
			onRequest: received => {
				this.#onRequest(received);
			},
			onRejected: (id, status, reason) => {
				this.#metrics.incrementCounter('requests', {route: 'none', outcome: 'rejected', status: String(status)});
				log.info('request', {
					id, outcome: 'rejected', status, cause: reason,
				});
			},
		})));
		const snapshots = await serveSnapshots(settings.snapshotAddress, () => this.#beliefs.snapshot());
		this.#store.defer(() => {
			closeServer(snapshots);
		});
		this.#store.add(await serveEndpoints({
			settings,
			directoryProtocol: adapter.directory,
			addressTimeToLive: addressKeep,
			log,
			hostState: () => this.#state(),
			servingHosts: () => this.#beliefs.hosts.listServing(now()),
			formatMetrics: () => this.#printMetrics(),
		}));
		this.#watch.start();
		this.#registration.start();
		this.#weights.start();
		this.#store.defer(this.#dispatcher.start());
		const timer = setInterval(() => {
			this.#tick();
		}, tickInterval);
		this.#store.defer(() => {
			clearInterval(timer);
		});
		log.info('start', {
			host: settings.description.name, incarnation: settings.description.incarnation, addresses: adapter.interfaces.map(({address}) => address), memory: settings.memory / bytesPerMebibyte,
		});
	}

	/** Whether clients are served. */
	get isServing(): boolean {
		return this.#state() === 'serving' && this.#beliefs.servers.listEntries().length > 0;
	}

	/** The version of the configuration in force, 0 while none is known. */
	get configurationVersion(): number {
		return this.#beliefs.configuration?.version ?? 0;
	}

	/** Requests that have not had their last word. */
	get runningRequests(): number {
		return this.#running;
	}

	get knownServerCount(): number {
		return this.#beliefs.servers.listEntries().length;
	}

	/** Peers that serve and were heard lately. */
	get knownPeerCount(): number {
		return this.#beliefs.hosts.listServing(this.#parts.now()).length;
	}

	/** Whether it is known of all named weights since when they are. */
	get knowsTargetAges(): boolean {
		return !this.#beliefs.weightsTracker.hasAssumedAges;
	}

	/** Stops following the store, as a host does that the store turns away. */
	disconnectFromStore(): void {
		this.#watch.dispose();
	}

	/**
	 * Takes over changed bounds. Those of the lease stay as they are until a restart: all holders have to go by the same ones.
	 *
	 * @param bounds - The bounds now in the settings.
	 */
	applyBounds(bounds: HostBounds): void {
		const before = this.#bounds;
		const names = Object.keys(bounds) as Array<keyof HostBounds>;
		const changed = names.filter(name => bounds[name] !== before[name]);
		const afterRestart = changed.filter(name => name === 'weightsLease' || name === 'shortestLease');
		this.#bounds = bounds;
		if (changed.some(name => name.startsWith('retry'))) {
			this.#budgets.clear();
		}

		this.#parts.log.info('reload', {outcome: 'applied', changed, afterRestart});
	}

	/** Leaves without cutting off a request: clients learn other addresses first. */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		const {log, now} = this.#parts;
		const startedAt = now();
		this.#isStopping = true;
		log.info('stop', {requests: this.#running, connections: this.#openConnections()});
		this.#links.broadcastState();
		this.#lease.stopCampaigning();
		await this.#registration.release();
		const lastAnswer = startedAt + this.#bounds.stopGrace - stopMargin;
		const addressesForgotten = startedAt + Math.min(addressKeep * keepFactor, this.#bounds.longestKeep) + 400;
		while (now() < lastAnswer && (now() < addressesForgotten || this.#running > 0 || this.#weights.hasPendingUpdates)) {
			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
		}

		await this.#weights.release();
		log.info('stopped', {requests: this.#running, took: Math.round(now() - startedAt)});
		this.#links.broadcastState();
		await this.dispose();
	}

	/** Ends at once, as a loss of power does. */
	async dispose(): Promise<void> {
		this.#watch.dispose();
		this.#lease.stopCampaigning();
		this.#weights.dispose();
		await this.#registration.dispose();
		this.#links.dispose();
		this.#connections.dispose();
		for (const clients of this.#clients) {
			await clients.dispose();
		}

		await this.#store.dispose();
	}

	#openConnections(): number {
		return this.#clients.reduce((sum, clients) => sum + clients.connectionCount(), 0);
	}

	#state(): HostState {
		if (this.#isStopping) {
			return 'stopping';
		}

		return this.#beliefs.configuration === undefined ? 'starting' : 'serving';
	}

	#onRequest(received: ReceivedRequest): void {
		this.#running++;
		new RequestPipeline(received, this.#context).start();
	}

	get #context(): PipelineContext {
		const {adapter, log, random, now} = this.#parts;
		return {
			clusterState: this.#beliefs,
			dispatcher: this.#dispatcher,
			connections: this.#connections,
			backend: adapter.backend,
			quarantine: this.#quarantine,
			random,
			log,
			metrics: this.#metrics,
			now,
			retryBudget: service => this.#retryBudget(service),
			hostCount: () => this.#beliefs.hosts.listPeers(now()).length + 1,
			onRequestPlaced: (chosen, run) => {
				this.#notes.recordPlacement(chosen, run);
				this.#links.announceLoadChange();
			},
			onPrefillEnded: (chosen, run, isRead) => {
				this.#notes.recordPrefillResult(chosen, run, isRead);
			},
			onAttemptFailed: (server, fingerprint) => {
				this.#deaths.recordBrokenRequest(server, fingerprint);
			},
			onServerUnreachable: server => {
				this.#deaths.recordUnreachable(server);
			},
			onRequestFinished: () => {
				this.#running--;
				this.#links.announceLoadChange();
			},
		};
	}

	#retryBudget(service: string): RetryBudget {
		const known = this.#budgets.get(service);
		if (known !== undefined) {
			return known;
		}

		const {retryRatio, retrySlack, retryWindow} = this.#bounds;
		const budget = new RetryBudget({retryRatio, retrySlack, retryWindow}, this.#startedAt);
		this.#budgets.set(service, budget);
		return budget;
	}

	#tick(): void {
		const {now} = this.#parts;
		this.#beliefs.removeExpiredServers();
		this.#catchUp.requestMissingState();
		this.#quarantine.removeExpired(now());
		this.#beliefs.rateLimiter.setPeers(this.#beliefs.hosts.listQuotaSharers(now()), now());
	}

	#printMetrics(): string {
		const gauges: Readonly<Record<string, number>> = {
			waiting: this.#dispatcher.queuedRequests,
			running: this.#running,
			client_connections: this.#openConnections(),
			configuration_version: this.#beliefs.configuration?.version ?? 0,
			configuration_age_milliseconds: Math.round(this.#beliefs.configurationAge()),
			store_revision: this.#beliefs.revision,
			store_contact: this.#watch.isConnected ? 1 : 0,
			unreadable_entries: this.#beliefs.unreadableEntries,
			hosts_serving: this.#beliefs.hosts.listServing(this.#parts.now()).length,
			servers: this.#beliefs.servers.listEntries().length,
			log_lines_dropped: this.#parts.droppedLogLines(),
		};
		return `${this.#metrics.formatSeries()}${Object.entries(gauges).map(([name, value]) => `lacewingpoint_${name} ${value}\n`).join('')}`;
	}
}

function closeServer(server: Server): void {
	server.close();
	server.closeAllConnections();
}
