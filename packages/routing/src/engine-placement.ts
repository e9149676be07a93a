import type {Milliseconds, Tokens} from '@lacewingpoint/shared';
import {type EngineSpeed, defaultEngineSpeed} from './engines/engine-speed.js';
import type {PromptCacheIndex, PromptPart} from './prompt-cache-index.js';
import {type PromptSource, PromptSources} from './prompt-sources.js';
import type {ServerLoad} from './server-loads.js';

/** The state of a model server that a placement depends on. */
export type EngineCandidate = {
	readonly id: string;
	readonly address: string;
	readonly failureDomain: string;
	/** The version of the weights that the server runs for the request's model. */
	readonly weightsVersion: number;
	/** Newer weights were published so long ago that a response from this version is worth less. */
	readonly isOutdated: boolean;
	readonly slots: number;
	readonly memoryTokens: Tokens;
	/** The load of the server over all hosts. */
	readonly load: ServerLoad;
	/** The recent ratio of measured to predicted time. */
	readonly slowness: number;
	/** The server is draining before it loads new weights. */
	readonly isRolloutDraining: boolean;
	/** The server fails part of its requests and is a last resort. */
	readonly isFailing: boolean;
};

/** The address and failure domain of a prompt store. */
export type PromptStoreLocation = {readonly address: string; readonly failureDomain: string};

/** A generation request to be placed. */
export type GenerationRequest = {
	readonly parts: readonly PromptPart[];
	readonly promptTokens: Tokens;
	/** The expected number of generated tokens. */
	readonly outputTokens: Tokens;
	/** The latency objective of the route. */
	readonly objective: Milliseconds;
	/** Returns the cache salt for servers that run a version of the weights; parts are shared only under the same salt. */
	cacheSaltFor(weightsVersion: number): string;
};

/** Conditions of a placement that do not depend on the request. */
export type PlacementContext = {
	/** The host's own failure domain; traffic between domains has a cost. */
	readonly failureDomain: string;
	/** The prompt stores; a server saves to the one in its own failure domain, if there is one, and otherwise to the first. */
	readonly stores: readonly PromptStoreLocation[];
	readonly now: Milliseconds;
	/** The rate of a fetch; the default of the options if absent. */
	readonly fetchTokensPerMillisecond?: number | undefined;
	/** The usual speed of the servers; the assumed one if absent. */
	readonly speed?: EngineSpeed | undefined;
	/** The prompt tokens that may wait for prefill at a server with running streams, before their pauses are too long. */
	readonly prefillBacklogLimit?: Tokens | undefined;
};

/** The server chosen for a generation, and what is expected there. */
export type EnginePlacement = {
	readonly server: string;
	readonly weightsVersion: number;
	readonly cacheSalt: string;
	/** Prompt tokens that the server holds already. */
	readonly cachedTokens: Tokens;
	/** Prompt tokens that the server fetches from another location. */
	readonly fetchedTokens: Tokens;
	/** Prompt tokens that the server has to prefill. */
	readonly uncachedTokens: Tokens;
	/** The part of the predicted time that a fetch takes. */
	readonly fetchTime: Milliseconds;
	/** The slowness of the server that the prediction is based on. */
	readonly slowness: number;
	/** Prompt tokens that the server has to prefill until the first token, those of earlier requests included. */
	readonly prefillTokens: Tokens;
	/** Few other requests were running at the server. */
	readonly isLightlyLoaded: boolean;
	/** The address from which the server fetches cached parts. */
	readonly fetchFrom: string | undefined;
	/** The address of the prompt store to which the server saves the shared parts. */
	readonly saveTo: string | undefined;
	readonly predictedTimeToFirstToken: Milliseconds;
	/** The cost that the choice minimizes: the predicted time to first token plus weighted side effects. */
	readonly cost: Milliseconds;
	/** Shared parts are being prefilled at the server until then; a request sent earlier would prefill them a second time. */
	readonly dispatchNotBefore: Milliseconds;
	/** The cost at the second-best server, for the log. */
	readonly nextBestCost: Milliseconds | undefined;
};

export type EnginePlacementOptions = {
	/** Chunked prefill: the number of prompt tokens processed in one step. */
	readonly prefillChunkTokens: Tokens;
	/** The duration that each running request adds to a step. */
	readonly stepTimePerRequest: Milliseconds;
	/** The weight of the delay that a request causes for the others in its batch, relative to its own latency. */
	readonly batchDelayWeight: number;
	/** The fixed part of the duration of a fetch. */
	readonly fetchSetupTime: Milliseconds;
	readonly fetchTokensPerMillisecond: number;
	/** Multiplies the transfer time of a fetch from another failure domain. */
	readonly crossDomainFetchFactor: number;
	/** The weight of a millisecond of link time relative to one of latency. */
	readonly fetchTimeWeight: number;
	/** The cost of prefilling a shared token at a server that neither owns its part nor has it cached or in prefill. */
	readonly duplicatePrefillCostPerToken: Milliseconds;
	/** The cost of outdated weights, as a share of the latency objective. */
	readonly outdatedWeightsShare: number;
	/** The cost of a server that is draining for a rollout, as a share of the latency objective. */
	readonly rolloutDrainingShare: number;
	/** The cost of a server in another failure domain. */
	readonly crossDomainCost: Milliseconds;
	/** The cost of a failing server. */
	readonly failingServerCost: Milliseconds;
	/** The cost of exceeding the backlog limit, for each running request at the server. */
	readonly pauseCostPerRequest: Milliseconds;
	/** The share of a server's KV cache that requests may fill. */
	readonly usableMemoryShare: number;
	/** The prefill backlog of a server, as time, above which requests are queued at the host instead. */
	readonly maximumQueueTime: Milliseconds;
};

