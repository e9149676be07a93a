import type {Milliseconds, Tokens} from '@lacewingpoint/shared';
import type {PromptCacheIndex, PromptPart} from './prompt-cache-index.js';
import {type PromptSource, PromptSources} from './prompt-sources.js';
import type {ServerLoad} from './server-loads.js';

/** A model server as placement sees it. */
export type EngineCandidate = {
	readonly id: string;
	readonly address: string;
	readonly failureDomain: string;
	/** The weights that it runs for the request's model. */
	readonly weightsVersion: number;
	/** Newer weights were named so long ago that an answer on these is worth less. */
	readonly isOutdated: boolean;
	readonly slots: number;
	readonly memoryTokens: Tokens;
	readonly load: ServerLoad;
	/** Time taken over time predicted, lately. */
	readonly slowness: number;
	/** It is to run empty before it loads new weights. */
	readonly isRolloutDraining: boolean;
	/** It fails part of its requests: used only when no other can be. */
	readonly isFailing: boolean;
};

/** A prompt store as placement sees it. */
export type PromptStoreLocation = {readonly address: string; readonly failureDomain: string};

/** A generation to be placed. */
export type GenerationRequest = {
	readonly parts: readonly PromptPart[];
	readonly promptTokens: Tokens;
	/** Tokens that it is expected to generate. */
	readonly outputTokens: Tokens;
	readonly objective: Milliseconds;
	/** The text under which parts are shared on servers that run some version of the weights. */
	cacheSaltFor(weightsVersion: number): string;
};

export type PlacementContext = {
	/** The host's own failure domain: bytes between domains cost. */
	readonly failureDomain: string;
	readonly store: PromptStoreLocation | undefined;
	readonly now: Milliseconds;
};

/** Where a generation goes and what is expected there. */
export type EnginePlacement = {
	readonly server: string;
	readonly weightsVersion: number;
	readonly cacheSalt: string;
	/** Tokens that the server holds already. */
	readonly cachedTokens: Tokens;
	/** Tokens that it gets from elsewhere. */
	readonly fetchedTokens: Tokens;
	readonly uncachedTokens: Tokens;
	readonly fetchFrom: string | undefined;
	readonly saveTo: string | undefined;
	readonly predictedTimeToFirstToken: Milliseconds;
	readonly cost: Milliseconds;
	/** Shared parts are being read there until then: sent sooner, the request would have them read a second time. */
	readonly dispatchNotBefore: Milliseconds;
	/** The cost at the next best server, for the log. */
	readonly nextBestCost: Milliseconds | undefined;
};

export type EnginePlacementOptions = {
	/** Prompt tokens that a server reads in a millisecond, without its steps; each server's slowness corrects it. */
	readonly prefillTokensPerMillisecond: number;
	/** Prompts are read in pieces of this many tokens, one a step. */
	readonly prefillChunkTokens: Tokens;
	readonly stepTime: Milliseconds;
	/** What each running request adds to a step. */
	readonly stepTimePerRequest: Milliseconds;
	/** What the steps that a request makes longer for all others in its batch weigh against its own waiting. */
	readonly batchDelayWeight: number;
	/** Time to a first token with nothing to read or to wait for. */
	readonly baseLatency: Milliseconds;
	readonly fetchSetupTime: Milliseconds;
	readonly fetchTokensPerMillisecond: number;
	/** A fetch from another failure domain takes this much longer. */
	readonly crossDomainFetchFactor: number;
	/** What a millisecond of a link's time weighs against one of waiting. */
	readonly fetchTimeWeight: number;
	/** What it weighs to read a token where a part's home or holder would read it only once. */
	readonly duplicatePrefillCostPerToken: Milliseconds;
	/** The share of the objective that a request on old weights weighs. */
	readonly outdatedWeightsShare: number;
	/** The share of the objective that a server weighs that is to run empty. */
	readonly rolloutDrainingShare: number;
	readonly crossDomainCost: Milliseconds;
	/** What a failing server weighs. */
	readonly failingServerCost: Milliseconds;
	/** The share of a server's memory that requests may fill. */
	readonly usableMemoryShare: number;
	/** Unread tokens at a server, as time, above which requests wait at the host instead. */
	readonly maximumQueueTime: Milliseconds;
};

