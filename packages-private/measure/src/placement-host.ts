import {
	type EnginePlacement, type EngineRow, type Generation, EnginePlacer, PromptCacheIndex, ServerLoads, WaitingLine, enginePlacementOptions, memoryOf,
} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {EventQueue} from './event-queue.js';
import type {ModelEngine} from './model-engine.js';
import type {Site, WorkRequest} from './workload.js';

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
export type PlacementNews = {readonly place: string; readonly salt: string; readonly request: WorkRequest; readonly readyAt: Milliseconds};

/** How a generation ended. */
export type Outcome = {
	readonly request: WorkRequest;
	readonly firstTokenAfter: Milliseconds | undefined;
	readonly cachedTokens: number;
};

export type PlacementHostOptions = {
	readonly name: string;
	readonly policy: PolicyName;
	readonly site: Site;
	readonly engines: readonly ModelEngine[];
	readonly events: EventQueue;
	onNews(news: PlacementNews): void;
	onOutcome(outcome: Outcome): void;
};

type Pending = {readonly request: WorkRequest; readonly arrivedAt: Milliseconds; tries: number};

/** A host that places generations with the product's own decisions, or by a simpler policy. */
export class PlacementHost {
	readonly loads = new ServerLoads(peerExpiry);
	readonly #options: PlacementHostOptions;
	readonly #index = new PromptCacheIndex();
	readonly #placer = new EnginePlacer(this.#index, enginePlacementOptions);
	readonly #line = new WaitingLine<Pending>();
	#turn = 0;

	constructor(options: PlacementHostOptions) {
		this.#options = options;
		for (const engine of options.engines) {
			this.#index.setCapacity(engine.id, options.site.figures.memoryTokens * 0.8);
		}
	}

	get name(): string {
		return this.#options.name;
	}

	/** Takes in a peer's placement. */
	hear(news: PlacementNews): void {
		this.#index.note(news.place, news.salt, news.request.parts, news.readyAt);
	}

	/** Forgets what an engine held. */
	forget(engine: string): void {
		this.#index.drop(engine);
	}

	/** Takes a generation from a client. */
	arrive(request: WorkRequest): void {
		const pending = {request, arrivedAt: this.#options.events.now, tries: 0};
		if (!this.#tryPlace(pending)) {
			this.#wait(pending);
		}
	}

	/** Offers those who wait to the engines. */
	pump(): void {
		for (const pending of this.#line.expire(this.#options.events.now)) {
			this.#options.onOutcome({request: pending.request, firstTokenAfter: undefined, cachedTokens: 0});
		}

		this.#line.offer(pending => this.#tryPlace(pending));
	}

	#wait(pending: Pending): void {
		this.#line.push({
			workspace: '', rank: pending.request.kind.rank, size: pending.request.promptTokens, giveUpAt: pending.arrivedAt + (pending.request.kind.deadline * longestWaitShare), item: pending,
		});
	}

	#tryPlace(pending: Pending): boolean {
		const {events, engines} = this.#options;
		const placement = this.#choose(pending.request);
		if (placement === undefined || placement.readyAt > events.now) {
			return false;
		}

		const engine = engines.find(candidate => candidate.id === placement.server)!;
		const load = {unreadTokens: placement.unreadTokens, memoryTokens: memoryOf(pending.request)};
		let left = load;
		const end = () => {
			this.loads.end(engine.id, left);
			left = {unreadTokens: 0, memoryTokens: 0};
		};

		const isTaken = engine.submit({
			parts: pending.request.parts,
			salt: placement.salt,
			promptTokens: pending.request.promptTokens,
			outputTokens: pending.request.outputTokens,
			fetchedTokens: placement.fetchedTokens > 0 ? placement.cachedTokens + placement.fetchedTokens : 0,
			onFirstToken: cachedTokens => {
				this.loads.noteRead(engine.id, left.unreadTokens);
				left = {...left, unreadTokens: 0};
				this.#options.onOutcome({request: pending.request, firstTokenAfter: events.now - pending.arrivedAt, cachedTokens});
			},
			onEnd: end,
			onLost: () => {
				end();
				this.#retry(pending);
			},
		});
		if (!isTaken) {
			return false;
		}

		this.loads.begin(engine.id, load);
		this.#note(pending.request, placement);
		return true;
	}

	#retry(pending: Pending): void {
		pending.tries++;
		if (pending.tries > 1) {
			this.#options.onOutcome({request: pending.request, firstTokenAfter: undefined, cachedTokens: 0});
		} else {
			this.#wait(pending);
		}
	}

	#note(request: WorkRequest, placement: EnginePlacement): void {
		const {events} = this.#options;
		const readyAt = events.now + (placement.predictedFirstToken * readingMargin);
		for (const [place, ready] of [[placement.server, readyAt], [storeAddress, readyAt + savingTime]] as const) {
			const news = {
				place, salt: placement.salt, request, readyAt: ready,
			};
			this.hear(news);
			this.#options.onNews(news);
		}
	}

	#choose(request: WorkRequest): EnginePlacement | undefined {
		const {policy, events} = this.#options;
		const rows = this.#rows();
		const generation: Generation = {
			parts: request.parts, promptTokens: request.promptTokens, outputTokens: request.outputTokens, objective: request.kind.objective, saltFor: version => `v${version}`,
		};
		const context = {failureDomain: 'a', store: {address: storeAddress, failureDomain: 'a'}, now: events.now};
		if (policy === 'lacewingpoint' || policy === 'no notes') {
			return this.#placer.choose(generation, rows, context);
		}

		const ordered = rows.toSorted((left, right) => left.load.requests - right.load.requests);
		const row = policy === 'round robin' ? rows[this.#turn++ % Math.max(rows.length, 1)] : ordered[0];
		// The simpler policies know of the prompt store too, so that they differ in the choice of the server alone.
		const placed = row === undefined ? undefined : this.#placer.choose(generation, [row], context);
		return placed === undefined ? undefined : {...placed, readyAt: 0};
	}

	#rows(): EngineRow[] {
		const {engines, site, events} = this.#options;
		const newest = Math.max(...engines.map(engine => engine.weightsVersion));
		return engines.filter(engine => engine.isUp && !engine.isLoading).map(engine => ({
			id: engine.id, address: engine.id, failureDomain: 'a', weightsVersion: engine.weightsVersion, isOutdated: engine.weightsVersion < newest, slots: site.figures.slots, memoryTokens: site.figures.memoryTokens, load: this.loads.total(engine.id, events.now), slowness: 1, isEmptying: false, isFailing: false,
		}));
	}
}