export const defaultEnginePlacementOptions: EnginePlacementOptions = {
	prefillChunkTokens: 1024,
	stepTimePerRequest: 0.1,
	batchDelayWeight: 0.05,
	fetchSetupTime: 8,
	fetchTokensPerMillisecond: 350,
	crossDomainFetchFactor: 2,
	fetchTimeWeight: 1.5,
	duplicatePrefillCostPerToken: 0.15,
	outdatedWeightsShare: 0.6,
	rolloutDrainingShare: 0.6,
	crossDomainCost: 4,
	failingServerCost: 2000,
	pauseCostPerRequest: 300,
	usableMemoryShare: 0.9,
	maximumQueueTime: 400,
};

/**
 * Estimates the average KV cache use of a generation while it runs: the prompt and half of the generated tokens.
 *
 * @param generation - The lengths of the prompt and of the expected output.
 * @returns The estimate in tokens.
 */
export function estimateMemoryTokens(generation: {readonly promptTokens: Tokens; readonly outputTokens: Tokens}): Tokens {
	return generation.promptTokens + (generation.outputTokens / 2);
}

/** The data of one request that all servers with the same version of the weights share. */
type VersionContext = {readonly salt: string; readonly sources: PromptSources};

/**
 * Places generations on model servers by a cost function. The cost consists of the predicted time to first token (prefill backlog,
 * cached parts, parts to be fetched) and of side effects: delays for the batch, duplicate prefill of shared parts, outdated weights.
 * Meant for few long shared prompts that many hosts request at once, on servers whose caches are emptied by new weights.
 */
export class EnginePlacer {
	readonly #index: PromptCacheIndex;
	readonly #options: EnginePlacementOptions;

	constructor(index: PromptCacheIndex, options: EnginePlacementOptions = defaultEnginePlacementOptions) {
		this.#index = index;
		this.#options = options;
	}

	/**
	 * Chooses the server with the lowest cost.
	 *
	 * @param generation - Prompt, output length and latency objective of the request.
	 * @param candidates - The servers that may get the request.
	 * @param context - The other conditions of the placement.
	 * @returns The placement, `undefined` when no server has capacity now.
	 */
	choosePlacement(generation: GenerationRequest, candidates: readonly EngineCandidate[], context: PlacementContext): EnginePlacement | undefined {
		let best: EnginePlacement | undefined;
		let nextBestCost: number | undefined;
		const contexts = new Map<number, VersionContext>();
		for (const candidate of candidates) {
			if (!this.#hasCapacity(generation, candidate, context)) {
				continue;
			}

			const versionContext = contexts.get(candidate.weightsVersion) ?? this.#createVersionContext(generation, candidate.weightsVersion, candidates, context);
			contexts.set(candidate.weightsVersion, versionContext);
			const placement = this.#evaluateCandidate(generation, candidate, versionContext, context);
			if (best === undefined || placement.cost < best.cost) {
				nextBestCost = best?.cost;
				best = placement;
			} else if (nextBestCost === undefined || placement.cost < nextBestCost) {
				nextBestCost = placement.cost;
			}
		}

		return best === undefined ? undefined : {...best, nextBestCost};
	}

	#hasCapacity(generation: GenerationRequest, candidate: EngineCandidate, context: PlacementContext): boolean {
		const memory = candidate.load.memoryTokens + estimateMemoryTokens(generation);
		const queueTime = this.#estimatePrefillTime(candidate, candidate.load.prefillTokens, context);
		return candidate.load.requests === 0
			|| (candidate.load.requests < candidate.slots && memory <= candidate.memoryTokens * this.#options.usableMemoryShare && queueTime <= this.#options.maximumQueueTime);
	}

