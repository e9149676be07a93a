import {setTimeout as pause} from 'node:timers/promises';
import {type HostState, createLeaseTiming} from '@lacewingpoint/coordination';
import {Quarantine} from '@lacewingpoint/routing';
import {
	DisposableStore, type Milliseconds, bytesPerMebibyte, systemScheduler,
} from '@lacewingpoint/shared';
import {BackendConnectionPool, defaultConnectionLimits} from './requests/backend-connection-pool.js';
import {ClockMonitor} from './state/clock-monitor.js';
import {quarantineOptions} from './state/cluster-state-options.js';
import {StoreWatch} from './state/store-watch.js';
import {ClusterState} from './state/cluster-state.js';
import {type ClientListener, defaultClientLimits} from './requests/client-listener.js';
import {drainListeners} from './requests/listener-drain.js';
import {Dispatcher} from './requests/dispatcher.js';
import {serveHost} from './host-listeners.js';
import {Inbound} from './inbound/index.js';
import {type Forwarding, createForwarding} from './forwarding.js';
import {type OverloadGuard, createOverloadGuard} from './overload/index.js';
import {Fleet} from './members/fleet.js';
import {GossipSocket} from './members/gossip-socket.js';
import {toStateUpdate} from './members/host-messages.js';
import {HostRegistration} from './members/host-registration.js';
import {PaceReporter} from './state/pace-reporter.js';
import {PromptPlacementTracker} from './state/prompt-placement-tracker.js';
import type {HostDependencies} from './host-dependencies.js';
import type {HostBounds} from './ports.js';
import type {PipelineContext} from './requests/pipeline-context.js';
import {createPipelineContext} from './request-context.js';
import {RequestPipeline} from './requests/request-pipeline.js';
import {RunningRequests} from './requests/running-requests.js';
import {RetryBudgets} from './requests/retry-budgets.js';
import {ModelServerClient, controlCallTimeout} from './weights/model-server-client.js';
import {RolloutConstraint} from './rollouts/rollout-constraint.js';
import {RolloutController} from './rollouts/rollout-controller.js';
import {readServers} from './state/read-servers.js';
import {readStateGauges} from './state/state-gauges.js';
import {ServerCrashDetector} from './state/server-crash-detector.js';
import {ServerNoticeRecorder} from './state/server-notice-recorder.js';
import {httpPeerClient} from './state/peer-snapshots.js';
import {PlannedStop, StopGuard} from './stopping/index.js';
import {WeightsController} from './weights/weights-controller.js';
import {WeightsLease} from './weights/weights-lease.js';

/** Time between reviews of the links to other hosts, removals of expired state and requests for missing state. */
const maintenanceInterval: Milliseconds = 100;

/** The router process of one host: it connects the request pipeline, the cluster state, the gossip with peers and the weights rollout. */
export class Host {
	readonly #dependencies: HostDependencies;
	readonly #clusterState: ClusterState;
	readonly #dispatcher: Dispatcher;
	readonly #connectionPool: BackendConnectionPool;
	readonly #fleet: Fleet;
	readonly #clockMonitor: ClockMonitor;
	readonly #storeWatch: StoreWatch;
	readonly #registration: HostRegistration;
	readonly #weightsLease: WeightsLease;
	readonly #weightsController: WeightsController;
	readonly #paceReporter: PaceReporter;
	readonly #rolloutController: RolloutController;
	readonly #placementTracker: PromptPlacementTracker;
	readonly #crashDetector: ServerCrashDetector;
	readonly #forwarding: Forwarding;
	readonly #noticeRecorder: ServerNoticeRecorder;
	readonly #quarantine = new Quarantine(quarantineOptions);
	readonly #retryBudgets: RetryBudgets;
	readonly #overloadGuard: OverloadGuard | undefined;
	readonly #pipelineContext: PipelineContext;
	readonly #disposables = new DisposableStore();
	#clientListeners: readonly ClientListener[] = [];
	readonly #runningRequests = new RunningRequests();
	readonly #plannedStop: PlannedStop;
	readonly #inbound: Inbound;
	#stopped: Promise<void> | undefined;
	#bounds: HostBounds;

