import {
	type EngineCandidate, type EnginePlacement, type GenerationRequest, EngineObservations, EnginePlacer, PromptCacheIndex, RequestQueue, ServerLoads, defaultEnginePlacementOptions, estimateMemoryTokens, findPartOwners, sampleServers,
} from '@lacewingpoint/routing';
import type {Milliseconds, RandomSource} from '@lacewingpoint/shared';
import type {EventQueue} from './event-queue.js';
import type {ModelEngine} from './model-engine.js';
import type {Site, WorkloadRequest} from './workload.js';

/** The placement policies to compare. */
export const policyNames = ['lacewingpoint', 'no sample', 'no paces', 'no observations', 'no notes', 'least requests', 'round robin'] as const;

/**
 * A placement policy. `no sample` is the placement of lacewingpoint among all servers without paces, `no observations` the one without the learned
 * limit of the backlog that delays running streams and without paces, `no paces` the one that assumes the
 * same speed of all servers; `no notes` is the placement on hosts that do not exchange placements and loads.
 */
export type PolicyName = (typeof policyNames)[number];

/** Address of the prompt store. */
const storeAddress = 'store';

/** All engines belong to one service. */
const serviceName = 'models';

/** Time from the first token until the prompt store has the parts. */
const storeSaveTime: Milliseconds = 60;

/** Prefill is assumed to take longer than predicted by this factor, as in the host program. */
const prefillMargin = 1.3;

/** A request is queued for at most this share of its deadline, as in the host program. */
const maxQueueTimeShare = 0.4;

/** Loads reported by a peer expire after this time. */
const peerExpiry: Milliseconds = 1500;

/** Announcement to other hosts that a location will have the parts of a prompt. */
export type PromptPlacement = {readonly location: string; readonly cacheSalt: string; readonly request: WorkloadRequest; readonly availableAt: Milliseconds};

/** Outcome of a generation request. */
export type GenerationOutcome = {
	readonly request: WorkloadRequest;
	/** Undefined if the request failed. */
	readonly timeToFirstToken: Milliseconds | undefined;
	/** Number of prompt tokens that were cached or fetched; 0 if the request failed. */
	readonly cachedTokens: number;
};

/** The longest pause of a completed response. */
export type PauseOutcome = {readonly request: WorkloadRequest; readonly longestPause: Milliseconds};

export type SimulatedHostOptions = {
	readonly name: string;
	readonly policy: PolicyName;
	readonly site: Site;
	readonly engines: readonly ModelEngine[];
	readonly events: EventQueue;
	readonly random: RandomSource;
	onPlacement(placement: PromptPlacement): void;
	onOutcome(outcome: GenerationOutcome): void;
	onPause(outcome: PauseOutcome): void;
};

type PendingRequest = {readonly request: WorkloadRequest; readonly arrivedAt: Milliseconds; attempts: number};

/** A simulated host. Places generation requests with the placement of lacewingpoint or by a simpler policy. */
export class SimulatedHost {
	readonly serverLoads = new ServerLoads(peerExpiry);
	readonly #options: SimulatedHostOptions;
	readonly #promptCache = new PromptCacheIndex();
	readonly #placer = new EnginePlacer(this.#promptCache, defaultEnginePlacementOptions);
	readonly #observations = new EngineObservations();
	readonly #queue = new RequestQueue<PendingRequest>();
	#nextCandidate = 0;

	constructor(options: SimulatedHostOptions) {
		this.#options = options;
		for (const engine of options.engines) {
			this.#promptCache.setCapacity(engine.id, options.site.engineParameters.memoryTokens * 0.8);
		}
	}

	get name(): string {
		return this.#options.name;
	}

	/** Applies a placement announced by a peer. */
	mergePlacement(placement: PromptPlacement): void {
		this.#promptCache.recordParts(placement.location, placement.cacheSalt, placement.request.parts, placement.availableAt);
	}

	/** Removes the cached prompt parts of an engine, after a crash or a load of weights. */
	forgetEngineCache(engine: string): void {
		this.#promptCache.clearLocation(engine);
	}

