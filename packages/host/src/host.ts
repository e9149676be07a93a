import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {type HostDescription, type HostState, createTurnBounds} from '@lacewingpoint/coordination';
import {
	type PromptPart, Quarantine, RetryBudget, type SuspectDeath, nearHosts,
} from '@lacewingpoint/routing';
import {
	DisposableStore, type Logger, type Metrics, type Milliseconds, type RandomSource, bytesPerMebibyte, messageOf,
} from '@lacewingpoint/shared';
import createRouter from 'find-my-way';
import {BackendConnections} from './backend-connections.js';
import {BeliefWatch} from './belief-watch.js';
import {Beliefs} from './beliefs.js';
import {type ClientServer, listen, serveClients} from './client-server.js';
import {type ChosenServer, Dispatcher} from './dispatcher.js';
import {HostLinks} from './host-links.js';
import {HostRegistration} from './host-registration.js';
import type {
	Adapter, HostBounds, HostSettings, ReceivedRequest,
} from './ports.js';
import type {PipelineContext} from './pipeline-context.js';
import {RequestRun} from './request-run.js';
import {fetchSnapshot, serveSnapshots} from './snapshot-link.js';
import {ServerCalls, callTimeout} from './server-calls.js';
import {WeightsController} from './weights-controller.js';
import {WeightsLease} from './weights-lease.js';

/** How long clients are told to keep an address: some keep it three times as long, and a stop has to outlast them. */
const addressKeep: Milliseconds = 1000;

/** Clients keep an address up to this many times as long as they are told. */
const keepFactor = 3;

/** Time kept from the grace of a stop for the end of the process. */
const stopMargin: Milliseconds = 700;

/** A snapshot is asked for at most this often. */
const snapshotInterval: Milliseconds = 250;

/** A peer that is ahead by its datagrams alone is asked when the store has not told the same within this time. */
const behindPatience: Milliseconds = 300;

const tickInterval: Milliseconds = 100;

/** A prompt is taken to be read this much later than predicted, until its first token tells. */
const readingMargin = 1.3;

/** The time from a prompt's first token until the prompt store has its parts. */
const savingTime: Milliseconds = 60;

/** How often a host that knows no configuration asks a seed for one. */
const seedInterval: Milliseconds = 300;

/** The part of the memory that bodies of requests may take. */
const bodyMemoryShare = 0.15;

