import {
	type EngineCandidate, type EnginePlacement, type GenerationRequest, EnginePlacer, PromptCacheIndex, RequestQueue, ServerLoads, defaultEnginePlacementOptions, estimateMemoryTokens,
} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {EventQueue} from './event-queue.js';
import type {ModelEngine} from './model-engine.js';
import type {Site, WorkloadRequest} from './workload.js';

/** The policies that are compared. */
export const policyNames = ['lacewingpoint', 'no notes', 'least requests', 'round robin'] as const;

/** `no notes`: the product's placement on hosts that tell each other nothing. */
export type PolicyName = (typeof policyNames)[number];

/** The prompt store's address, and the time from a first token until it has the parts. */
const storeAddress = 'store';
const savingTime: Milliseconds = 60;

/** A prompt is taken to be read this much later than predicted, as in the daemon. */
const readingMargin = 1.3;

/** A request waits in line for at most this share of its time, as in the daemon. */
const longestWaitShare = 0.4;

const peerExpiry: Milliseconds = 1500;

/** What one placement tells other hosts. */
export type PromptPlacement = {readonly place: string; readonly salt: string; readonly request: WorkloadRequest; readonly readyAt: Milliseconds};

/** How a generation ended. */
export type GenerationOutcome = {
	readonly request: WorkloadRequest;
	readonly timeToFirstToken: Milliseconds | undefined;
	readonly cachedTokens: number;
};

export type SimulatedHostOptions = {
	readonly name: string;
	readonly policy: PolicyName;
	readonly site: Site;
	readonly engines: readonly ModelEngine[];
	readonly events: EventQueue;
	onPlacement(news: PromptPlacement): void;
	onOutcome(outcome: GenerationOutcome): void;
};

type Pending = {readonly request: WorkloadRequest; readonly arrivedAt: Milliseconds; tries: number};

/** A host that places generations with the product's own decisions, or by a simpler policy. */
export class SimulatedHost {
	readonly serverLoads = new ServerLoads(peerExpiry);
	readonly #options: SimulatedHostOptions;
	readonly #index = new PromptCacheIndex();
	readonly #placer = new EnginePlacer(this.#index, defaultEnginePlacementOptions);
	readonly #line = new RequestQueue<Pending>();
	#turn = 0;

	constructor(options: SimulatedHostOptions) {
		this.#options = options;
		for (const engine of options.engines) {
			this.#index.setCapacity(engine.id, options.site.engineParameters.memoryTokens * 0.8);
		}
	}

	get name(): string {
		return this.#options.name;
	}

	/** Takes in a peer's placement. */
	mergePlacement(news: PromptPlacement): void {
		this.#index.recordParts(news.place, news.salt, news.request.parts, news.readyAt);
	}

	/** Forgets what an engine held. */
	forgetEngineCache(engine: string): void {
		this.#index.clearLocation(engine);
	}

	/** Takes a generation from a client. */
	submitRequest(request: WorkloadRequest): void {
		const pending = {request, arrivedAt: this.#options.events.now, tries: 0};
		if (!this.#tryPlace(pending)) {
			this.#wait(pending);
		}
	}

	/** Offers those who wait to the engines. */
	processQueue(): void {
		for (const pending of this.#line.removeExpired(this.#options.events.now)) {
			this.#options.onOutcome({request: pending.request, timeToFirstToken: undefined, cachedTokens: 0});
		}

		this.#line.offerInOrder(pending => this.#tryPlace(pending));
	}

	#wait(pending: Pending): void {
		this.#line.addRequest({
			workspace: '', rank: pending.request.kind.rank, size: pending.request.promptTokens, giveUpAt: pending.arrivedAt + (pending.request.kind.deadline * longestWaitShare), item: pending,
		});
	}

	#tryPlace(pending: Pending): boolean {
		const {events, engines} = this.#options;
		const placement = this.#choose(pending.request);
		if (placement === undefined || placement.dispatchNotBefore > events.now) {
			return false;
		}

		const engine = engines.find(candidate => candidate.id === placement.server)!;
		const load = {unreadTokens: placement.uncachedTokens, memoryTokens: estimateMemoryTokens(pending.request)};
		let left = load;
		const end = () => {
			this.serverLoads.removeRequest(engine.id, left);
			left = {unreadTokens: 0, memoryTokens: 0};
		};

		const isTaken = engine.submit({
			parts: pending.request.parts,
			cacheSalt: placement.cacheSalt,
			promptTokens: pending.request.promptTokens,
			outputTokens: pending.request.outputTokens,
			fetchedTokens: placement.fetchedTokens > 0 ? placement.cachedTokens + placement.fetchedTokens : 0,
			onFirstToken: cachedTokens => {
				this.serverLoads.completePrefill(engine.id, left.unreadTokens);
				left = {...left, unreadTokens: 0};
				this.#options.onOutcome({request: pending.request, timeToFirstToken: events.now - pending.arrivedAt, cachedTokens});
			},
			onCompleted: end,
			onCrashed: () => {
				end();
				this.#retry(pending);
			},
		});
		if (!isTaken) {
			return false;
		}

		this.serverLoads.addRequest(engine.id, load);
		this.#note(pending.request, placement);
		return true;
	}

	#retry(pending: Pending): void {
		pending.tries++;
		if (pending.tries > 1) {
			this.#options.onOutcome({request: pending.request, timeToFirstToken: undefined, cachedTokens: 0});
		} else {
			this.#wait(pending);
		}
	}

	#note(request: WorkloadRequest, placement: EnginePlacement): void {
		const {events} = this.#options;
		const readyAt = events.now + (placement.predictedTimeToFirstToken * readingMargin);
		for (const [place, ready] of [[placement.server, readyAt], [storeAddress, readyAt + savingTime]] as const) {
			const news = {
				place, salt: placement.cacheSalt, request, readyAt: ready,
			};
			this.mergePlacement(news);
			this.#options.onPlacement(news);
		}
	}

	#choose(request: WorkloadRequest): EnginePlacement | undefined {
		const {policy, events} = this.#options;
		const rows = this.#rows();
		const generation: GenerationRequest = {
			parts: request.parts, promptTokens: request.promptTokens, outputTokens: request.outputTokens, objective: request.kind.objective, cacheSaltFor: version => `v${version}`,
		};
		const context = {failureDomain: 'a', store: {address: storeAddress, failureDomain: 'a'}, now: events.now};
		if (policy === 'lacewingpoint' || policy === 'no notes') {
			return this.#placer.choosePlacement(generation, rows, context);
		}

		const ordered = rows.toSorted((left, right) => left.load.requests - right.load.requests);
		const row = policy === 'round robin' ? rows[this.#turn++ % Math.max(rows.length, 1)] : ordered[0];
		// The simpler policies know of the prompt store too, so that they differ in the choice of the server alone.
		const placed = row === undefined ? undefined : this.#placer.choosePlacement(generation, [row], context);
		return placed === undefined ? undefined : {...placed, dispatchNotBefore: 0};
	}

	#rows(): EngineCandidate[] {
		const {engines, site, events} = this.#options;
		const newest = Math.max(...engines.map(engine => engine.weightsVersion));
		return engines.filter(engine => engine.isRunning && !engine.isReloading).map(engine => ({
			id: engine.id, address: engine.id, failureDomain: 'a', weightsVersion: engine.weightsVersion, isOutdated: engine.weightsVersion < newest, slots: site.engineParameters.slots, memoryTokens: site.engineParameters.memoryTokens, load: this.serverLoads.totalLoad(engine.id, events.now), slowness: 1, isEmptying: false, isFailing: false,
		}));
	}
}