export const defaultEnginePlacementOptions: EnginePlacementOptions = {
	prefillTokensPerMillisecond: 110,
	prefillChunkTokens: 1024,
	stepTime: 3.5,
	stepTimePerRequest: 0.1,
	batchDelayWeight: 0.05,
	baseLatency: 35,
	fetchSetupTime: 8,
	fetchTokensPerMillisecond: 350,
	crossDomainFetchFactor: 2,
	fetchTimeWeight: 1.5,
	duplicatePrefillCostPerToken: 0.15,
	outdatedWeightsShare: 0.6,
	rolloutDrainingShare: 0.6,
	crossDomainCost: 4,
	failingServerCost: 2000,
	usableMemoryShare: 0.9,
	maximumQueueTime: 400,
};

/**
 * Estimates the memory that a generation takes on average while it runs: its prompt and half of what it generates.
 *
 * @param generation - The generation.
 * @returns The tokens.
 */
export function estimateMemoryTokens(generation: {readonly promptTokens: Tokens; readonly outputTokens: Tokens}): Tokens {
	return generation.promptTokens + (generation.outputTokens / 2);
}

/** What all servers of one version of the weights have in common for one request. */
type VersionView = {readonly salt: string; readonly sources: PromptSources};

/**
 * Places a generation where its first token and the work it causes cost least: queue, prompt parts held there, parts to be fetched,
 * parts that would be read a second time, and weights that are out of date.
 * Load pattern: few long shared prompts, asked for by many hosts at once, on servers whose caches are emptied by new weights.
 */
export class EnginePlacer {
	readonly #index: PromptCacheIndex;
	readonly #options: EnginePlacementOptions;

	constructor(index: PromptCacheIndex, options: EnginePlacementOptions = defaultEnginePlacementOptions) {
		this.#index = index;
		this.#options = options;
	}

	/**
	 * Chooses among servers that may take the request.
	 *
	 * @param generation - The request.
	 * @param rows - The servers.
	 * @param context - What else the choice depends on.
	 * @returns The placement; nothing when no server has room now.
	 */
	choosePlacement(generation: GenerationRequest, rows: readonly EngineCandidate[], context: PlacementContext): EnginePlacement | undefined {
		let best: EnginePlacement | undefined;
		let nextBestCost: number | undefined;
		const views = new Map<number, VersionView>();
		for (const row of rows) {
			if (!this.#hasRoom(generation, row)) {
				continue;
			}

			const view = views.get(row.weightsVersion) ?? this.#view(generation, row.weightsVersion, rows, context);
			views.set(row.weightsVersion, view);
			const placement = this.#price(generation, row, view, context);
			if (best === undefined || placement.cost < best.cost) {
				nextBestCost = best?.cost;
				best = placement;
			} else if (nextBestCost === undefined || placement.cost < nextBestCost) {
				nextBestCost = placement.cost;
			}
		}

		return best === undefined ? undefined : {...best, nextBestCost};
	}

	#hasRoom(generation: GenerationRequest, row: EngineCandidate): boolean {
		const memory = row.load.memoryTokens + estimateMemoryTokens(generation);
		const queue = this.#readTime(row, row.load.prefillTokens);
		return row.load.requests === 0
			|| (row.load.requests < row.slots && memory <= row.memoryTokens * this.#options.usableMemoryShare && queue <= this.#options.maximumQueueTime);
	}