/** A server counts as dead when it cannot be reached within this time after it broke off requests. */
const deathWindow: Milliseconds = 1500;

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
	readonly #quarantine = new Quarantine({convictingDeaths: 3, domainWindow: 0, lifetime: 60_000});
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #broken = new Map<string, Array<{readonly fingerprint: number; readonly at: Milliseconds}>>();
	readonly #store = new DisposableStore();
	#clients: readonly ClientServer[] = [];
	#running = 0;
	/** Peers that were asked since when weights have been named. */
	readonly #askedPeers = new Set<string>();
	#isStopping = false;
	#bounds: HostBounds;
	#lastSnapshotAt = 0;
	#seedTurn = 0;
	#behindSince: Milliseconds | undefined;
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
			connectTimeout: 200,
			idleTimeout: 4000,
			idleConnections: 24,
			rest: 4,
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
				this.#onBehind(peer, message);
			},
		});
		this.#watch = new BeliefWatch({
			store: adapter.store, beliefs: this.#beliefs, log, random, now, wallClock, onContact() {/* The log tells. */}, onSuspended: time => {
				this.#beliefs.weights.addAge(time);
			},
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
		await this.#serveEndpoints();
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
				this.#notePlaced(chosen, run);
				this.#links.noteChange();
			},
			onPromptRead: (chosen, run, isRead) => {
				this.#notePromptRead(chosen, run, isRead);
			},
			onBroken: (server, fingerprint) => {
				this.#noteBroken(server, fingerprint);
			},
			onUnreachable: server => {
				this.#noteDead(server);
				this.#links.noteUnreachable(server);
			},
			onSettled: () => {
				this.#running--;
				this.#links.noteChange();
			},
		};
	}

	#notePlacement(salt: string, parts: readonly PromptPart[], places: ReadonlyMap<string, Milliseconds | undefined>): void {
		const {prompts} = this.#beliefs;
		for (const [place, readyIn] of places) {
			if (readyIn === undefined) {
				prompts.forget(place, salt, parts);
			} else {
				prompts.note(place, salt, parts, this.#parts.now() + readyIn);
			}
		}

		this.#links.notePlacement({
			salt,
			parts: parts.map(({id, tokens}) => [id, tokens]),
			places: [...places].map(([place, readyIn]) => [place, readyIn === undefined ? null : Math.round(readyIn)]),
		});
	}

	#notePlaced(chosen: ChosenServer, run: ReceivedRequest): void {
		const {engine, entry} = chosen;
		if (engine !== undefined && run.request.generation !== undefined) {
			const readyIn = engine.predictedFirstToken * readingMargin;
			const stored = engine.saveTo === undefined ? [] : [[engine.saveTo, readyIn + savingTime] as const];
			this.#notePlacement(engine.salt, run.request.generation.parts, new Map([[entry.id, readyIn], ...stored]));
		}
	}

	#notePromptRead(chosen: ChosenServer, run: ReceivedRequest, isRead: boolean): void {
		const {engine, entry} = chosen;
		if (engine === undefined || run.request.generation === undefined) {
			return;
		}

		const {parts} = run.request.generation;
		if (isRead) {
			// Peers need to hear it only where others may wait for shared parts.
			if (engine.saveTo !== undefined) {
				this.#notePlacement(engine.salt, parts, new Map([[entry.id, 0]]));
			}

			return;
		}

		// What the server held before it still holds; the rest was not read.
		let tokens = 0;
		const unread = parts.filter(part => {
			tokens += part.tokens;
			return tokens > engine.cachedTokens;
		});
		const places = engine.saveTo === undefined ? [entry.id] : [entry.id, engine.saveTo];
		this.#notePlacement(engine.salt, unread, new Map(places.map(place => [place, undefined])));
	}

	// A reset alone may be a lost answer; a server that cannot be reached right after it has died of something it ran.
	#noteBroken(server: string, fingerprint: number): void {
		const {now} = this.#parts;
		const recent = (this.#broken.get(server) ?? []).filter(entry => now() - entry.at < deathWindow);
		this.#broken.set(server, [...recent, {fingerprint, at: now()}]);
	}

	#noteDead(server: string): void {
		const {now, log} = this.#parts;
		const entry = this.#beliefs.servers.entryOf(server);
		const suspects: SuspectDeath[] = (this.#broken.get(server) ?? [])
			.filter(broken => now() - broken.at < deathWindow)
			.map(broken => ({
				fingerprint: broken.fingerprint, server, incarnation: entry?.incarnation ?? '', failureDomain: entry?.failureDomain ?? '', age: 0,
			}));
		this.#broken.delete(server);
		if (suspects.length > 0) {
			this.#quarantine.merge(suspects, now());
			this.#links.noteDeaths(suspects);
			log.info('server-death', {server, suspects: suspects.length});
		}
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
		this.#askSeed();
		this.#askAges();
		this.#quarantine.tick(now());
		this.#beliefs.quota.setPeers(this.#beliefs.hosts.sharers(now()), now());
	}

	// The store tells which weights were named, not when; a peer that has run for longer knows.
	#askAges(): void {
		const {now, log} = this.#parts;
		if (this.hasAges || now() - this.#lastSnapshotAt < snapshotInterval) {
			return;
		}

		const peer = this.#beliefs.hosts.serving(now()).find(({name, incarnation}) => !this.#askedPeers.has(`${name} ${incarnation}`));
		if (peer === undefined) {
			return;
		}

		this.#askedPeers.add(`${peer.name} ${peer.incarnation}`);

		this.#lastSnapshotAt = now();
		void this.#catchUp(peer, log);
	}

	// A host that starts while the store is away knows no peers: the settings name some hosts.
	#askSeed(): void {
		const {settings, now, log} = this.#parts;
		const seeds = settings.seeds.filter(seed => seed !== settings.snapshotAddress);
		const seed = seeds[this.#seedTurn % seeds.length];
		if (this.#beliefs.configuration !== undefined || seed === undefined || now() - this.#lastSnapshotAt < seedInterval) {
			return;
		}

		this.#seedTurn++;
		this.#lastSnapshotAt = now();
		void this.#catchUp({name: seed, snapshotAddress: seed}, log);
	}

	#onBehind(peer: HostDescription, message: {readonly configuration: number; readonly revision: number}): void {
		const {now, log} = this.#parts;
		const isMissingConfiguration = this.#beliefs.configuration === undefined;
		if (this.#watch.isInContact && !isMissingConfiguration) {
			this.#behindSince ??= now();
			if (now() - this.#behindSince < behindPatience || message.configuration <= (this.#beliefs.configuration?.version ?? 0)) {
				return;
			}
		}

		if (now() - this.#lastSnapshotAt < snapshotInterval) {
			return;
		}

		this.#lastSnapshotAt = now();
		this.#behindSince = undefined;
		void this.#catchUp(peer, log);
	}

	async #catchUp(peer: {readonly name: string; readonly snapshotAddress: string}, log: Logger): Promise<void> {
		const {now} = this.#parts;
		const askedAt = now();
		const snapshot = await fetchSnapshot(peer.snapshotAddress);
		if (snapshot.isErr) {
			log.info('snapshot-failed', {peer: peer.name, reason: snapshot.error.message});
			return;
		}

		const onTheWay = now() - askedAt;
		const changes = snapshot.value.changes.map(change => change.type === 'weights' && change.age !== undefined ? {...change, age: change.age + onTheWay} : change);
		this.#beliefs.apply({...snapshot.value, changes}, true, peer.name);
	}

	async #serveEndpoints(): Promise<void> {
		const {settings, adapter} = this.#parts;
		const routers = new Map<string, ReturnType<typeof createRouter>>();
		const on = (address: string, path: string, answer: (request: IncomingMessage, response: ServerResponse) => void) => {
			const router = routers.get(address) ?? createRouter({
				defaultRoute(_request, response) {
					response.writeHead(404).end();
				},
			});
			routers.set(address, router);
			router.on('GET', path, (request, response) => {
				answer(request as IncomingMessage, response as ServerResponse);
			});
		};

		on(settings.readinessAddress, adapter.directory.readinessPath, (_request, response) => {
			response.writeHead(this.#state() === 'serving' ? 200 : 503).end();
		});
		on(settings.lookupAddress, adapter.directory.lookupPath, (request, response) => {
			this.#answerLookup(request, response);
		});
		on(settings.metricsAddress, '/metrics', (_request, response) => {
			response.writeHead(200, {'Content-Type': 'text/plain; charset=utf-8'}).end(this.#printMetrics());
		});
		for (const [address, router] of routers) {
			const server = createServer({keepAliveTimeout: 5000}, (request, response) => {
				router.lookup(request, response);
			});
			this.#store.defer(() => {
				closeServer(server);
			});
			try {
				await listen(server, address);
			} catch (error) {
				this.#parts.log.warn('endpoint-failed', {address, reason: messageOf(error)});
			}
		}
	}

	#answerLookup(request: IncomingMessage, response: ServerResponse): void {
		const {settings, adapter, now} = this.#parts;
		const url = request.url ?? '';
		const question = adapter.directory.decodeLookup(url.slice(url.indexOf('?') + 1));
		const serving = this.#beliefs.hosts.serving(now());
		const own = this.#state() === 'serving' ? [settings.description] : [];
		const hosts = nearHosts([...own, ...serving], question);
		// A host that stops still answers for a while: better its address than none.
		const named = hosts.length > 0 || this.#state() === 'starting' ? hosts : [settings.description];
		if (named.length === 0) {
			response.writeHead(503).end();
			return;
		}

		const body = adapter.directory.lookupBody(named.map(host => host.clientAddress), addressKeep);
		response.writeHead(200, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)}).end(body);
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