	constructor(dependencies: HostDependencies) {
		const {settings, adapter, log, metrics, random, now, wallClock} = dependencies;
		this.#dependencies = dependencies;
		this.#bounds = settings.bounds;
		this.#plannedStop = new PlannedStop(now, () => this.#clusterState.hosts.listOffered(now()).length > 0);
		this.#retryBudgets = new RetryBudgets(settings.bounds, now());
		this.#inbound = this.#disposables.add(new Inbound({
			settings, log, metrics, now, idleTime: () => (this.#clusterState.configuration?.limits ?? defaultClientLimits).idleTime,
		}));
		this.#clusterState = new ClusterState(log, now, () => this.#bounds.weightsWithin, {
			onServersChanged: () => {
				this.#fleet.reviewStreamOrigins();
				this.#dispatcher.dispatchQueued();
				for (const listener of this.#clientListeners) {
					listener.applyLimits();
				}
			},
			onServerRemoved: id => {
				this.#connectionPool.closeIdle(id);
			},
			onStateChanged: change => {
				this.#fleet.gossip.announceStateChange(toStateUpdate(change));
			},
			onLeaseHolderRead: holder => {
				this.#weightsLease.updateHolder(holder);
			},
		});
		this.#dispatcher = new Dispatcher(this.#clusterState, {
			hostName: settings.description.name, failureDomain: settings.description.failureDomain, random, maxWeightsStaleness: () => this.#bounds.weightsWithin, now, log, metrics, sharesWaitingOrder: settings.sharesWaitingOrder, constraints: [new RolloutConstraint(this.#clusterState, now)],
			hasIdleConnection: entry => this.#connectionPool.hasIdle(entry),
		});
		this.#connectionPool = new BackendConnectionPool({
			...defaultConnectionLimits,
			now,
			openSocket: dependencies.openSocket,
			onResponseHead: (target, status, headers, sentAt) => {
				this.#forwarding.serverLinks.recordReached(target.id);
				this.#noticeRecorder.recordResponse(target, status, headers, sentAt);
			},
			onConnectionOpened: () => {
				this.#dependencies.metrics.incrementCounter('backend_connections');
			},
		});
		this.#clockMonitor = new ClockMonitor({
			log, now, wallClock, onClockJump: uncountedTime => {
				this.#storeWatch.requestFullRead();
				this.#fleet.handleClockJump(uncountedTime);
			},
		});
		const earliestArrival = () => this.#clockMonitor.earliestArrival();
		this.#fleet = new Fleet({
			description: settings.description,
			seedAddresses: settings.seedDatagramAddresses,
			seedSnapshotAddresses: settings.seeds,
			clusterState: this.#clusterState,
			quarantine: this.#quarantine,
			transport: new GossipSocket({address: settings.datagramAddress, log, metrics}),
			peerClient: httpPeerClient,
			scheduler: systemScheduler,
			log,
			metrics,
			now,
			earliestArrival,
			random,
			isDetached: () => this.#forwarding.serverLinks.isDetached,
			canConnect: async server => this.#connectionPool.canConnect(server),
			hostState: () => this.#hostState(),
			readServers: async () => readServers(adapter.store),
			hasStoreContact: () => this.#storeWatch.isConnected,
			mustBeRelay: () => this.#weightsLease.term !== undefined || (this.#plannedStop.isStopping && this.#fleet.role === 'relay'),
			onReaderChanged: isReader => {
				if (isReader) {
					this.#storeWatch.start();
				} else {
					this.#storeWatch.pause();
				}
			},
			onRoleChanged: role => {
				if (role === 'relay') {
					this.#registration.start();
				} else {
					void this.#registration.release();
				}
			},
		});
		const {gossip} = this.#fleet;
		this.#storeWatch = new StoreWatch({
			store: adapter.store, clusterState: this.#clusterState, log, random, now, earliestArrival,
		});
		this.#paceReporter = new PaceReporter(this.#clusterState, gossip, settings.description.name);
		this.#placementTracker = new PromptPlacementTracker(this.#clusterState, gossip, now);
		this.#forwarding = createForwarding({
			dependencies,
			clusterState: this.#clusterState,
			connections: this.#connectionPool,
			inbound: this.#inbound,
			isServing: () => this.#hostState() === 'serving',
			onDetachedChanged: () => {
				gossip.broadcastState();
				this.#dispatcher.dispatchQueued();
			},
			onRequest: received => {
				new RequestPipeline(received, this.#pipelineContext).start();
			},
		});
		this.#crashDetector = new ServerCrashDetector({
			clusterState: this.#clusterState, hostGossip: gossip, quarantine: this.#quarantine, promptPartGuard: this.#fleet.promptPartGuard, serverLinks: this.#forwarding.serverLinks, witnesses: this.#fleet.serverWitnesses, log, now, canConnect: async server => this.#connectionPool.canConnect(server),
		});
		this.#noticeRecorder = new ServerNoticeRecorder({
			backend: adapter.backend, clusterState: this.#clusterState, gossip, log, metrics, random, now,
		});
		this.#overloadGuard = createOverloadGuard(dependencies, this.#disposables, {
			configurationAge: () => this.#clusterState.confirmation.age(now()), applyWithin: () => this.#bounds.applyWithin,
			routes: () => this.#clusterState.routes, runningRequests: () => this.#runningRequests.count, finishedRequests: () => this.#runningRequests.finishedCount,
		});
		this.#pipelineContext = createPipelineContext({
			dependencies, clusterState: this.#clusterState, dispatcher: this.#dispatcher, connections: this.#connectionPool, forwarding: this.#forwarding, fleet: this.#fleet,
			quarantine: this.#quarantine, retryBudgets: this.#retryBudgets, placementTracker: this.#placementTracker, crashDetector: this.#crashDetector, runningRequests: this.#runningRequests, plannedStop: this.#plannedStop,
			earliestArrival, isOverloaded: () => this.#overloadGuard?.isBehind === true,
		});
		this.#registration = new HostRegistration(adapter.store, settings.description, log, now);
		this.#weightsLease = new WeightsLease({
			hostName: settings.description.name, leaseTiming: createLeaseTiming(settings.bounds.weightsLease, settings.bounds.shortestLease, controlCallTimeout), store: adapter.store, log, random, now, wallClock,
		});
		const modelServerClient = new ModelServerClient({
			connections: this.#connectionPool, backend: adapter.backend, log, metrics,
			isPaused: entry => this.#clusterState.serverNotices.pausedUntil(entry, now()) !== undefined,
		});
		adapter.store.onRestored((era, previousEra) => {
			log.warn('store-restored', {era, before: previousEra, revision: this.#clusterState.revision});
			metrics.incrementCounter('store_restores');
			this.#clusterState.servers.recordStoreRestored(now());
			this.#storeWatch.handleRestore();
			this.#registration.registerAgain();
			this.#weightsLease.handleRestore(era);
		});
		this.#rolloutController = new RolloutController({
			hostName: settings.description.name, clusterState: this.#clusterState, lease: this.#weightsLease, gossip, store: adapter.store, protocol: adapter.rollouts, log, metrics, now, bounds: () => this.#bounds,
		});
		this.#weightsController = new WeightsController({
			hostName: settings.description.name, weightsLease: this.#weightsLease, modelServerClient, clusterState: this.#clusterState, hostGossip: gossip, log, now,
		});
	}

	/** Starts serving. Clients get 503 until a configuration is known. */
	async start(): Promise<void> {
		const {settings, adapter, log, metrics, now} = this.#dependencies;
		await this.#fleet.start();
		const listeners = await serveHost({
			dependencies: this.#dependencies,
			inbound: this.#inbound,
			clusterState: this.#clusterState,
			plannedStop: this.#plannedStop,
			guard: new StopGuard({
				plannedStop: this.#plannedStop, overloadGuard: this.#overloadGuard, routes: () => this.#clusterState.routes, log, metrics,
			}),
			snapshotSource: this.#fleet.snapshotSource,
			forwardedRequests: this.#forwarding.listener,
			hostState: () => this.#hostState(),
			offeredHosts: () => this.#clusterState.hosts.listOffered(now()),
			formatMetrics: () => this.#formatMetrics(),
			onRequest: received => {
				new RequestPipeline(received, this.#pipelineContext).start();
			},
		});
		this.#clientListeners = listeners.clients;
		this.#disposables.add(listeners);
		this.#weightsController.start();
		this.#rolloutController.start();
		const maintenanceTimer = setInterval(() => {
			this.#runMaintenance();
		}, maintenanceInterval);
		this.#disposables.defer(() => {
			clearInterval(maintenanceTimer);
		});
		log.info('start', {
			host: settings.description.name, incarnation: settings.description.incarnation, addresses: adapter.interfaces.map(({address}) => address), memory: settings.memory / bytesPerMebibyte,
		});
	}

	/** Whether the host serves clients and knows at least one server. */
	get isServing(): boolean {
		return this.#hostState() === 'serving' && this.#clusterState.servers.listEntries().length > 0;
	}

	/** Version of the current configuration; 0 while none is known. */
	get configurationVersion(): number {
		return this.#clusterState.configuration?.version ?? 0;
	}

	/** Number of requests without a final response. */
	get runningRequests(): number {
		return this.#runningRequests.count;
	}

	/** Number of servers in the cluster state. */
	get knownServerCount(): number {
		return this.#clusterState.servers.listEntries().length;
	}

	/** Number of servers in the cluster state that have said that they are leaving. */
	get leavingServerCount(): number {
		return this.#clusterState.servers.listEntries().filter(({entry}) => this.#clusterState.serverNotices.isLeaving(entry)).length;
	}

	/** Number of peers that serve and have sent a recent heartbeat. */
	get knownPeerCount(): number {
		return this.#clusterState.hosts.listServing(this.#dependencies.now()).length;
	}

	/** Whether the ages of all target versions are known rather than assumed. */
	get knowsTargetAges(): boolean {
		return !this.#clusterState.weightsTracker.hasAssumedAges;
	}

	/** Stops following the store, as if the store refused this host's calls. */
	disconnectFromStore(): void {
		this.#storeWatch.dispose();
	}

	/**
	 * Applies reloaded bounds. Those of the lease take effect after a restart only, because all lease holders have to use the same ones.
	 *
	 * @param bounds - The reloaded bounds.
	 */
	applyBounds(bounds: HostBounds): void {
		const previousBounds = this.#bounds;
		const changed = (Object.keys(bounds) as Array<keyof HostBounds>).filter(name => bounds[name] !== previousBounds[name]);
		const afterRestart = changed.filter(name => name === 'weightsLease' || name === 'shortestLease');
		this.#bounds = bounds;
		if (changed.some(name => name.startsWith('retry'))) {
			this.#retryBudgets.applyOptions(bounds);
		}

		this.#dependencies.log.info('reload', {outcome: 'applied', changed, afterRestart});
	}

	/**
	 * Stops gracefully: waits until clients have looked up other addresses, running requests have ended and due weights updates are
	 * finished, at most for the grace period.
	 */
	async stop(): Promise<void> {
		this.#stopped ??= this.#runStop();
		return this.#stopped;
	}

	/** Stops at once, as a loss of power would; running requests are cut off. */
	async dispose(): Promise<void> {
		this.#storeWatch.dispose();
		this.#weightsLease.stopCampaigning();
		this.#weightsController.dispose();
		this.#rolloutController.dispose();
		await this.#registration.dispose();
		this.#fleet.dispose();
		this.#connectionPool.dispose();
		this.#forwarding.forwarder.dispose();
		this.#dispatcher.dispose();
		await this.#disposables.dispose();
	}

	async #runStop(): Promise<void> {
		const {log, now} = this.#dependencies;
		const startedAt = now();
		const {deadline, addressesExpireAt} = this.#plannedStop.begin(this.#bounds);
		log.info('stop', {requests: this.#runningRequests.count, connections: this.#clientConnectionCount()});
		this.#fleet.gossip.broadcastState();
		this.#weightsLease.stopCampaigning();
		await this.#registration.release();
		while (now() < deadline && (now() < addressesExpireAt || this.#runningRequests.count > 0 || this.#weightsController.hasPendingUpdates)) {
			await pause(Math.min(50, deadline - now()));
		}

		const undelivered = await drainListeners({
			listeners: this.#clientListeners, deadline, now, undeliveredToPeers: () => this.#forwarding.listener.undeliveredResponses(), runningRequests: this.#runningRequests,
		});
		this.#plannedStop.recordDrained();
		await this.#weightsController.release();
		log.info('stopped', {requests: this.#runningRequests.count, undelivered, took: Math.round(now() - startedAt)});
		this.#fleet.gossip.broadcastState();
		await this.dispose();
	}

	#clientConnectionCount(): number {
		return this.#clientListeners.reduce((sum, listener) => sum + listener.connectionCount(), 0);
	}

	#hostState(): HostState {
		if (this.#plannedStop.isStopping) {
			return 'stopping';
		}

		if (this.#clusterState.configuration === undefined) {
			return 'starting';
		}

		return this.#forwarding.serverLinks.isDetached ? 'detached' : 'serving';
	}

	#runMaintenance(): void {
		this.#clockMonitor.check();
		this.#fleet.review();
		this.#forwarding.serverLinks.review();
		this.#paceReporter.review(this.#dependencies.now());
		this.#clusterState.removeExpiredServers();
		this.#quarantine.removeExpired(this.#dependencies.now());
	}

	#formatMetrics(): string {
		return this.#dependencies.metrics.formatSeries({
			...readStateGauges(this.#clusterState, this.#dependencies.now()),
			waiting: this.#dispatcher.queuedRequests,
			admission_rank: this.#dispatcher.admission.waitingRank(),
			running: this.#runningRequests.count,
			detached: this.#forwarding.serverLinks.isDetached ? 1 : 0,
			client_connections: this.#clientConnectionCount(),
			quarantined_parts: this.#fleet.promptPartGuard.quarantinedCount,
			store_contact: this.#storeWatch.isConnected ? 1 : 0,
			log_lines_dropped: this.#dependencies.droppedLogLines(),
		});
	}
}
