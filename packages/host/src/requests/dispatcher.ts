import {
	type EngineCandidate, type EnginePlacement, type EngineProfile, type Route, type ServerCandidate, type ServerEntry, type Service, EnginePlacer, RequestQueue,
	chooseLeastLoadedServer, defaultEnginePlacementOptions, defaultSampleSize, estimateQueueTime, findPartOwners, sampleServers,
} from '@lacewingpoint/routing';
import {
	type Disposable, type Milliseconds, type RandomSource, millisecondsPerSecond,
} from '@lacewingpoint/shared';
import type {ClusterState} from '../state/cluster-state.js';
import type {ClientRequest} from '../ports.js';

/** A request to be placed on a server, with everything that the choice depends on. */
export type PlacementRequest = {
	readonly request: ClientRequest;
	readonly route: Route;
	readonly service: string;
	readonly workspace: string | undefined;
	/** Whether the prompt cache of the workspace is kept apart from that of other workspaces. */
	readonly isIsolated: boolean;
	/** Ids of the servers that were tried already. */
	readonly excludedServers: ReadonlySet<string>;
	/** The software version that began the stream; `undefined` if any server may execute the request. */
	readonly requiredVersion: string | undefined;
};

/** The server chosen for a request. */
export type ChosenServer = {
	readonly entry: ServerEntry;
	/** The placement on a model server; `undefined` for requests other than generations. */
	readonly engine: EnginePlacement | undefined;
	/** How long the server's weights had been outdated, as far as this host knows; `undefined` for requests other than generations. */
	readonly outdatedTime?: Milliseconds;
};

/**
 * The chosen server, or why there is none.
 *
 * - `full`: no server has capacity yet, or a shared part of the prompt is still being prefilled.
 * - `paused`: the servers want no requests until the end of `wait`, as they asked for pauses or named limits.
 * - `none`: no server is available.
 */
export type PlacementResult
	= | {readonly type: 'chosen'; readonly chosen: ChosenServer}
		| {readonly type: 'full'; readonly estimatedWait: Milliseconds}
		| {readonly type: 'paused'; readonly wait: Milliseconds}
		| {readonly type: 'none'};

/** A request that waits in a queue for a server. */
export type PendingRequest = {
	/** @returns Whether the request was sent to a server or is finished, so that it leaves the queue. */
	tryPlace(): boolean;
	/** Called after the request was removed from the queue because it had waited too long. */
	onQueueTimeout(): void;
};

/**
 * A response on outdated weights loses part of its value 1.5 s after a newer target version was published. Servers count as outdated a
 * little earlier, so that requests move to updated servers before then.
 */
const outdatedWeightsGrace: Milliseconds = 1100;

/** Queued requests, if any, are dispatched at this interval, in addition to each change that frees capacity. */
const dispatchInterval: Milliseconds = 10;

/** Assumed service time of a request other than a generation, for the estimate of queue times. */
const assumedServiceTime: Milliseconds = 50;

/**
 * Subtracted from the allowed staleness of weights: a server may queue a request this long, and the weights must still be allowed when
 * the request begins.
 */
const serverQueueMargin: Milliseconds = 1500;

/** The share of a link's bandwidth that one fetch reaches, since fetches of other servers share the link. */
const fetchBandwidthShare = 0.6;

export type DispatcherOptions = {
	readonly hostName: string;
	readonly failureDomain: string;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	/** @returns How long weights may have been outdated when a request begins on them. */
	maxWeightsStaleness(): Milliseconds;
};

/** Chooses servers from the cluster state, and queues the requests that no server has capacity for. */
export class Dispatcher implements Disposable {
	readonly #clusterState: ClusterState;
	readonly #enginePlacer: EnginePlacer;
	readonly #hostName: string;
	readonly #failureDomain: string;
	readonly #maxWeightsStaleness: () => Milliseconds;
	readonly #random: RandomSource;
	readonly #now: () => Milliseconds;
	readonly #queues = new Map<string, RequestQueue<PendingRequest>>();
	#isDispatching = false;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param clusterState - The configuration, servers and loads as this host knows them.
	 * @param options - This host's failure domain, its clock and the limit on outdated weights.
	 */
	constructor(clusterState: ClusterState, options: DispatcherOptions) {
		this.#clusterState = clusterState;
		this.#enginePlacer = new EnginePlacer(clusterState.promptCache);
		this.#hostName = options.hostName;
		this.#failureDomain = options.failureDomain;
		this.#maxWeightsStaleness = options.maxWeightsStaleness;
		this.#random = options.random;
		this.#now = options.now;
	}

	/** The number of queued requests, over all services. */
	get queuedRequests(): number {
		let count = 0;
		for (const queue of this.#queues.values()) {
			count += queue.size;
		}

		return count;
	}

