import {
	type RateLimit, DistributedRateLimiter, HostDirectory, ServerLimits, defaultServerLimitsOptions,
} from '@lacewingpoint/coordination';
import {
	type Configuration, EngineObservations, FleetDemand, PromptCacheIndex, ReturningClients, RolloutTable, RouteIndex, ServerDirectory, type ServerEntry, ServerHealth, ServerLoads, BrittleServers, LearnedCapacity, ServerNotices, defaultLearnedCapacityOptions, StreamOrigins, WeightsTracker,
} from '@lacewingpoint/routing';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {StateChange, ChangeBatch} from '../ports.js';
import {applyRolloutChange, listRolloutChanges, grantLifetime} from '../rollouts/rollout-changes.js';
import {
	cacheMemoryShare, healthOptions, heartbeatTimeout, rateLimiterOptions, weightsTrackerOptions,
} from './cluster-state-options.js';
import {applyObservedWeights, listObservedWeights} from './observed-weights.js';
import type {KnownState, MissingChanges} from './peer-snapshots.js';
import {StateConfirmation} from './state-confirmation.js';
import {TargetVersions} from './target-versions.js';

/** How long after a store outage an entry that expired meanwhile may be written again: about two seconds by the users' requirements. */
const reregistrationGrace: Milliseconds = 2000;

/** Hosts reported by a peer that has stopped sending are kept this long: they link to another peer, which reports them again. */
const reportTimeout: Milliseconds = 3000;

/** Hosts that are not listed in the store are kept this long after their last heartbeat, so that they can be listed again after a store outage. */
const hostRemovalDelay: Milliseconds = 60_000;

/** Loads reported by a peer that has stopped sending count for this long: its requests end within seconds. */
const peerLoadExpiry: Milliseconds = 1500;

/** Called for changes that other components react to. */
export type ClusterStateListener = {
	/** A server that accepts requests may have been added, changed or removed. */
	onServersChanged(): void;
	onServerRemoved(id: string): void;
	/** The configuration, a server or a target version has changed; `change` is undefined for a configuration, which is large. */
	onStateChanged(change: Exclude<StateChange, {readonly type: 'configuration'}> | undefined): void;
	/** The holder of the weights lease was read from the store; undefined when the lease is free. */
	onLeaseHolderRead(holder: string | undefined): void;
};

/** What a host knows about the configuration, servers, weights and hosts, merged from the store and from peers. */
export class ClusterState {
	readonly servers = new ServerDirectory({reregistrationGrace});
	readonly hosts = new HostDirectory({heartbeatTimeout, reportTimeout, removalDelay: hostRemovalDelay});
	readonly loads = new ServerLoads(peerLoadExpiry);
	readonly demand = new FleetDemand({freshTime: 500, expiry: peerLoadExpiry});
	readonly returningClients = new ReturningClients({maximumEntries: 4096, retention: 3000});
	readonly health = new ServerHealth(healthOptions);
	readonly serverNotices = new ServerNotices();
	readonly learnedCapacity = new LearnedCapacity(defaultLearnedCapacityOptions);
	readonly brittleServers = new BrittleServers();
	readonly streamOrigins = new StreamOrigins();
	readonly rollouts = new RolloutTable(grantLifetime);
	readonly promptCache = new PromptCacheIndex();
	readonly engineObservations = new EngineObservations();
	readonly rateLimiter = new DistributedRateLimiter(rateLimiterOptions);
	readonly serverLimits = new ServerLimits(defaultServerLimitsOptions);
	readonly weightsTracker = new WeightsTracker(weightsTrackerOptions);
	readonly confirmation = new StateConfirmation();
	readonly #listener: ClusterStateListener;
	readonly #targetVersions: TargetVersions;
	readonly #log: Logger;
	readonly #now: () => Milliseconds;
	#routes: RouteIndex | undefined;
	#configurationRevision = 0;
	#configurationAppliedAt = 0;
	#revision = 0;
	#unreadableEntries = 0;
	/** Counts the changes of the configuration, servers and target versions. */
	#stateVersion = 0;
	/** The state version at which each server was changed last. */
	readonly #serverVersions = new Map<string, number>();

