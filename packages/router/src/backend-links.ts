import {
	type Engine, type EngineReport, type EngineState, type PlainService, HttpEngine, HttpPlainService,
} from '@lacewingpoint/backend';
import type {HostList} from '@lacewingpoint/platform';
import type {ServerRow} from '@lacewingpoint/routing';
import {
	type Disposable, DisposableStore, startRepeatingTask,
} from '@lacewingpoint/shared';
import type {InFlightTable} from './in-flight-table.js';
import type {RouterContext} from './router-context.js';

export type BackendLinksOptions = {
	readonly connections: number;
	readonly connectTimeout: number;
	readonly silenceTimeout: number;
	readonly stateInterval: number;
	readonly followCacheEvents: boolean;
};

const stateTimeout = 1000;
const probeTimeout = 300;
/** Time for the other requests of a dead server to break off too. */
const settleBeforeProbe = 30;
const reopenPause = 1000;

type EngineLink = {readonly engine: Engine; readonly address: string; readonly abort: AbortController};

/** The links to backend servers: clients, reports of state, cache events and the host list. */
export class BackendLinks implements Disposable {
	readonly #context: RouterContext;
	readonly #inFlight: InFlightTable;
	readonly #options: BackendLinksOptions;
	readonly #engines = new Map<string, EngineLink>();
	readonly #services = new Map<string, PlainService>();
	readonly #probes = new Map<string, Promise<void>>();
	readonly #disposables = new DisposableStore();

	constructor(context: RouterContext, inFlight: InFlightTable, options: BackendLinksOptions) {
		this.#context = context;
		this.#inFlight = inFlight;
		this.#options = options;
	}

	/**
	 * Begins to follow the backend servers.
	 *
	 * @param hostList - The platform's list of hosts, when there is one.
	 */
	start(hostList: HostList | undefined): void {
		const onError = (error: unknown) => {
			this.#context.logger.warn('backend-poll-failed', {message: String(error)});
		};

		this.#disposables.add(startRepeatingTask(this.#options.stateInterval, async () => this.refreshStates(), onError));
		if (hostList !== undefined) {
			this.#disposables.add(startRepeatingTask(this.#options.stateInterval, async () => this.#readHostList(hostList), onError));
		}
	}

	/**
	 * Finds the client of an engine.
	 *
	 * @param row - The server.
	 * @returns Its client.
	 */
	engine(row: ServerRow): Engine {
		const {id, address} = row.description;
		const held = this.#engines.get(id);
		if (held?.address === address) {
			return held.engine;
		}

		this.#dropEngine(id);
		const {connections, connectTimeout, silenceTimeout} = this.#options;
		const link = {
			engine: new HttpEngine({
				address, connections, connectTimeout, silenceTimeout,
			}),
			address,
			abort: new AbortController(),
		};
		this.#engines.set(id, link);
		if (this.#options.followCacheEvents) {
			void this.#followCache(id, link);
		}

		return link.engine;
	}