	// Each chunk of a prompt is prefilled within a step of the whole batch, whose duration grows with the number of running requests.
	#estimatePrefillTime(candidate: EngineCandidate, tokens: Tokens, {speed}: PlacementContext): Milliseconds {
		const {prefillChunkTokens, stepTimePerRequest} = this.#options;
		const {prefillTimePerToken} = speed ?? defaultEngineSpeed;
		return tokens * (prefillTimePerToken + (stepTimePerRequest * candidate.load.requests / prefillChunkTokens)) * candidate.slowness;
	}

	#createVersionContext(generation: GenerationRequest, weightsVersion: number, candidates: readonly EngineCandidate[], context: PlacementContext): VersionContext {
		const salt = generation.cacheSaltFor(weightsVersion);
		const servers = candidates.filter(candidate => candidate.weightsVersion === weightsVersion);
		return {salt, sources: new PromptSources(this.#index, {salt, parts: generation.parts}, servers, context.stores, context.now)};
	}

	#evaluateCandidate(generation: GenerationRequest, candidate: EngineCandidate, {salt, sources}: VersionContext, context: PlacementContext): EnginePlacement {
		const options = this.#options;
		const localMatch = sources.localMatch(candidate.id);
		const source = sources.findSource(candidate.id);
		const fetchedTokens = Math.max((source?.tokens ?? 0) - localMatch.tokens, 0);
		const uncachedTokens = Math.max(generation.promptTokens - localMatch.tokens - fetchedTokens, 0);
		const fetchFactor = source === undefined || source.failureDomain === candidate.failureDomain ? 1 : options.crossDomainFetchFactor;
		const fetchTime = fetchedTokens === 0 ? 0 : options.fetchSetupTime + (fetchedTokens * fetchFactor / (context.fetchTokensPerMillisecond ?? options.fetchTokensPerMillisecond));
		const prefillTokens = candidate.load.prefillTokens + uncachedTokens;
		const prefillTime = this.#estimatePrefillTime(candidate, prefillTokens, context);
		const pendingTime = localMatch.partCount > 0 ? Math.max(localMatch.availableAt - context.now, 0) : 0;
		const predictedTimeToFirstToken = ((context.speed ?? defaultEngineSpeed).baseLatency * candidate.slowness) + Math.max(prefillTime, pendingTime) + fetchTime;
		const cost = predictedTimeToFirstToken
			+ (candidate.load.requests * options.stepTimePerRequest * generation.outputTokens * options.batchDelayWeight)
			+ (fetchTime * (options.fetchTimeWeight - 1))
			+ this.#estimateDuplicatePrefillCost(generation, candidate, sources, localMatch.partCount)
			+ (candidate.isOutdated ? generation.objective * options.outdatedWeightsShare : 0)
			+ (candidate.isRolloutDraining ? generation.objective * options.rolloutDrainingShare : 0)
			+ (candidate.failureDomain === context.failureDomain ? 0 : options.crossDomainCost)
			+ (candidate.isFailing ? options.failingServerCost : 0)
			+ (this.#exceedsBacklogLimit(candidate, uncachedTokens, context) ? candidate.load.requests * options.pauseCostPerRequest : 0);
		const sharedParts = generation.parts.slice(0, -1);
		const store = context.stores.find(({failureDomain}) => failureDomain === candidate.failureDomain) ?? context.stores[0];
		const isStored = store === undefined || this.#index.matchPrefix(store.address, salt, sharedParts).partCount === sharedParts.length;
		// The server may have evicted what the index lists for it. A store is then the fallback; naming it costs nothing otherwise.
		const fallback = sources.findStore(candidate.failureDomain)?.address;
		return {
			server: candidate.id,
			weightsVersion: candidate.weightsVersion,
			cacheSalt: salt,
			cachedTokens: localMatch.tokens,
			fetchedTokens,
			uncachedTokens,
			fetchTime,
			slowness: candidate.slowness,
			prefillTokens,
			isLightlyLoaded: candidate.load.requests <= candidate.slots / 2,
			fetchFrom: fetchedTokens > 0 ? source?.address : fallback,
			saveTo: isStored ? undefined : store.address,
			predictedTimeToFirstToken,
			cost,
			dispatchNotBefore: source !== undefined && source.tokens >= localMatch.tokens ? 0 : this.#index.matchPrefix(candidate.id, salt, sharedParts).availableAt,
			nextBestCost: undefined,
		};
	}

	#exceedsBacklogLimit(candidate: EngineCandidate, uncachedTokens: Tokens, context: PlacementContext): boolean {
		return candidate.load.prefillTokens + uncachedTokens > (context.prefillBacklogLimit ?? Number.POSITIVE_INFINITY);
	}

	// Concurrent requests should not prefill a shared part at several servers: one that no location holds is prefilled at its owner, and
	// one that a server is prefilling is waited for there.
	#estimateDuplicatePrefillCost(generation: GenerationRequest, candidate: EngineCandidate, sources: PromptSources, localPartCount: number): Milliseconds {
		const shared = generation.parts.slice(0, -1);
		const missing = shared.slice(Math.max(localPartCount, this.#countCoveredParts(generation, sources.findSource(candidate.id))));
		const [first] = missing;
		if (first === undefined || sources.findOwner(first) === candidate.id) {
			return 0;
		}

		return missing.reduce((sum, part) => sum + part.tokens, 0) * this.#options.duplicatePrefillCostPerToken;
	}

	#countCoveredParts(generation: GenerationRequest, source: PromptSource | undefined): number {
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
