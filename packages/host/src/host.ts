import type {Server} from 'node:http';
import {type HostState, createTurnBounds} from '@lacewingpoint/coordination';
import {Quarantine, RetryBudget} from '@lacewingpoint/routing';
import {
	DisposableStore, type Logger, type Metrics, type Milliseconds, type RandomSource, bytesPerMebibyte,
} from '@lacewingpoint/shared';
import {BackendConnections, defaultConnectionLimits} from './backend-connections.js';
import {BeliefWatch} from './belief-watch.js';
import {Beliefs} from './beliefs.js';
import {type ClientServer, serveClients} from './client-server.js';
import {Dispatcher} from './dispatcher.js';
import {serveEndpoints} from './host-endpoints.js';
import {HostLinks} from './host-links.js';
import {HostRegistration} from './host-registration.js';
import {PeerCatchUp} from './peer-catch-up.js';
import {PlacementNotes} from './placement-notes.js';
import type {
	Adapter, HostBounds, HostSettings, ReceivedRequest,
} from './ports.js';
import type {PipelineContext} from './pipeline-context.js';
import {RequestRun} from './request-run.js';
import {ServerCalls, callTimeout} from './server-calls.js';
import {ServerDeaths} from './server-deaths.js';
import {serveSnapshots} from './snapshot-link.js';
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
const quarantineOptions = {convictingDeaths: 3, domainWindow: 0, lifetime: 60_000} as const;

