import {
	type HeldRequest, type QueuedRequest, type ServerCandidate, type ServerEntry, RequestQueue, chooseLeastLoadedServer, defaultSampleSize, estimateQueueTime, sampleMatchingServers,
} from '@lacewingpoint/routing';
import type {
	Disposable, Logger, Metrics, Milliseconds, RandomSource,
} from '@lacewingpoint/shared';
import {HostAdmission} from '../admission/host-admission.js';
import {type GenerationPlacementOptions, GenerationPlacement} from '../placement/generation-placement.js';
import type {PlacementRequest, PlacementResult} from '../placement/placement-request.js';
import {type ServerFilterOptions, ServerFilter} from '../placement/server-filter.js';
import type {ClusterState} from '../state/cluster-state.js';

/** A request that waits in a queue for a server. */
export type PendingRequest = {
	/** Whether the request waits for a server's capacity, as far as its last placement showed. */
	readonly waitsForCapacity: boolean;
	/** @returns Whether the request was sent to a server or is finished, so that it leaves the queue. */
	tryPlace(): boolean;
	/** @returns Whether a server has capacity for the request, which is not sent yet. */
	hasCapacity(): boolean;
	/** Called after the request was removed from the queue because it had waited too long. */
	onQueueTimeout(): void;
};

/** Queued requests, if any, are dispatched at this interval, in addition to each change that frees capacity. */
const dispatchInterval: Milliseconds = 10;

/** Assumed service time of a request other than a generation, for the estimate of queue times. */
const assumedServiceTime: Milliseconds = 50;

/** The share of requests whose server is chosen without regard to connections. Otherwise a new server would get none while the others have room. */
const unconnectedShare = 0.1;

type WaitingEntry = QueuedRequest<PendingRequest> & HeldRequest;

export type DispatcherOptions = ServerFilterOptions & GenerationPlacementOptions & {
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly sharesWaitingOrder?: boolean | undefined;
	/** @returns Whether a connection to the server can be used again; by default, there is none. */
	readonly hasIdleConnection?: (entry: ServerEntry) => boolean;
};

/** Chooses servers from the cluster state, and queues the requests that no server has capacity for. */
export class Dispatcher implements Disposable {
	readonly #clusterState: ClusterState;
	readonly #filter: ServerFilter;
	readonly #generationPlacement: GenerationPlacement;
	readonly #failureDomain: string;
	readonly #hasIdleConnection: (entry: ServerEntry) => boolean;
	readonly #random: RandomSource;
	readonly #now: () => Milliseconds;
	readonly #admission: HostAdmission;
	readonly #queues = new Map<string, RequestQueue<PendingRequest, WaitingEntry>>();
	#isDispatching = false;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param clusterState - The configuration, servers and loads as this host knows them.
	 * @param options - This host's failure domain, its clock and the limit on outdated weights.
	 */
	constructor(clusterState: ClusterState, options: DispatcherOptions) {
		this.#clusterState = clusterState;
		this.#filter = new ServerFilter(clusterState, options);
		this.#generationPlacement = new GenerationPlacement(clusterState, options);
		this.#failureDomain = options.failureDomain;
		this.#hasIdleConnection = options.hasIdleConnection ?? (() => false);
		this.#random = options.random;
		this.#now = options.now;
		this.#admission = new HostAdmission(clusterState, {...options, listWaiting: () => this.#listWaiting()});
	}

	/** Tells which servers may get requests. */
	get serverFilter(): ServerFilter {
		return this.#filter;
	}

