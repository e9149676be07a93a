import {HostDirectory, DistributedRateLimiter, type RateLimit} from '@lacewingpoint/coordination';
import {
	type Configuration, PromptCacheIndex, RouteIndex, ServerDirectory, type ServerEntry, ServerHealth, ServerLoads, WeightsTracker,
} from '@lacewingpoint/routing';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {StateChange, ChangeBatch} from './ports.js';

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
	initialBackoff: 300, maximumBackoff: 3000, smoothingFactor: 0.15, failureRateThreshold: 0.3, stallTimeout: 700, recentContactWindow: 400, statisticsExpiry: 5000,
} as const;

/** Nine hosts that start together may each use the start's share before they hear of each other. */
const quotaOptions = {heartbeatTimeout: hostSilence, startupShare: 0.25, unresponsivePeerShare: 0.5} as const;

/** The holder tells every 100 ms which servers are to run empty. */
const weightsOptions = {retainedVersions: 16, rolloutDrainingExpiry: 500} as const;

/** Hears of changes that others act on. */
export type ClusterStateListener = {
	/** A server that takes work may have appeared, changed or gone. */
	onServersChanged(): void;
	onServerRemoved(id: string): void;
	/** The store tells who may give orders for weights; nobody when nothing is given. */
	onLeaseHolderRead(holder: string | undefined): void;
};

/** Everything that a host believes of the configuration, servers, weights and hosts, with its age. */
export class ClusterState {
	readonly servers = new ServerDirectory({reregistrationGrace: lapseGrace});
	readonly hosts = new HostDirectory({heartbeatTimeout: hostSilence, removalDelay: hostForgetAfter});
	readonly loads = new ServerLoads(peerLoadExpiry);
	readonly health = new ServerHealth(healthOptions);

