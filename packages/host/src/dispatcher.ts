import {
	type EnginePlacement, type EngineCandidate, type ServerCandidate, type Route, type ServerEntry, type Service, EnginePlacer, RequestQueue,
	chooseLeastLoadedServer, defaultEnginePlacementOptions, estimateQueueTime,
} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from './cluster-state.js';
import type {ClientRequest} from './ports.js';

/** A request as the dispatcher places it. */
export type PlacementRequest = {
	readonly request: ClientRequest;
	readonly route: Route;
	readonly service: string;
	readonly workspace: string | undefined;
	/** The workspace shares no cached prompt with others. */
	readonly isIsolated: boolean;
	/** Servers that have had the request. */
	readonly excludedServers: ReadonlySet<string>;
};

/** Where a request goes. */
export type ChosenServer = {
	readonly entry: ServerEntry;
	/** Present for generations. */
	readonly engine: EnginePlacement | undefined;
};

/** The choice, or why there is none: `full` may change soon, `none` means that no server can be used. */
export type PlacementResult
	= | {readonly type: 'chosen'; readonly chosen: ChosenServer}
		| {readonly type: 'full'; readonly estimatedWait: Milliseconds}
		| {readonly type: 'none'};

/** Something that waits for a server. */
export type PendingRequest = {
	/** Tries to go on; true when it has left the line. */
	tryPlace(): boolean;
	onQueueTimeout(): void;
};

/** Old weights begin to cost a share of an answer's worth 1.5 s after newer ones were named; the move begins a little earlier. */
const oldWeightsGrace: Milliseconds = 1100;

/** How often those who wait are offered to the servers, beside each change that makes room. */
const offerInterval: Milliseconds = 10;

/** The time of a plain call until outcomes are known, for the estimate of waits. */
const plainServiceTime: Milliseconds = 50;

/** No request is sent to weights that will be out of date for too long by the time it begins: servers may queue it this long. */
const beginMargin: Milliseconds = 1500;

export type DispatcherOptions = {
	readonly failureDomain: string;
	readonly now: () => Milliseconds;
	/** How long weights may be out of date when a request begins on them. */
	maxWeightsStaleness(): Milliseconds;
};

/** Chooses servers by what the host believes, and keeps those who wait in line. */
export class Dispatcher {
	readonly #beliefs: ClusterState;
	readonly #placer: EnginePlacer;
	readonly #failureDomain: string;
	readonly #weightsWithin: () => Milliseconds;
	readonly #now: () => Milliseconds;
	readonly #lines = new Map<string, RequestQueue<PendingRequest>>();
	#isOffering = false;

	constructor(beliefs: ClusterState, options: DispatcherOptions) {
		this.#beliefs = beliefs;
		this.#placer = new EnginePlacer(beliefs.promptCache);
		this.#failureDomain = options.failureDomain;
		this.#weightsWithin = options.maxWeightsStaleness;
		this.#now = options.now;
	}

	get queuedRequests(): number {
		let waiting = 0;
		for (const line of this.#lines.values()) {
			waiting += line.size;
		}

		return waiting;
	}

	/**
	 * Starts offering those who wait to the servers.
	 *
	 * @returns Stops it.
	 */
	start(): () => void {
		const timer = setInterval(() => {
			this.dispatchQueued();
		}, offerInterval);
		return () => {
			clearInterval(timer);
		};
	}

	/**
	 * Chooses a server in the very step in which the request is sent: what is believed of draining servers is as fresh as can be.
	 *
	 * @param question - The request.
	 * @returns The choice.
	 */
	place(question: PlacementRequest): PlacementResult {
		const service = this.#beliefs.configuration?.services.find(candidate => candidate.name === question.service);
		const candidates = this.#candidates(question, service);
		if (candidates.length === 0) {
			return {type: 'none'};
		}

		return service?.engine !== undefined && question.request.generation !== undefined
			? this.#placeGeneration(question, service, candidates)
			: this.#placePlain(candidates, question.service);
	}

	/**
	 * Puts a request in line.
	 *
	 * @param service - The service.
	 * @param entry - Its place in the line.
	 */
	enqueue(service: string, entry: {readonly workspace: string; readonly rank: number; readonly size: number; readonly expiresAt: Milliseconds; readonly item: PendingRequest}): void {
		this.#line(service).addRequest(entry);
	}

	/**
	 * Takes a request out of the line.
	 *
	 * @param service - The service.
	 * @param item - The request.
	 */
	removeFromQueue(service: string, item: PendingRequest): void {
		this.#line(service).removeItem(item);
	}

