import {HostDirectory, QuotaLedger, type QuotaLimit} from '@lacewingpoint/coordination';
import {
	type Configuration, PromptCacheIndex, RouteIndex, ServerDirectory, type ServerEntry, ServerHealth, ServerLoads, WeightsTable,
} from '@lacewingpoint/routing';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {BeliefChange, BeliefReading} from './ports.js';

/** Time within which an entry that lapsed while the store was away may come back; the users' letter says about two seconds. */
const lapseGrace: Milliseconds = 2000;

/** A peer that has said nothing for this long is not named to clients: three heartbeats and the loss of a datagram. */
const hostSilence: Milliseconds = 750;

/** Hosts that nobody lists are remembered this long after their last word, so that a store that was away can list them again. */
const hostForgetAfter: Milliseconds = 60_000;

/** Loads told by a peer that has fallen silent count this long: its requests end within seconds. */
const peerLoadExpiry: Milliseconds = 1500;

/** The part of an engine's memory taken to hold cached parts; running requests take the rest. */
const cacheShare = 0.8;

/**
 * After a start nobody may know how long named weights have been known. They are taken to be so old that old ones go out of use
 * before a restarted host is held to the rule again: three seconds after the process began, of which its own start takes up to one,
 * less the 1.5 s by which the dispatcher stops earlier.
 */
const useAfterStart: Milliseconds = 3300;

/** Servers that died are back after some seconds, and tell nobody; the bounds on pauses and silence follow from that. */
const healthOptions = {
	firstPause: 300, longestPause: 3000, smoothing: 0.15, failingShare: 0.3, silence: 700, trustOwnEars: 400, forgiveAfter: 5000,
} as const;

/** Nine hosts that start together may each use the start's share before they hear of each other. */
const quotaOptions = {silence: hostSilence, startShare: 0.25, silentShare: 0.5} as const;

/** The holder tells every 100 ms which servers are to run empty. */
const weightsOptions = {rememberedVersions: 16, emptyingExpiry: 500} as const;

/** Hears of changes that others act on. */
export type BeliefListener = {
	/** A server that takes work may have appeared, changed or gone. */
	onServersChanged(): void;
	onServerGone(id: string): void;
	/** The store tells who may give orders for weights; nobody when nothing is given. */
	onHolder(holder: string | undefined): void;
};

/** Everything that a host believes of the configuration, servers, weights and hosts, with its age. */
export class Beliefs {
	readonly servers = new ServerDirectory({lapseGrace});
	readonly hosts = new HostDirectory({silence: hostSilence, forgetAfter: hostForgetAfter});
	readonly loads = new ServerLoads(peerLoadExpiry);
	readonly health = new ServerHealth(healthOptions);

	readonly prompts = new PromptCacheIndex();
	readonly quota = new QuotaLedger(quotaOptions);
	readonly weights = new WeightsTable(weightsOptions);
	readonly #listener: BeliefListener;
	readonly #weightsWithin: () => Milliseconds;
	readonly #log: Logger;
	readonly #now: () => Milliseconds;
	#routes: RouteIndex | undefined;
	#configurationRevision = 0;
	#configurationAt = 0;
	#revision = 0;
	#unreadable = 0;

	/**
	 * @param log - Hears of changes.
	 * @param now - The steady clock.
	 * @param weightsWithin - How long weights may be out of date when a request begins on them.
	 * @param listener - Acts on changes.
	 */
	constructor(log: Logger, now: () => Milliseconds, weightsWithin: () => Milliseconds, listener: BeliefListener) {
		this.#weightsWithin = weightsWithin;
		this.#listener = listener;
		this.#log = log;
		this.#now = now;
	}

	get routes(): RouteIndex | undefined {
		return this.#routes;
	}

	get configuration(): Configuration | undefined {
		return this.#routes?.configuration;
	}

	/** The store's revision up to which changes are known. */
	get revision(): number {
		return this.#revision;
	}

	/** Entries that could not be read so far. */
	get unreadable(): number {
		return this.#unreadable;
	}

	/** @returns How long the configuration in force has been known. */
	configurationAge(): Milliseconds {
		return this.#now() - this.#configurationAt;
	}