	/** The order of waiting that all hosts share. */
	get admission(): HostAdmission {
		return this.#admission;
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
	 * Chooses a server for a request. Check `serverFilter.isAvailable` again before the request is written, as the server may have started to drain since.
	 *
	 * @param placementRequest - The request, its route and the servers to leave out.
	 * @returns The chosen server, or why there is none.
	 */
	place(placementRequest: PlacementRequest): PlacementResult {
		const service = this.#clusterState.configuration?.services.find(candidate => candidate.name === placementRequest.service);
		const {generation} = placementRequest.request;
		const engine = generation === undefined ? undefined : service?.engine;
		let hasUsable = false;
		let shortestWait = Number.POSITIVE_INFINITY;
		const entries = sampleMatchingServers(this.#clusterState.servers.listAvailable(placementRequest.service), entry => {
			if (!this.#filter.isUsable(entry, placementRequest, service)) {
				return false;
			}

			hasUsable = true;
			const wait = this.#filter.waitTime(entry);
			shortestWait = Math.min(shortestWait, wait);
			return wait === 0 && this.#filter.hasCapacity(entry);
		}, this.#random, engine === undefined ? defaultSampleSize : Number.POSITIVE_INFINITY);
		if (entries.length === 0) {
			if (!hasUsable) {
				return {type: 'none'};
			}

			return shortestWait === 0 ? {type: 'full', estimatedWait: assumedServiceTime} : {type: 'paused', wait: shortestWait};
		}

		return engine === undefined
			? this.#placePlain(entries, placementRequest.service)
			: this.#generationPlacement.place(placementRequest, engine, entries, this.#queueFor(placementRequest.service).sizeAhead(placementRequest.route.rank));
	}

	/**
	 * Describes how much room a service has.
	 *
	 * @param service - Name of the service.
	 * @returns The requests at its available servers as a share of their slots, and whether requests are queued for them here.
	 */
	describeRoom(service: string): {readonly loadShare: number; readonly hasQueue: boolean} {
		let requests = 0;
		let slots = 0;
		for (const entry of this.#clusterState.servers.listAvailable(service)) {
			requests += this.#clusterState.loads.totalLoad(entry.id, this.#now()).requests;
			slots += entry.slots;
		}

		return {loadShare: slots === 0 ? 1 : requests / slots, hasQueue: this.#queueFor(service).size > 0};
	}

	/**
	 * Adds a request to the queue of a service.
	 *
	 * @param service - Name of the service.
	 * @param entry - The request and what its order in the queue depends on; `expiresAt` is in monotonic time.
	 */
	enqueue(service: string, entry: WaitingEntry): void {
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

	/** Removes expired requests from the queues, then tries to place the others in queue order. */
	dispatchQueued(): void {
		if (this.#isDispatching) {
			return;
		}

		this.#isDispatching = true;
		try {
			for (const [service, queue] of this.#queues) {
				if (queue.size > 0) {
					for (const item of queue.removeExpired(this.#now())) {
						item.onQueueTimeout();
					}

					this.#offer(service, queue);
				}
			}
		} finally {
			this.#isDispatching = false;
		}

		if (this.queuedRequests === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
		}
	}

	/** Stops dispatching. */
	dispose(): void {
		clearInterval(this.#timer);
	}

	#offer(service: string, queue: RequestQueue<PendingRequest, WaitingEntry>): void {
		if (!this.#admission.isInForce) {
			queue.offerInOrder(item => item.tryPlace());
			return;
		}

		// One probe tells whether those that go first leave capacity unused.
		let isProbed = false;
		queue.offerInOrder((item, level) => {
			if (this.#admission.admits(service, level)) {
				const isPlaced = item.tryPlace();
				if (!isPlaced && this.#admission.isHeldBack(service, level)) {
					this.#admission.recordHeldCapacity(service, false);
				}

				return isPlaced;
			}

			if (!isProbed) {
				isProbed = true;
				this.#admission.recordHeldCapacity(service, item.hasCapacity());
			}

			return false;
		}, request => this.#admission.classify(service, request));
	}

	#listWaiting(): ReadonlyMap<string, readonly WaitingEntry[]> {
		return new Map([...this.#queues].map(([service, queue]) => [service, queue.list().filter(({item}) => item.waitsForCapacity)]));
	}

	#placePlain(entries: readonly ServerEntry[], service: string): PlacementResult {
		const now = this.#now();
		const prefersConnections = this.#random.next() >= unconnectedShare;
		const candidates: ServerCandidate[] = entries.map(entry => ({
			id: entry.id,
			failureDomain: entry.failureDomain,
			slots: entry.slots,
			requests: this.#clusterState.loads.totalLoad(entry.id, now).requests,
			slowness: this.#clusterState.engineObservations.slowness(service, entry.id, now),
			isFailing: this.#clusterState.health.evaluateStatus(entry.id, now) === 'failing',
			hasIdleConnection: !prefersConnections || this.#hasIdleConnection(entry),
		}));
		const chosen = chooseLeastLoadedServer(candidates, this.#failureDomain);
		if (chosen === undefined) {
			return {type: 'full', estimatedWait: estimateQueueTime(candidates, this.#queueFor(service).size, assumedServiceTime)};
		}

		return {type: 'chosen', chosen: {entry: entries.find(entry => entry.id === chosen.id)!, engine: undefined}};
	}

	#queueFor(service: string): RequestQueue<PendingRequest, WaitingEntry> {
		const queue = this.#queues.get(service) ?? new RequestQueue<PendingRequest, WaitingEntry>();
		this.#queues.set(service, queue);
		return queue;
	}
}