	/** Offers those who wait to the servers, in their order. */
	dispatchQueued(): void {
		if (this.#isOffering) {
			return;
		}

		this.#isOffering = true;
		for (const line of this.#lines.values()) {
			if (line.size > 0) {
				for (const item of line.removeExpired(this.#now())) {
					item.onQueueTimeout();
				}

				line.offerInOrder(item => item.tryPlace());
			}
		}

		this.#isOffering = false;
	}

	#candidates(question: PlacementRequest, service: Service | undefined): ServerEntry[] {
		const now = this.#now();
		return this.#beliefs.servers.listAvailable(question.service).filter(entry =>
			!question.excludedServers.has(entry.id)
			&& this.#beliefs.health.evaluateStatus(entry.id, now) !== 'paused'
			&& (service?.engine === undefined || !this.#beliefs.weightsTracker.isLoading(entry.id, this.#now())));
	}

	#placePlain(candidates: readonly ServerEntry[], service: string): PlacementResult {
		const now = this.#now();
		const rows: ServerCandidate[] = candidates.map(entry => ({
			id: entry.id,
			failureDomain: entry.failureDomain,
			slots: entry.slots,
			requests: this.#beliefs.loads.totalLoad(entry.id, now).requests,
			slowness: this.#beliefs.health.slowness(entry.id, now),
			isFailing: this.#beliefs.health.evaluateStatus(entry.id, now) === 'failing',
		}));
		const chosen = chooseLeastLoadedServer(rows, this.#failureDomain);
		if (chosen === undefined) {
			return {type: 'full', estimatedWait: estimateQueueTime(rows, this.#line(service).size, plainServiceTime)};
		}

		return {type: 'chosen', chosen: {entry: candidates.find(entry => entry.id === chosen.id)!, engine: undefined}};
	}

	#placeGeneration(question: PlacementRequest, service: Service, candidates: readonly ServerEntry[]): PlacementResult {
		const now = this.#now();
		const generation = question.request.generation!;
		const rows: EngineCandidate[] = [];
		for (const entry of candidates) {
			const weightsVersion = this.#beliefs.observedVersion(entry, generation.model);
			const outdatedFor = this.#beliefs.weightsTracker.outdatedTime(generation.model, weightsVersion, now);
			if (weightsVersion > 0 && outdatedFor < this.#weightsWithin() - beginMargin) {
				rows.push({
					id: entry.id,
					address: entry.address,
					failureDomain: entry.failureDomain,
					weightsVersion,
					isOutdated: outdatedFor >= oldWeightsGrace,
					slots: entry.slots,
					memoryTokens: service.engine!.memoryTokens,
					load: this.#beliefs.loads.totalLoad(entry.id, now),
					slowness: this.#beliefs.health.slowness(entry.id, now),
					isRolloutDraining: this.#beliefs.weightsTracker.isRolloutDraining(entry.id, now),
					isFailing: this.#beliefs.health.evaluateStatus(entry.id, now) === 'failing',
				});
			}
		}

		if (rows.length === 0) {
			return {type: 'none'};
		}

		const store = this.#beliefs.configuration?.services.find(candidate => candidate.promptStore !== undefined)?.promptStore;
		const salt = question.isIsolated ? `${generation.model} ${question.workspace ?? ''}` : generation.model;
		const placement = this.#placer.choosePlacement({
			parts: generation.parts,
			promptTokens: generation.promptTokens,
			outputTokens: Math.min(generation.expectedTokens ?? generation.outputTokens, generation.outputTokens),
			objective: question.route.objective,
			cacheSaltFor: version => `${salt} ${version}`,
		}, rows, {
			failureDomain: this.#failureDomain,
			store,
			now,
		});
		if (placement === undefined) {
			const ahead = this.#line(question.service).sizeAhead(question.route.rank) + generation.promptTokens;
			return {type: 'full', estimatedWait: ahead / (defaultEnginePlacementOptions.prefillTokensPerMillisecond * rows.length)};
		}

		if (placement.dispatchNotBefore > now) {
			return {type: 'full', estimatedWait: placement.dispatchNotBefore - now};
		}

		return {type: 'chosen', chosen: {entry: candidates.find(entry => entry.id === placement.server)!, engine: placement}};
	}

	#line(service: string): RequestQueue<PendingRequest> {
		const line = this.#lines.get(service) ?? new RequestQueue<PendingRequest>();
		this.#lines.set(service, line);
		return line;
	}
}