	/**
	 * Takes over changes from the store or a peer.
	 *
	 * @param reading - The changes.
	 * @param isWhole - Whether it lists every server: those that it lacks are gone.
	 * @param source - Who told, for the log.
	 */
	apply(reading: BeliefReading, isWhole: boolean, source: string): void {
		for (const change of reading.changes) {
			this.#applyChange(change, source);
		}

		if (isWhole) {
			const ids = new Set(reading.changes.flatMap(change => change.type === 'server' ? [change.entry.id] : []));
			for (const id of this.servers.retain(ids, reading.revision, this.#now())) {
				this.#forgetServer(id, source);
			}
		}

		this.#revision = Math.max(this.#revision, reading.revision);
		this.#listener.onServersChanged();
	}

	/** @returns Everything known, for a peer that is behind. */
	snapshot(): BeliefReading {
		const changes: BeliefChange[] = this.servers.all().map(({entry, revision}) => ({type: 'server', revision, entry}));
		const configuration = this.configuration;
		if (configuration !== undefined) {
			changes.push({type: 'configuration', revision: this.#configurationRevision, configuration});
		}

		for (const [model, named] of this.weights.allNamed()) {
			for (const {version, revision, knownSince, isAssumed} of named) {
				changes.push({
					type: 'weights', revision, model, version, age: this.#now() - knownSince, isAgeAssumed: isAssumed,
				});
			}
		}

		for (const description of this.hosts.peers(this.#now())) {
			changes.push({type: 'host', revision: 0, description});
		}

		return {changes, revision: this.#revision};
	}

	/** Drops entries that lapsed while the store was away and have not come back. */
	tick(): void {
		for (const id of this.servers.expire(this.#now())) {
			this.#forgetServer(id, 'lapse');
		}
	}

	/**
	 * Reads the version of the weights that a server runs.
	 *
	 * @param entry - The server.
	 * @param model - The model.
	 * @returns The newest version seen.
	 */
	weightsAt(entry: ServerEntry, model: string): number {
		return Math.max(entry.weights[model] ?? 0, this.weights.seenAt(entry.id, model));
	}

	/**
	 * Takes over which weights a server was seen to run.
	 *
	 * @param id - The server.
	 * @param model - The model.
	 * @param version - The version.
	 */
	noteWeights(id: string, model: string, version: number): void {
		const entry = this.servers.entryOf(id);
		if (entry === undefined || version <= this.weightsAt(entry, model)) {
			return;
		}

		this.weights.see(id, model, version);
		// New weights void what the server had cached.
		this.prompts.drop(id);
		this.#log.info('weights', {server: id, model, version});
		this.#listener.onServersChanged();
	}

	#applyChange(change: BeliefChange, source: string): void {
		switch (change.type) {
			case 'configuration': {
				this.#applyConfiguration(change.configuration, change.revision, source);
				break;
			}

			case 'server': {
				this.#applyServer(change.entry, change.revision, source);
				break;
			}

			case 'server-gone': {
				if (this.servers.remove(change.id, change.revision, this.#now())) {
					this.#forgetServer(change.id, source);
				}

				break;
			}

			case 'weights': {
				this.#applyNamedWeights(change, source);
				break;
			}

			case 'host': {
				this.hosts.list(change.description);
				break;
			}

			case 'host-gone': {
				this.hosts.unlist(change.name);
				break;
			}

			case 'holder': {
				this.#listener.onHolder(change.holder);
				break;
			}

			case 'unreadable': {
				this.#unreadable++;
				this.#log.warn('unreadable', {key: change.key, reason: change.reason, revision: change.revision});
				break;
			}
		}
	}

	#applyConfiguration(configuration: Configuration, revision: number, source: string): void {
		if (configuration.version <= (this.configuration?.version ?? 0)) {
			return;
		}

		this.#routes = new RouteIndex(configuration);
		this.#configurationRevision = revision;
		this.#configurationAt = this.#now();
		const limits = new Map<string, QuotaLimit>((configuration.workspaces ?? []).filter(workspace => workspace.unitsPerSecond > 0)
			.map(workspace => [workspace.name, {unitsPerSecond: workspace.unitsPerSecond, burstUnits: workspace.burstUnits}]));
		this.quota.setLimits(limits, this.#now());
		for (const {promptStore} of configuration.services) {
			if (promptStore !== undefined) {
				this.prompts.setCapacity(promptStore.address, promptStore.memoryTokens);
			}
		}

		for (const {entry} of this.servers.all()) {
			this.#setCacheCapacity(entry);
		}

		this.#log.info('configuration', {
			version: configuration.version, revision, routes: configuration.routes.length, workspaces: configuration.workspaces?.length ?? 0, source,
		});
	}

	#applyNamedWeights(change: BeliefChange & {readonly type: 'weights'}, source: string): void {
		const {model, version, revision} = change;
		// What a host finds when it starts was named before; a peer knows how long.
		const isFound = change.age === undefined && this.#revision === 0;
		const age = change.age ?? (isFound ? Math.max(this.#weightsWithin() - useAfterStart, 0) : 0);
		const isAssumed = change.isAgeAssumed ?? isFound;
		const named = {
			version, revision, knownSince: this.#now() - age, isAssumed,
		};
		if (this.weights.name(model, named)) {
			this.#log.info('weights-named', {
				model, version, revision, age: Math.round(age), isAssumed, source,
			});
		}
	}

	#applyServer(entry: ServerEntry, revision: number, source: string): void {
		const before = this.servers.entryOf(entry.id);
		const change = this.servers.put(entry, revision);
		if (change === 'nothing') {
			return;
		}

		if (change === 'incarnation') {
			this.#forgetKnowledge(entry.id);
			this.#setCacheCapacity(entry);
		}

		for (const [model, version] of Object.entries(entry.weights)) {
			if (before !== undefined && change === 'entry' && version > (before.weights[model] ?? 0) && version > this.weights.seenAt(entry.id, model)) {
				this.prompts.drop(entry.id);
				this.weights.see(entry.id, model, version);
			}
		}

		this.#log.info('server', {
			id: entry.id, service: entry.service, incarnation: entry.incarnation, draining: entry.isDraining, weights: entry.weights, revision, change, source,
		});
	}

	#setCacheCapacity(entry: ServerEntry): void {
		const engine = this.configuration?.services.find(service => service.name === entry.service)?.engine;
		if (engine !== undefined) {
			this.prompts.setCapacity(entry.id, engine.memoryTokens * cacheShare);
		}
	}

	#forgetServer(id: string, source: string): void {
		this.#forgetKnowledge(id);
		this.prompts.remove(id);
		this.#log.info('server-gone', {id, source, revision: this.#revision});
		this.#listener.onServerGone(id);
	}

	#forgetKnowledge(id: string): void {
		this.prompts.drop(id);
		this.health.forget(id);
		this.weights.forget(id);
	}
}