	/** Receives a generation request from a client: sends it to an engine, or queues it. */
	submitRequest(request: WorkloadRequest): void {
		const pending = {request, arrivedAt: this.#options.events.now, attempts: 0};
		if (!this.#tryPlace(pending)) {
			this.#enqueue(pending);
		}
	}

	/** Fails the requests whose queue timeout has passed, and tries to place the others. */
	processQueue(): void {
		for (const pending of this.#queue.removeExpired(this.#options.events.now)) {
			this.#options.onOutcome({request: pending.request, timeToFirstToken: undefined, cachedTokens: 0});
		}

		this.#queue.offerInOrder(pending => this.#tryPlace(pending));
	}

	#enqueue(pending: PendingRequest): void {
		this.#queue.addRequest({
			workspace: '', rank: pending.request.kind.rank, size: pending.request.promptTokens, expiresAt: pending.arrivedAt + (pending.request.kind.deadline * maxQueueTimeShare), item: pending,
		});
	}

	#tryPlace(pending: PendingRequest): boolean {
		const {events, engines} = this.#options;
		const placement = this.#choosePlacement(pending.request);
		if (placement === undefined || placement.dispatchNotBefore > events.now) {
			return false;
		}

		const engine = engines.find(candidate => candidate.id === placement.server)!;
		const load = {prefillTokens: placement.uncachedTokens, memoryTokens: estimateMemoryTokens(pending.request)};
		const sentAt = events.now;
		let remainingLoad = load;
		const removeLoad = () => {
			this.serverLoads.removeRequest(engine.id, remainingLoad);
			remainingLoad = {prefillTokens: 0, memoryTokens: 0};
		};

		const isAccepted = engine.submit({
			parts: pending.request.parts,
			cacheSalt: placement.cacheSalt,
			promptTokens: pending.request.promptTokens,
			outputTokens: pending.request.outputTokens,
			fetchedTokens: placement.fetchedTokens > 0 ? placement.cachedTokens + placement.fetchedTokens : 0,
			onFirstToken: cachedTokens => {
				this.#recordFirstToken(placement, events.now - sentAt);
				this.serverLoads.completePrefill(engine.id, remainingLoad.prefillTokens);
				remainingLoad = {...remainingLoad, prefillTokens: 0};
				this.#options.onOutcome({request: pending.request, timeToFirstToken: events.now - pending.arrivedAt, cachedTokens});
			},
			onCompleted: longestPause => {
				removeLoad();
				this.#observations.recordPause(serviceName, {pause: longestPause, objective: pending.request.kind.pauseObjective, backlog: this.serverLoads.totalLoad(engine.id, events.now).prefillTokens}, events.now);
				this.#options.onPause({request: pending.request, longestPause});
			},
			onCrashed: () => {
				removeLoad();
				this.#retry(pending);
			},
		});
		if (!isAccepted) {
			return false;
		}

		this.serverLoads.addRequest(engine.id, load);
		this.#announcePlacement(pending.request, placement);
		return true;
	}

	get #learnsPaces(): boolean {
		return this.#options.policy === 'lacewingpoint' || this.#options.policy === 'no notes';
	}

	#recordFirstToken(placement: EnginePlacement, time: Milliseconds): void {
		if (this.#learnsPaces) {
			this.#observations.recordFirstToken(serviceName, {
				server: placement.server, prefillTokens: placement.prefillTokens, time, expectedTime: placement.predictedTimeToFirstToken / placement.slowness, isUndisturbed: placement.isLightlyLoaded && placement.fetchedTokens === 0,
			}, this.#options.events.now);
		}
	}

	#retry(pending: PendingRequest): void {
		pending.attempts++;
		if (pending.attempts > 1) {
			this.#options.onOutcome({request: pending.request, timeToFirstToken: undefined, cachedTokens: 0});
		} else {
			this.#enqueue(pending);
		}
	}

	#announcePlacement(request: WorkloadRequest, placement: EnginePlacement): void {
		const {events} = this.#options;
		const availableAt = events.now + (placement.predictedTimeToFirstToken * prefillMargin);
		for (const [location, locationAvailableAt] of [[placement.server, availableAt], [storeAddress, availableAt + storeSaveTime]] as const) {
			const announcement = {
				location, cacheSalt: placement.cacheSalt, request, availableAt: locationAvailableAt,
			};
			this.mergePlacement(announcement);
			this.#options.onPlacement(announcement);
		}
	}

	#choosePlacement(request: WorkloadRequest): EnginePlacement | undefined {
		const {policy, events} = this.#options;
		const candidates = this.#listCandidates();
		const generation: GenerationRequest = {
			parts: request.parts, promptTokens: request.promptTokens, outputTokens: request.outputTokens, objective: request.kind.objective, cacheSaltFor: version => `v${version}`,
		};
		const context = {failureDomain: 'a', stores: [{address: storeAddress, failureDomain: 'a'}], now: events.now};
		if (policy === 'lacewingpoint' || policy === 'no sample' || policy === 'no notes' || policy === 'no paces') {
			return this.#placer.choosePlacement(generation, policy === 'lacewingpoint' || policy === 'no paces' ? this.#sampleCandidates(request, candidates) : candidates, {...context, speed: this.#observations.speed(serviceName), prefillBacklogLimit: this.#observations.prefillBacklogLimit(serviceName, events.now)});
		}

		if (policy === 'no observations') {
			return this.#placer.choosePlacement(generation, candidates, context);
		}

		const byLoad = candidates.toSorted((left, right) => left.load.requests - right.load.requests);
		const candidate = policy === 'round robin' ? candidates[this.#nextCandidate++ % Math.max(candidates.length, 1)] : byLoad[0];
		// The simpler policies use the prompt store as well, so that they differ only in the choice of the server.
		const placement = candidate === undefined ? undefined : this.#placer.choosePlacement(generation, [candidate], context);
		return placement === undefined ? undefined : {...placement, dispatchNotBefore: 0};
	}

	#sampleCandidates(request: WorkloadRequest, candidates: readonly EngineCandidate[]): readonly EngineCandidate[] {
		const current = candidates.filter(candidate => !candidate.isOutdated);
		return sampleServers(candidates, findPartOwners(request.parts.slice(0, -1), current), this.#options.random);
	}

	#listCandidates(): EngineCandidate[] {
		const {engines, site, events} = this.#options;
		const latestVersion = Math.max(...engines.map(engine => engine.weightsVersion));
		return engines.filter(engine => engine.isRunning && !engine.isReloading).map(engine => ({
			id: engine.id,
			address: engine.id,
			failureDomain: 'a',
			weightsVersion: engine.weightsVersion,
			isOutdated: engine.weightsVersion < latestVersion,
			slots: site.engineParameters.slots,
			memoryTokens: site.engineParameters.memoryTokens,
			load: this.serverLoads.totalLoad(engine.id, events.now),
			slowness: this.#observations.slowness(serviceName, engine.id, events.now),
			isRolloutDraining: false,
			isFailing: false,
		}));
	}
}