	/**
	 * Finds the client of a plain service.
	 *
	 * @param row - The server.
	 * @returns Its client.
	 */
	service(row: ServerRow): PlainService {
		const {address} = row.description;
		const {connections, connectTimeout, silenceTimeout} = this.#options;
		const held = this.#services.get(address) ?? new HttpPlainService({
			address, connections, connectTimeout, silenceTimeout,
		});
		this.#services.set(address, held);
		return held;
	}

	/**
	 * Takes in what an engine says of itself with an answer.
	 *
	 * @param server - The server.
	 * @param report - The report.
	 */
	takeReport(server: string, report: EngineReport): void {
		this.#context.tables.servers.report(server, report, this.#context.clock.now());
		if (this.#context.tables.prefixes.observe(server, report.incarnation, report.weightsVersion)) {
			this.#context.metrics.count('prefix_rows_dropped', {reason: 'incarnation'});
		}
	}

	/** Asks the engines of the cells in use for their state. */
	async refreshStates(): Promise<void> {
		const {servers, configuration} = this.#context.tables;
		const now = this.#context.clock.now();
		const models = new Set(configuration.backends.flatMap(({backend}) => (backend.type === 'engine' ? [backend.model] : [])));
		const engines = [...models].flatMap(model => servers.rowsInUse(model, now));
		this.#dropUnknown(new Set(engines.map(row => row.description.id)));
		await Promise.all(engines.map(async row => this.#refreshState(row)));
	}

	/**
	 * Finds out whether a server whose request broke off has died, and if so what ran there.
	 *
	 * @param row - The server as it was when the request was sent.
	 */
	async investigate(row: ServerRow): Promise<void> {
		const {id} = row.description;
		this.#inFlight.noteBroken(id);
		const probe = this.#probes.get(id) ?? this.#probe(row).finally(() => {
			this.#probes.delete(id);
		});
		this.#probes.set(id, probe);
		return probe;
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
		for (const id of this.#engines.keys()) {
			this.#dropEngine(id);
		}

		await Promise.all([...this.#services.values()].map(async service => service.dispose()));
	}

	async #probe(row: ServerRow): Promise<void> {
		const {id, failureDomain} = row.description;
		await new Promise(resolve => {
			setTimeout(resolve, settleBeforeProbe);
		});
		const state = await this.engine(row).state(probeTimeout);
		const isDead = state.isErr ? state.error.code === 'not-sent' : state.value.incarnation !== row.incarnation;
		const fingerprints = this.#inFlight.takeBroken(id);
		this.#context.tables.servers.noteFailure(id, this.#context.clock.now());
		if (state.isOk) {
			this.#takeState(id, state.value);
		}

		if (isDead) {
			this.#context.tables.quarantine.noteDeath({
				server: id, incarnation: row.incarnation ?? 'unknown', failureDomain, fingerprints,
			}, this.#context.clock.now());
			this.#context.tables.prefixes.forget(id);
			this.#context.logger.warn('backend-server-died', {server: id, requests: fingerprints.length});
		}
	}

	async #refreshState(row: ServerRow): Promise<void> {
		const {id} = row.description;
		const state = await this.engine(row).state(stateTimeout);
		state.match({
			Ok: value => {
				this.#takeState(id, value);
			},
			Err: () => {
				this.#context.metrics.count('backend_state_failures', {server: id});
				this.#context.tables.servers.noteFailure(id, this.#context.clock.now());
			},
		});
	}

	#takeState(id: string, state: EngineState): void {
		this.#context.tables.servers.setLeaving(id, state.leaving, state.incarnation);
		this.#context.tables.servers.setLoading(id, state.loading);
		this.takeReport(id, state);
	}

	async #readHostList(hostList: HostList): Promise<void> {
		const listed = await hostList.read();
		if (listed.isErr) {
			return;
		}

		const leaving = new Set(listed.value.filter(host => host.state === 'leaving').map(host => host.address));
		for (const {description} of this.#context.tables.servers.rows()) {
			if (leaving.has(description.address)) {
				this.#context.tables.servers.setLeaving(description.id, true);
			}
		}
	}

	async #followCache(id: string, link: EngineLink): Promise<void> {
		while (!link.abort.signal.aborted) {
			await link.engine.followCacheEvents(event => {
				const isInSequence = this.#context.tables.prefixes.apply(id, event, this.#context.clock.now());
				this.#context.metrics.count('cache_events', {outcome: isInSequence ? 'applied' : 'gap'});
			}, link.abort.signal);
			await new Promise(resolve => {
				setTimeout(resolve, reopenPause);
			});
		}
	}

	#dropUnknown(kept: ReadonlySet<string>): void {
		for (const id of this.#engines.keys()) {
			if (!kept.has(id)) {
				this.#dropEngine(id);
			}
		}
	}

	#dropEngine(id: string): void {
		const link = this.#engines.get(id);
		this.#engines.delete(id);
		link?.abort.abort();
		void link?.engine.dispose();
	}
}