/** What a host is made of. */
export type HostParts = {
	readonly settings: HostSettings;
	readonly adapter: Adapter;
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
	readonly #parts: HostParts;
	readonly #metrics: Metrics;
	readonly #beliefs: Beliefs;
	readonly #dispatcher: Dispatcher;
	readonly #connections: BackendConnections;
	readonly #links: HostLinks;
	readonly #watch: BeliefWatch;
	readonly #registration: HostRegistration;
	readonly #lease: WeightsLease;
	readonly #weights: WeightsController;
	readonly #catchUp: PeerCatchUp;
	readonly #notes: PlacementNotes;
	readonly #deaths: ServerDeaths;
	readonly #quarantine = new Quarantine(quarantineOptions);
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #store = new DisposableStore();
	#clients: readonly ClientServer[] = [];
	#running = 0;
	#isStopping = false;
	#bounds: HostBounds;
	readonly #startedAt: Milliseconds;

	constructor(parts: HostParts) {
		const {settings, adapter, log, metrics, random, now, wallClock} = parts;
		this.#parts = parts;
		this.#metrics = metrics;
		this.#startedAt = now();
		this.#bounds = settings.bounds;
		this.#beliefs = new Beliefs(log, now, () => this.#bounds.weightsWithin, {
			onServersChanged: () => {
				this.#dispatcher.offer();
				for (const clients of this.#clients) {
					clients.applyLimits();
				}
			},
			onServerGone: id => {
				this.#connections.drop(id);
			},
			onHolder: holder => {
				this.#lease.noteHolder(holder);
			},
		});
		this.#dispatcher = new Dispatcher(this.#beliefs, {failureDomain: settings.description.failureDomain, weightsWithin: () => this.#bounds.weightsWithin, now});
		this.#connections = new BackendConnections({
			...defaultConnectionLimits,
			now,
			onOpened: () => {
				this.#metrics.count('backend_connections');
			},
		});
		this.#links = new HostLinks({
			address: settings.datagramAddress,
			description: settings.description,
			beliefs: this.#beliefs,
			quarantine: this.#quarantine,
			log,
			metrics: this.#metrics,
			now,
			state: () => this.#state(),
			onBehind: (peer, message) => {
				this.#catchUp.noteBehind(peer, message.configuration);
			},
		});
		this.#watch = new BeliefWatch({
			store: adapter.store, beliefs: this.#beliefs, log, random, now, wallClock, onSuspended: time => {
				this.#beliefs.weights.addAge(time);
			},
		});
		this.#catchUp = new PeerCatchUp({
			beliefs: this.#beliefs, watch: this.#watch, seeds: settings.seeds.filter(seed => seed !== settings.snapshotAddress), log, now,
		});
		this.#notes = new PlacementNotes(this.#beliefs, this.#links, now);
		this.#deaths = new ServerDeaths({
			beliefs: this.#beliefs, links: this.#links, quarantine: this.#quarantine, log, now,
		});
		this.#registration = new HostRegistration(adapter.store, settings.description, log, now);
		const {name} = settings.description;
		this.#lease = new WeightsLease({
			name, bounds: createTurnBounds(settings.bounds.weightsLease, settings.bounds.shortestLease, callTimeout), store: adapter.store, log, random, now, wallClock,
		});
		const calls = new ServerCalls({
			connections: this.#connections, backend: adapter.backend, log, metrics: this.#metrics,
		});
		this.#weights = new WeightsController({
			name, lease: this.#lease, calls, beliefs: this.#beliefs, links: this.#links, log, now,
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
			bodyMemory: settings.memory * bodyMemoryShare / adapter.interfaces.length,
			now,
			onRequest: received => {
				this.#onRequest(received);
			},
			onRejected: (id, status, reason) => {
				this.#metrics.count('requests', {route: 'none', outcome: 'rejected', status: String(status)});
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
			protocol: adapter.directory,
			addressKeep,
			log,
			state: () => this.#state(),
			serving: () => this.#beliefs.hosts.serving(now()),
			printMetrics: () => this.#printMetrics(),
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
		return this.#state() === 'serving' && this.#beliefs.servers.all().length > 0;
	}

	/** The version of the configuration in force, 0 while none is known. */
	get configurationVersion(): number {
		return this.#beliefs.configuration?.version ?? 0;
	}

	/** Requests that have not had their last word. */
	get runningRequests(): number {
		return this.#running;
	}

	get knownServers(): number {
		return this.#beliefs.servers.all().length;
	}

	/** Peers that serve and were heard lately. */
	get knownPeers(): number {
		return this.#beliefs.hosts.serving(this.#parts.now()).length;
	}

	/** Whether it is known of all named weights since when they are. */
	get hasAges(): boolean {
		return !this.#beliefs.weights.hasAssumedAges;
	}

	/** Stops following the store, as a host does that the store turns away. */
	cutFromStore(): void {
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
		this.#links.tell();
		this.#lease.stopElecting();
		await this.#registration.release();
		const lastAnswer = startedAt + this.#bounds.stopGrace - stopMargin;
		const addressesForgotten = startedAt + Math.min(addressKeep * keepFactor, this.#bounds.longestKeep) + 400;
		while (now() < lastAnswer && (now() < addressesForgotten || this.#running > 0 || this.#weights.hasWork)) {
			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
		}

		await this.#weights.release();
		log.info('stopped', {requests: this.#running, took: Math.round(now() - startedAt)});
		this.#links.tell();
		await this.dispose();
	}

	/** Ends at once, as a loss of power does. */
	async dispose(): Promise<void> {
		this.#watch.dispose();
		this.#lease.stopElecting();
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
		return this.#clients.reduce((sum, clients) => sum + clients.connections(), 0);
	}

	#state(): HostState {
		if (this.#isStopping) {
			return 'stopping';
		}

		return this.#beliefs.configuration === undefined ? 'starting' : 'serving';
	}

	#onRequest(received: ReceivedRequest): void {
		this.#running++;
		new RequestRun(received, this.#context).start();
	}

	get #context(): PipelineContext {
		const {adapter, log, random, now} = this.#parts;
		return {
			beliefs: this.#beliefs,
			dispatcher: this.#dispatcher,
			connections: this.#connections,
			backend: adapter.backend,
			quarantine: this.#quarantine,
			random,
			log,
			metrics: this.#metrics,
			now,
			retryBudget: service => this.#retryBudget(service),
			hostCount: () => this.#beliefs.hosts.peers(now()).length + 1,
			onPlaced: (chosen, run) => {
				this.#notes.notePlaced(chosen, run);
				this.#links.noteChange();
			},
			onPromptRead: (chosen, run, isRead) => {
				this.#notes.notePromptRead(chosen, run, isRead);
			},
			onBroken: (server, fingerprint) => {
				this.#deaths.noteBroken(server, fingerprint);
			},
			onUnreachable: server => {
				this.#deaths.noteUnreachable(server);
			},
			onSettled: () => {
				this.#running--;
				this.#links.noteChange();
			},
		};
	}

	#retryBudget(service: string): RetryBudget {
		const known = this.#budgets.get(service);
		if (known !== undefined) {
			return known;
		}

		const {retryRatio, retrySlack, retryWindow} = this.#bounds;
		const budget = new RetryBudget({share: retryRatio, slack: retrySlack, window: retryWindow}, this.#startedAt);
		this.#budgets.set(service, budget);
		return budget;
	}

	#tick(): void {
		const {now} = this.#parts;
		this.#beliefs.tick();
		this.#catchUp.tick();
		this.#quarantine.tick(now());
		this.#beliefs.quota.setPeers(this.#beliefs.hosts.sharers(now()), now());
	}

	#printMetrics(): string {
		const gauges: Readonly<Record<string, number>> = {
			waiting: this.#dispatcher.waiting,
			running: this.#running,
			client_connections: this.#openConnections(),
			configuration_version: this.#beliefs.configuration?.version ?? 0,
			configuration_age_milliseconds: Math.round(this.#beliefs.configurationAge()),
			store_revision: this.#beliefs.revision,
			store_contact: this.#watch.isInContact ? 1 : 0,
			unreadable_entries: this.#beliefs.unreadable,
			hosts_serving: this.#beliefs.hosts.serving(this.#parts.now()).length,
			servers: this.#beliefs.servers.all().length,
			log_lines_dropped: this.#parts.droppedLogLines(),
		};
		return `${this.#metrics.print()}${Object.entries(gauges).map(([name, value]) => `lacewingpoint_${name} ${value}\n`).join('')}`;
	}
}

function closeServer(server: Server): void {
	server.close();
	server.closeAllConnections();
}