	/**
	 * @param log - Receives a record of each change.
	 * @param now - Monotonic clock.
	 * @param maxWeightsStaleness - How long weights may be outdated when a request starts on them.
	 * @param listener - Called on changes.
	 */
	constructor(log: Logger, now: () => Milliseconds, maxWeightsStaleness: () => Milliseconds, listener: ClusterStateListener) {
		this.#listener = listener;
		this.#log = log;
		this.#now = now;
		this.#targetVersions = new TargetVersions(this.weightsTracker, {
			log, now, maxWeightsStaleness, onChanged: change => {
				this.#recordStateChange(change);
			},
		});
	}

	get routes(): RouteIndex | undefined {
		return this.#routes;
	}

	get configuration(): Configuration | undefined {
		return this.#routes?.configuration;
	}

	/** The store revision up to which changes have been applied. */
	get revision(): number {
		return this.#revision;
	}

	/** Counts the changes of the configuration, servers and target versions since the start. */
	get stateVersion(): number {
		return this.#stateVersion;
	}

	/** Number of store entries that could not be parsed since the start. */
	get unreadableEntries(): number {
		return this.#unreadableEntries;
	}

	/** @returns Time since the current configuration was applied; the reading of the monotonic clock while there is none. */
	configurationAge(): Milliseconds {
		return this.#now() - this.#configurationAppliedAt;
	}

	/**
	 * Applies changes from the store or a peer.
	 *
	 * @param batch - The changes and the store revision that they lead to.
	 * @param isComplete - Whether the batch lists every server, so that unlisted ones are removed.
	 * @param source - Origin of the changes for the log: `store` or a peer's name.
	 * @param unchangedUntil - For changes from the store: monotonic time at which they certainly had not been made; `undefined` if it is not known.
	 */
	apply(batch: ChangeBatch, isComplete: boolean, source: string, unchangedUntil = Number.NEGATIVE_INFINITY): void {
		for (const change of batch.changes) {
			this.#applyChange(change, source, unchangedUntil);
		}

		if (isComplete) {
			this.#removeUnlisted(new Set(batch.changes.flatMap(change => change.type === 'server' ? [change.entry.id] : [])), batch.revision, source);
		}

		this.#revision = Math.max(this.#revision, batch.revision);
		this.#listener.onServersChanged();
	}

	/**
	 * Applies the changes that a peer has returned for `changesSince`.
	 *
	 * @param missing - The changes and the ids of all servers.
	 * @param source - The peer's name, for the log.
	 */
	applyMissing(missing: MissingChanges, source: string): void {
		this.apply(missing, false, source);
		this.#removeUnlisted(new Set(missing.serverIds), missing.revision, source);
		this.#listener.onServersChanged();
	}

	/**
	 * Records that there are no changes up to a store revision that have not been applied.
	 *
	 * @param revision - The store revision.
	 */
	confirmRevision(revision: number): void {
		this.#revision = Math.max(this.#revision, revision);
	}

	/**
	 * Lists the changes that a member lacks.
	 *
	 * @param known - What the member knows already.
	 * @returns The changes: all target versions, because their ages may have been corrected, and the newer ones of the others.
	 */
	changesSince(known: KnownState): MissingChanges {
		const servers = this.servers.listEntries();
		const configuration = this.configuration;
		const changedServers = servers.filter(({entry}) => (this.#serverVersions.get(entry.id) ?? 0) > known.stateVersion);
		return {
			changes: [
				...(configuration !== undefined && configuration.version > known.configuration ? [{type: 'configuration', revision: this.#configurationRevision, configuration} as const] : []),
				...changedServers.map(({entry, revision}) => ({type: 'server', revision, entry} as const)),
				...listObservedWeights(this, changedServers),
				...this.#targetVersions.describe(),
				...listRolloutChanges(this.rollouts, this.#now()),
			],
			revision: this.#revision,
			serverIds: servers.map(({entry}) => entry.id),
			stateVersion: this.#stateVersion,
		};
	}

	/** @returns The complete state, for an outdated peer. */
	snapshot(): ChangeBatch {
		const changes: StateChange[] = this.servers.listEntries().map(({entry, revision}) => ({type: 'server', revision, entry}));
		const configuration = this.configuration;
		if (configuration !== undefined) {
			changes.push({type: 'configuration', revision: this.#configurationRevision, configuration});
		}

		changes.push(...listObservedWeights(this, this.servers.listEntries()), ...this.#targetVersions.describe(), ...listRolloutChanges(this.rollouts, this.#now()));
		for (const description of this.hosts.listRelays(this.#now())) {
			changes.push({type: 'host', revision: 0, description});
		}

		return {changes, revision: this.#revision};
	}

	/** Removes servers whose entries expired during a store outage and that have not registered again, and what was known of servers that are gone. */
	removeExpiredServers(): void {
		for (const id of this.servers.removeExpired(this.#now())) {
			this.#removeServer(id, this.#revision, 'lapse');
		}

		this.serverNotices.removeExpired(this.#now());
		for (const knowledge of [this.learnedCapacity, this.brittleServers]) {
			knowledge.removeUnknown(({id, incarnation}) => this.servers.findEntry(id)?.incarnation === incarnation);
		}
	}

	/**
	 * Finds the version of the weights that a server runs.
	 *
	 * @param entry - The server's entry.
	 * @param model - The model's name.
	 * @returns The newest version in its entry, responses or reports; 0 when none is known.
	 */
	observedVersion(entry: ServerEntry, model: string): number {
		return Math.max(entry.weights[model] ?? 0, this.weightsTracker.observedVersion(entry.id, model));
	}

	/**
	 * Records the version of the weights that a server was observed to run. Versions that are not newer and unknown servers are ignored.
	 *
	 * @param id - The server's id.
	 * @param model - The model's name.
	 * @param version - The observed version.
	 */
	recordObservedVersion(id: string, model: string, version: number): void {
		const entry = this.servers.findEntry(id);
		if (entry === undefined || version <= this.observedVersion(entry, model)) {
			return;
		}

		this.weightsTracker.recordObservedVersion(id, model, version);
		// New weights invalidate the server's prompt cache.
		this.promptCache.clearLocation(id);
		this.#log.info('weights', {server: id, model, version});
		this.#listener.onServersChanged();
	}

	#removeUnlisted(ids: ReadonlySet<string>, revision: number, source: string): void {
		for (const id of this.servers.removeUnlisted(ids, revision, this.#now())) {
			this.#removeServer(id, revision, source);
		}
	}

	#recordStateChange(change: Exclude<StateChange, {readonly type: 'configuration'}> | undefined): void {
		this.#stateVersion++;
		this.#listener.onStateChanged(change);
	}

	#applyChange(change: StateChange, source: string, unchangedUntil: Milliseconds): void {
		switch (change.type) {
			case 'configuration': {
				this.#applyConfiguration(change.configuration, change.revision, source);
				break;
			}

			case 'server': {
				this.#applyServer(change.entry, change.revision, source);
				break;
			}

			case 'observed-weights': {
				applyObservedWeights(this, change);
				break;
			}

			case 'server-gone': {
				if (this.servers.applyRemoval(change.id, change.revision, this.#now())) {
					this.#removeServer(change.id, change.revision, source);
				}

				break;
			}

			case 'weights': {
				this.#targetVersions.apply(change, source, unchangedUntil);
				break;
			}

			case 'rollout':
			case 'rollout-progress': {
				if (applyRolloutChange(this.rollouts, change, {
					now: this.#now(), unchangedUntil, source, log: this.#log,
				})) {
					this.#recordStateChange(change);
				}

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
				this.#unreadableEntries++;
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
		this.#configurationAppliedAt = this.#now();
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
		this.#recordStateChange(undefined);
	}

	#applyServer(entry: ServerEntry, revision: number, source: string): void {
		const previous = this.servers.findEntry(entry.id);
		const change = this.servers.applyEntry(entry, revision);
		if (change === 'nothing') {
			return;
		}

		if (change === 'incarnation') {
			this.#clearServerState(entry.id);
			this.#setCacheCapacity(entry);
		}

		for (const [model, version] of Object.entries(entry.weights)) {
			if (previous !== undefined && change === 'entry' && version > (previous.weights[model] ?? 0) && version > this.weightsTracker.observedVersion(entry.id, model)) {
				this.promptCache.clearLocation(entry.id);
				this.weightsTracker.recordObservedVersion(entry.id, model, version);
			}
		}

		this.#log.info('server', {
			id: entry.id, service: entry.service, version: entry.softwareVersion, incarnation: entry.incarnation, draining: entry.isDraining, weights: entry.weights, revision, change, source,
		});
		this.#serverVersions.set(entry.id, this.#stateVersion + 1);
		this.#recordStateChange({type: 'server', revision, entry});
	}

	#setCacheCapacity(entry: ServerEntry): void {
		const engine = this.configuration?.services.find(service => service.name === entry.service)?.engine;
		if (engine !== undefined) {
			this.promptCache.setCapacity(entry.id, engine.memoryTokens * cacheMemoryShare);
		}
	}

	#removeServer(id: string, revision: number, source: string): void {
		this.#clearServerState(id);
		this.promptCache.removeLocation(id);
		this.#serverVersions.delete(id);
		this.#log.info('server-gone', {id, source, revision});
		this.#recordStateChange({type: 'server-gone', revision, id});
		this.#listener.onServerRemoved(id);
	}

	#clearServerState(id: string): void {
		this.promptCache.clearLocation(id);
		this.health.clearServer(id);
		this.engineObservations.clearServer(id);
		this.weightsTracker.clearServer(id);
	}
}