	readonly promptCache = new PromptCacheIndex();
	readonly rateLimiter = new DistributedRateLimiter(quotaOptions);
	readonly weightsTracker = new WeightsTracker(weightsOptions);
	readonly #listener: ClusterStateListener;
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
	constructor(log: Logger, now: () => Milliseconds, weightsWithin: () => Milliseconds, listener: ClusterStateListener) {
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
	get unreadableEntries(): number {
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
	apply(reading: ChangeBatch, isWhole: boolean, source: string): void {
		for (const change of reading.changes) {
			this.#applyChange(change, source);
		}

		if (isWhole) {
			const ids = new Set(reading.changes.flatMap(change => change.type === 'server' ? [change.entry.id] : []));
			for (const id of this.servers.removeUnlisted(ids, reading.revision, this.#now())) {
				this.#forgetServer(id, source);
			}
		}

		this.#revision = Math.max(this.#revision, reading.revision);
		this.#listener.onServersChanged();
	}

	/** @returns Everything known, for a peer that is behind. */
	snapshot(): ChangeBatch {
		const changes: StateChange[] = this.servers.listEntries().map(({entry, revision}) => ({type: 'server', revision, entry}));
		const configuration = this.configuration;
		if (configuration !== undefined) {
			changes.push({type: 'configuration', revision: this.#configurationRevision, configuration});
		}

		for (const [model, named] of this.weightsTracker.targetVersions()) {
			for (const {version, revision, knownSince, isAssumed} of named) {
				changes.push({
					type: 'weights', revision, model, version, age: this.#now() - knownSince, isAgeAssumed: isAssumed,
				});
			}
		}

		for (const description of this.hosts.listPeers(this.#now())) {
			changes.push({type: 'host', revision: 0, description});
		}

		return {changes, revision: this.#revision};
	}

	/** Drops entries that lapsed while the store was away and have not come back. */
	removeExpiredServers(): void {
		for (const id of this.servers.removeExpired(this.#now())) {
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
	observedVersion(entry: ServerEntry, model: string): number {
		return Math.max(entry.weights[model] ?? 0, this.weightsTracker.observedVersion(entry.id, model));
	}

	/**
	 * Takes over which weights a server was seen to run.
	 *
	 * @param id - The server.
	 * @param model - The model.
	 * @param version - The version.
	 */
	recordObservedVersion(id: string, model: string, version: number): void {
		const entry = this.servers.findEntry(id);
		if (entry === undefined || version <= this.observedVersion(entry, model)) {
			return;
		}

		this.weightsTracker.recordObservedVersion(id, model, version);
		// New weights void what the server had cached.
		this.promptCache.clearLocation(id);
		this.#log.info('weights', {server: id, model, version});
		this.#listener.onServersChanged();
	}

	#applyChange(change: StateChange, source: string): void {
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
				if (this.servers.applyRemoval(change.id, change.revision, this.#now())) {
					this.#forgetServer(change.id, source);
				}

				break;
			}

			case 'weights': {
				this.#applyNamedWeights(change, source);
				break;
			}

			case 'host': {
				this.hosts.addListed(change.description);
				break;
			}

			case 'host-gone': {
				this.hosts.markUnlisted(change.name);
				break;
			}

			case 'holder': {
				this.#listener.onLeaseHolderRead(change.holder);
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
		const limits = new Map<string, RateLimit>((configuration.workspaces ?? []).filter(workspace => workspace.unitsPerSecond > 0)
			.map(workspace => [workspace.name, {unitsPerSecond: workspace.unitsPerSecond, burstUnits: workspace.burstUnits}]));
		this.rateLimiter.setLimits(limits, this.#now());
		for (const {promptStore} of configuration.services) {
			if (promptStore !== undefined) {
				this.promptCache.setCapacity(promptStore.address, promptStore.memoryTokens);
			}
		}

		for (const {entry} of this.servers.listEntries()) {
			this.#setCacheCapacity(entry);
		}

		this.#log.info('configuration', {
			version: configuration.version, revision, routes: configuration.routes.length, workspaces: configuration.workspaces?.length ?? 0, source,
		});
	}

	#applyNamedWeights(change: StateChange & {readonly type: 'weights'}, source: string): void {
		const {model, version, revision} = change;
		// What a host finds when it starts was named before; a peer knows how long.
		const isFound = change.age === undefined && this.#revision === 0;
		const age = change.age ?? (isFound ? Math.max(this.#weightsWithin() - useAfterStart, 0) : 0);
		const isAssumed = change.isAgeAssumed ?? isFound;
		const named = {
			version, revision, knownSince: this.#now() - age, isAssumed,
		};
		if (this.weightsTracker.addTargetVersion(model, named)) {
			this.#log.info('weights-named', {
				model, version, revision, age: Math.round(age), isAssumed, source,
			});
		}
	}

	#applyServer(entry: ServerEntry, revision: number, source: string): void {
		const before = this.servers.findEntry(entry.id);
		const change = this.servers.applyEntry(entry, revision);
		if (change === 'nothing') {
			return;
		}

		if (change === 'incarnation') {
			this.#forgetKnowledge(entry.id);
			this.#setCacheCapacity(entry);
		}

		for (const [model, version] of Object.entries(entry.weights)) {
			if (before !== undefined && change === 'entry' && version > (before.weights[model] ?? 0) && version > this.weightsTracker.observedVersion(entry.id, model)) {
				this.promptCache.clearLocation(entry.id);
				this.weightsTracker.recordObservedVersion(entry.id, model, version);
			}
		}

		this.#log.info('server', {
			id: entry.id, service: entry.service, incarnation: entry.incarnation, draining: entry.isDraining, weights: entry.weights, revision, change, source,
		});
	}

	#setCacheCapacity(entry: ServerEntry): void {
		const engine = this.configuration?.services.find(service => service.name === entry.service)?.engine;
		if (engine !== undefined) {
			this.promptCache.setCapacity(entry.id, engine.memoryTokens * cacheShare);
		}
	}

	#forgetServer(id: string, source: string): void {
		this.#forgetKnowledge(id);
		this.promptCache.removeLocation(id);
		this.#log.info('server-gone', {id, source, revision: this.#revision});
		this.#listener.onServerRemoved(id);
	}

	#forgetKnowledge(id: string): void {
		this.promptCache.clearLocation(id);
		this.health.clearServer(id);
		this.weightsTracker.clearServer(id);
	}
}