	// Each piece of a prompt is read within a step of the whole batch, which grows with the running requests.
	#readTime(row: EngineCandidate, tokens: Tokens): Milliseconds {
		const {prefillTokensPerMillisecond: tokensPerMillisecond, prefillChunkTokens: tokensPerStep, stepTime, stepTimePerRequest} = this.#options;
		const stepShare = (stepTime + (stepTimePerRequest * row.load.requests)) / tokensPerStep;
		return tokens * ((1 / tokensPerMillisecond) + stepShare) * row.slowness;
	}

	#view(generation: GenerationRequest, weightsVersion: number, rows: readonly EngineCandidate[], context: PlacementContext): VersionView {
		const salt = generation.cacheSaltFor(weightsVersion);
		const peers = rows.filter(row => row.weightsVersion === weightsVersion);
		return {salt, sources: new PromptSources(this.#index, {salt, parts: generation.parts}, peers, context.store, context.now)};
	}

	#price(generation: GenerationRequest, row: EngineCandidate, {salt, sources}: VersionView, context: PlacementContext): EnginePlacement {
		const options = this.#options;
		const own = sources.localMatch(row.id);
		const source = sources.findSource(row.id);
		const fetched = Math.max((source?.tokens ?? 0) - own.tokens, 0);
		const unread = Math.max(generation.promptTokens - own.tokens - fetched, 0);
		const factor = source === undefined || source.failureDomain === row.failureDomain ? 1 : options.crossDomainFetchFactor;
		const fetchTime = fetched === 0 ? 0 : options.fetchSetupTime + (fetched * factor / options.fetchTokensPerMillisecond);
		const readTime = this.#readTime(row, row.load.prefillTokens + unread);
		const pendingTime = own.partCount > 0 ? Math.max(own.availableAt - context.now, 0) : 0;
		const predicted = (options.baseLatency * row.slowness) + Math.max(readTime, pendingTime) + fetchTime;
		const cost = predicted
			+ (row.load.requests * options.stepTimePerRequest * generation.outputTokens * options.batchDelayWeight)
			+ (fetchTime * (options.fetchTimeWeight - 1))
			+ this.#rereadCost(generation, row, sources, own.partCount)
			+ (row.isOutdated ? generation.objective * options.outdatedWeightsShare : 0)
			+ (row.isRolloutDraining ? generation.objective * options.rolloutDrainingShare : 0)
			+ (row.failureDomain === context.failureDomain ? 0 : options.crossDomainCost)
			+ (row.isFailing ? options.failingServerCost : 0);
		const sharedParts = generation.parts.slice(0, -1);
		const stored = context.store === undefined ? undefined : this.#index.matchPrefix(context.store.address, salt, sharedParts);
		const isStored = stored === undefined || stored.partCount === sharedParts.length;
		// What the server is thought to hold may have yielded; the store then has it, and costs nothing otherwise.
		const fallback = stored !== undefined && stored.partCount > 0 && stored.availableAt <= context.now ? context.store?.address : undefined;
		return {
			server: row.id,
			weightsVersion: row.weightsVersion,
			cacheSalt: salt,
			cachedTokens: own.tokens,
			fetchedTokens: fetched,
			uncachedTokens: unread,
			fetchFrom: fetched > 0 ? source?.address : fallback,
			saveTo: isStored ? undefined : context.store?.address,
			predictedTimeToFirstToken: predicted,
			cost,
			dispatchNotBefore: source !== undefined && source.tokens >= own.tokens ? 0 : this.#index.matchPrefix(row.id, salt, sharedParts).availableAt,
			nextBestCost: undefined,
		};
	}

	// A shared part that nobody holds is read at its home; one that is being read elsewhere is waited for there.
	#rereadCost(generation: GenerationRequest, row: EngineCandidate, sources: PromptSources, ownParts: number): Milliseconds {
		const shared = generation.parts.slice(0, -1);
		const missing = shared.slice(Math.max(ownParts, this.#coveredParts(generation, sources.findSource(row.id))));
		const [first] = missing;
		if (first === undefined || sources.findOwner(first) === row.id) {
			return 0;
		}

		return missing.reduce((sum, part) => sum + part.tokens, 0) * this.#options.duplicatePrefillCostPerToken;
	}

	#coveredParts(generation: GenerationRequest, source: PromptSource | undefined): number {
		let tokens = 0;
		let parts = 0;
		for (const part of generation.parts) {
			tokens += part.tokens;
			if (source === undefined || tokens > source.tokens) {
				break;
			}

			parts++;
		}

		return parts;
	}
}
