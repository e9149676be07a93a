import {type Engine, type EngineState, HttpEngine} from '@lacewingpoint/backend';
import {type ModelState, type Register, TicketTable} from '@lacewingpoint/coordination';
import {
	type KeyValueService, type WeightStore, keyPrefixes, readConfigurationEntries,
} from '@lacewingpoint/platform';
import {type EngineView, type ReconciliationStep, dueSteps} from '@lacewingpoint/routing';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import {ModelLease} from './model-lease.js';

export type ReconcilerOptions = {
	readonly holder: string;
	readonly leaseTime: Milliseconds;
	readonly pauseMargin: Milliseconds;
	readonly servingShare: number;
	/** Makes the client of an engine; tests pass a fake. */
	readonly connect?: (address: string) => Engine;
};

type ManagedEngine = {readonly name: string; readonly address: string; readonly checksFencing: boolean};

const stateTimeout: Milliseconds = 1000;
const engineTimeouts = {connections: 2, connectTimeout: 500, silenceTimeout: 5000};

/** Brings the engines' weights to what the tickets in force ask for, one lease a model. */
export class Reconciler {
	readonly #store: KeyValueService;
	readonly #weights: WeightStore | undefined;
	readonly #now: () => Milliseconds;
	readonly #logger: Logger;
	readonly #options: ReconcilerOptions;
	readonly #tickets = new TicketTable();
	readonly #marks = new Map<string, {readonly register: Register; readonly revision: number}>();
	readonly #leases = new Map<string, ModelLease>();
	readonly #engines = new Map<string, Engine>();
	readonly #storedVersions = new Map<string, readonly string[]>();
	#revision = 0;

	constructor(platform: {readonly store: KeyValueService; readonly weights?: WeightStore}, now: () => Milliseconds, logger: Logger, options: ReconcilerOptions) {
		this.#store = platform.store;
		this.#weights = platform.weights;
		this.#now = now;
		this.#logger = logger;
		this.#options = options;
	}

	/** Reads the configuration and does what is due for every model whose lease is held. */
	async round(): Promise<void> {
		const isRead = await this.#read();
		for (const {name, state} of this.#tickets.list('model')) {
			const lease = this.#lease(name);
			await lease.keep();
			if (isRead && lease.isHeld) {
				await this.#reconcile(name, state!, lease);
			}
		}
	}

	async dispose(): Promise<void> {
		await Promise.all([...this.#leases.values()].map(async lease => lease.release()));
		await Promise.all([...this.#engines.values()].map(async engine => engine.dispose()));
	}

	async #read(): Promise<boolean> {
		const reading = await this.#store.list(keyPrefixes.configuration, this.#revision === 0 ? 0 : this.#revision + 1);
		// An older reading than the last comes from a replica that lags; nothing is ordered on it.
		if (reading.isErr || reading.value.revision < this.#revision) {
			return false;
		}

		const {registers, marks} = readConfigurationEntries(reading.value.entries);
		this.#tickets.merge(registers);
		for (const mark of marks) {
			this.#marks.set(mark.register.name, mark);
		}

		this.#revision = reading.value.revision;
		return true;
	}

	#lease(model: string): ModelLease {
		const lease = this.#leases.get(model) ?? new ModelLease(this.#store, {
			holder: this.#options.holder, model, timeToLive: this.#options.leaseTime, pauseMargin: this.#options.pauseMargin,
		}, this.#now);
		this.#leases.set(model, lease);
		return lease;
	}

	#managed(model: string): ManagedEngine[] {
		return this.#tickets.list('backend').flatMap(({name, state}) => (state?.type === 'engine' && state.model === model
			? [{name, address: state.address, checksFencing: state.checksFencing}]
			: []));
	}

	async #reconcile(model: string, desired: ModelState, lease: ModelLease): Promise<void> {
		if (!await this.#isStored(model, desired.version)) {
			return;
		}

		const managed = this.#managed(model);
		const views = await Promise.all(managed.map(async engine => this.#view(engine)));
		const steps = dueSteps({model, ...desired}, views, {servingShare: this.#options.servingShare, mayOrderUnfenced: lease.isSettled});
		for (const step of steps) {
			await this.#perform(step, managed.find(engine => engine.name === step.server)!, desired, lease);
		}
	}

	async #isStored(model: string, version: string): Promise<boolean> {
		if (this.#weights === undefined || this.#storedVersions.get(model)?.includes(version) === true) {
			return true;
		}

		const versions = await this.#weights.versions(model);
		if (versions.isOk) {
			this.#storedVersions.set(model, versions.value);
		}

		return versions.isOk && versions.value.includes(version);
	}

	async #view(managed: ManagedEngine): Promise<EngineView> {
		const state = await this.#engine(managed.address).state(stateTimeout);
		const known: EngineState | undefined = state.isOk ? state.value : undefined;
		return {
			server: managed.name,
			weightsVersion: known?.weightsVersion,
			adapters: known?.adapters ?? [],
			isLoading: known?.loading ?? false,
			runningRequests: known?.runningRequests ?? 0,
			isDraining: this.#isDraining(managed.name),
			checksFencing: managed.checksFencing,
		};
	}

	async #perform(step: ReconciliationStep, managed: ManagedEngine, desired: ModelState, lease: ModelLease): Promise<void> {
		// Asked again before every step: the lease may have lapsed while an engine took its time.
		if (!lease.isHeld) {
			return;
		}

		if (step.type !== 'order') {
			await this.#mark(managed.name, step.type === 'drain', lease.fencing);
			return;
		}

		const ordered = await this.#engine(managed.address).load({version: desired.version, adapters: desired.adapters, fencing: lease.fencing});
		this.#logger.info('weights-ordered', {
			server: managed.name, version: desired.version, fencing: lease.fencing, outcome: ordered.isOk ? 'taken' : ordered.error.code,
		});
	}

	#isDraining(server: string): boolean {
		const mark = this.#marks.get(server);
		return mark !== undefined && mark.register.state !== null;
	}

	async #mark(server: string, isDraining: boolean, fencing: number): Promise<void> {
		const held = this.#marks.get(server);
		const register: Register = {
			kind: 'draining', name: server, number: (held?.register.number ?? 0) + 1, state: isDraining ? {fencing} : null,
		};
		await this.#store.compareAndSwap([{key: `${keyPrefixes.draining}${server}`, value: JSON.stringify(register), expected: held?.revision ?? 0}]);
		this.#logger.info(isDraining ? 'engine-draining' : 'engine-resumed', {server});
	}

	#engine(address: string): Engine {
		const engine = this.#engines.get(address) ?? this.#options.connect?.(address) ?? new HttpEngine({address, ...engineTimeouts});
		this.#engines.set(address, engine);
		return engine;
	}
}