	/**
	 * Chooses a server for a request. Check `isAvailable` again before the request is written, as the server may have started to drain since.
	 *
	 * @param placementRequest - The request, its route and the servers to leave out.
	 * @returns The chosen server, or why there is none.
	 */
	place(placementRequest: PlacementRequest): PlacementResult {
		const service = this.#clusterState.configuration?.services.find(candidate => candidate.name === placementRequest.service);
		const usableEntries = this.#findUsableEntries(placementRequest, service);
		let shortestWait = Number.POSITIVE_INFINITY;
		const entries = usableEntries.filter(entry => {
			const wait = this.#waitTime(entry);
			shortestWait = Math.min(shortestWait, wait);
			return wait === 0;
		});
		if (entries.length === 0) {
			return usableEntries.length === 0 ? {type: 'none'} : {type: 'paused', wait: shortestWait};
		}

		const belowCapacity = entries.filter(entry => this.#hasCapacity(entry));
		if (belowCapacity.length === 0) {
			return {type: 'full', estimatedWait: assumedServiceTime};
		}

		const {generation} = placementRequest.request;
		if (service?.engine !== undefined && generation !== undefined) {
			return this.#placeGeneration(placementRequest, service, sampleServers(belowCapacity, this.#findOwners(belowCapacity, generation), this.#random));
		}

		return this.#placePlain(sampleServers(belowCapacity, new Set(), this.#random), placementRequest.service);
	}

	/**
	 * Adds a request to the queue of a service.
	 *
	 * @param service - Name of the service.
	 * @param entry - The request and what its order in the queue depends on; `expiresAt` is in monotonic time.
	 */
	enqueue(service: string, entry: {readonly workspace: string; readonly rank: number; readonly size: number; readonly expiresAt: Milliseconds; readonly item: PendingRequest}): void {
		this.#queueFor(service).addRequest(entry);
		this.#timer ??= setInterval(() => {
			this.dispatchQueued();
		}, dispatchInterval);
	}

	/**
	 * Removes a request from the queue of a service.
	 *
	 * @param service - Name of the service.
	 * @param item - The item that was enqueued.
	 */
	removeFromQueue(service: string, item: PendingRequest): void {
		this.#queueFor(service).removeItem(item);
	}

	/**
	 * Tells whether this host does not reach some servers of a service, so that a peer may have more of them.
	 *
	 * @param service - Name of the service.
	 * @returns Whether a server is paused because it could not be reached or has stalled.
	 */
	hasUnreachableServer(service: string): boolean {
		const {servers, health} = this.#clusterState;
		return servers.listAvailable(service).some(({id}) => health.evaluateStatus(id, this.#now()) === 'paused');
	}

	/**
	 * Tells whether a server may still get requests, after it was chosen.
	 *
	 * @param entry - The server.
	 * @returns False if the same process is no longer listed, is draining or has said that it is leaving.
	 */
	isAvailable(entry: ServerEntry): boolean {
		const {servers, serverNotices} = this.#clusterState;
		return servers.listAvailable(entry.service).some(({id, incarnation}) => id === entry.id && incarnation === entry.incarnation) && !serverNotices.isLeaving(entry);
	}

	/** Removes expired requests from the queues, then tries to place the others in queue order. */
	dispatchQueued(): void {
		if (this.#isDispatching) {
			return;
		}

		this.#isDispatching = true;
		for (const queue of this.#queues.values()) {
			if (queue.size > 0) {
				for (const item of queue.removeExpired(this.#now())) {
					item.onQueueTimeout();
				}

				queue.offerInOrder(item => item.tryPlace());
			}
		}

		this.#isDispatching = false;
		if (this.queuedRequests === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
		}
	}

	/** Stops dispatching. */
	dispose(): void {
		clearInterval(this.#timer);
	}

	#findUsableEntries(placementRequest: PlacementRequest, service: Service | undefined): ServerEntry[] {
		const now = this.#now();
		return this.#clusterState.servers.listAvailable(placementRequest.service).filter(entry =>
			!placementRequest.excludedServers.has(entry.id)
			&& (placementRequest.requiredVersion === undefined || (entry.softwareVersion ?? '') === placementRequest.requiredVersion)
			&& !this.#clusterState.serverNotices.isLeaving(entry)
			&& this.#clusterState.health.evaluateStatus(entry.id, now) !== 'paused'
			&& (service?.engine === undefined || !this.#clusterState.weightsTracker.isLoading(entry.id, this.#now())));
	}

	#hasCapacity(entry: ServerEntry): boolean {
		const {loads, learnedCapacity, brittleServers, hosts} = this.#clusterState;
		const now = this.#now();
		const totalRequests = loads.totalLoad(entry.id, now).requests;
		if (totalRequests >= learnedCapacity.limit(entry, now)) {
			return false;
		}

		return !brittleServers.isBrittle(entry, now) || brittleServers.mayTake({
			server: entry,
			ownRequests: loads.localLoad(entry.id).requests,
			totalRequests,
			hostName: this.#hostName,
			peerNames: hosts.listServing(now).map(({name}) => name).filter(name => name !== this.#hostName),
		}, now);
	}

	// How long a server wants no request, because it asked for a pause or named a limit.
	#waitTime(entry: ServerEntry): Milliseconds {
		const now = this.#now();
		const pausedUntil = this.#clusterState.serverNotices.pausedUntil(entry, now);
		return pausedUntil === undefined ? this.#clusterState.serverLimits.waitTime(entry, now, this.#random) : pausedUntil - now;
	}

	// Parts are owned by servers with the newest weights, which the others will have soon.
	#findOwners(entries: readonly ServerEntry[], {model, parts}: NonNullable<ClientRequest['generation']>): Set<string> {
		if (entries.length <= defaultSampleSize) {
			return new Set();
		}

		const versions = new Map(entries.map(entry => [entry, this.#clusterState.observedVersion(entry, model)]));
		const newest = Math.max(...versions.values());
		return findPartOwners(parts.slice(0, -1), entries.filter(entry => versions.get(entry) === newest));
	}

	#placePlain(entries: readonly ServerEntry[], service: string): PlacementResult {
		const now = this.#now();
		const candidates: ServerCandidate[] = entries.map(entry => ({
			id: entry.id,
			failureDomain: entry.failureDomain,
			slots: entry.slots,
			requests: this.#clusterState.loads.totalLoad(entry.id, now).requests,
			slowness: this.#clusterState.health.slowness(entry.id, now),
			isFailing: this.#clusterState.health.evaluateStatus(entry.id, now) === 'failing',
		}));
		const chosen = chooseLeastLoadedServer(candidates, this.#failureDomain);
		if (chosen === undefined) {
			return {type: 'full', estimatedWait: estimateQueueTime(candidates, this.#queueFor(service).size, assumedServiceTime)};
		}

		return {type: 'chosen', chosen: {entry: entries.find(entry => entry.id === chosen.id)!, engine: undefined}};
	}

	#placeGeneration(placementRequest: PlacementRequest, service: Service, entries: readonly ServerEntry[]): PlacementResult {
		const now = this.#now();
		const generation = placementRequest.request.generation!;
		const candidates: EngineCandidate[] = [];
		for (const entry of entries) {
			const weightsVersion = this.#clusterState.observedVersion(entry, generation.model);
			const outdatedTime = this.#clusterState.weightsTracker.outdatedTime(generation.model, weightsVersion, now);
			if (weightsVersion > 0 && outdatedTime < this.#maxWeightsStaleness() - serverQueueMargin) {
				candidates.push({
					id: entry.id,
					address: entry.address,
					failureDomain: entry.failureDomain,
					weightsVersion,
					isOutdated: outdatedTime >= outdatedWeightsGrace,
					slots: entry.slots,
					memoryTokens: service.engine!.memoryTokens,
					load: this.#clusterState.loads.totalLoad(entry.id, now),
					slowness: this.#clusterState.health.slowness(entry.id, now),
					isRolloutDraining: this.#clusterState.weightsTracker.isRolloutDraining(entry.id, now),
					isFailing: this.#clusterState.health.evaluateStatus(entry.id, now) === 'failing',
				});
			}
		}

		if (candidates.length === 0) {
			return {type: 'none'};
		}

		const promptStore = this.#clusterState.configuration?.services.find(candidate => candidate.promptStore !== undefined)?.promptStore;
		const cacheSalt = placementRequest.isIsolated ? `${generation.model} ${placementRequest.workspace ?? ''}` : generation.model;
		const placement = this.#enginePlacer.choosePlacement({
			parts: generation.parts,
			promptTokens: generation.promptTokens,
			outputTokens: Math.min(generation.expectedOutputTokens ?? generation.outputTokens, generation.outputTokens),
			objective: placementRequest.route.objective,
			cacheSaltFor: version => `${cacheSalt} ${version}`,
		}, candidates, {
			failureDomain: this.#failureDomain,
			store: promptStore,
			now,
			prefillBacklogLimit: this.#clusterState.engineObservations.prefillBacklogLimit(placementRequest.service, now),
			fetchTokensPerMillisecond: estimateFetchRate(service.engine!),
		});
		if (placement === undefined) {
			const tokensAhead = this.#queueFor(placementRequest.service).sizeAhead(placementRequest.route.rank) + generation.promptTokens;
			return {type: 'full', estimatedWait: tokensAhead * defaultEnginePlacementOptions.prefillTimePerToken / candidates.length};
		}

		if (placement.dispatchNotBefore > now) {
			return {type: 'full', estimatedWait: placement.dispatchNotBefore - now};
		}

		const entry = entries.find(({id}) => id === placement.server)!;
		return {type: 'chosen', chosen: {entry, engine: placement, outdatedTime: this.#clusterState.weightsTracker.outdatedTime(generation.model, placement.weightsVersion, now)}};
	}

	#queueFor(service: string): RequestQueue<PendingRequest> {
		const queue = this.#queues.get(service) ?? new RequestQueue<PendingRequest>();
		this.#queues.set(service, queue);
		return queue;
	}
}

function estimateFetchRate({linkMegabits, bytesPerToken}: EngineProfile): number {
	const bytesPerMillisecond = linkMegabits * 1_000_000 / 8 / millisecondsPerSecond;
	return bytesPerMillisecond * fetchBandwidthShare / bytesPerToken;
}
