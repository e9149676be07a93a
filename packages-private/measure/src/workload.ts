import type {PromptPart} from '@lacewingpoint/routing';
import type {Milliseconds, RandomSource, Tokens} from '@lacewingpoint/shared';
import type {EngineParameters} from './model-engine.js';
import type {UnevenSpeed} from './uneven-speed.js';

/** A kind of generation request. */
export type RequestKind = {
	readonly name: string;
	readonly requestsPerSecond: number;
	/** Objective for the time to first token. */
	readonly objective: Milliseconds;
	/** The longest pause within a stream that is on time. */
	readonly pauseObjective: Milliseconds;
	/** Limits only the time in the queue, to a share of it. */
	readonly deadline: Milliseconds;
	/** Requests of a lower rank are served first. */
	readonly rank: number;
	/** Number of tokens of the shared instructions. */
	readonly instructionTokens: Tokens;
	/** Mean number of tokens of a document. */
	readonly documentTokens: Tokens;
	/** Mean number of tokens that are unique to a request. */
	readonly uniqueTokens: Tokens;
	/** Mean number of output tokens. */
	readonly outputTokens: Tokens;
	readonly documentCount: number;
	/** Exponent of the Zipf distribution of document popularity. */
	readonly popularityExponent: number;
};

/** Model traffic and model servers of one company, based on figures from its operators. */
export type Site = {
	readonly name: string;
	readonly engineCount: number;
	readonly engineParameters: EngineParameters;
	/** Absent if all engines have the speed of the parameters. */
	readonly unevenSpeed?: UnevenSpeed | undefined;
	readonly weightsLoadTime: Milliseconds;
	readonly maxConcurrentLoads: number;
	readonly requestKinds: readonly RequestKind[];
};

/** Tana Ridge: long datasheets, short drafts with long outputs, eight model servers. */
export const tanaRidge: Site = {
	name: 'Tana Ridge',
	engineCount: 8,
	engineParameters: {
		slots: 128, memoryTokens: 128_362, stepTime: 3.41, stepTimePerRequest: 0.05, prefillTokensPerMillisecond: 112, prefillTokensPerStep: 1024, tokensPerEvent: 6,
	},
	weightsLoadTime: 1800,
	maxConcurrentLoads: 2,
	requestKinds: [
		{
			name: 'datasheet check', requestsPerSecond: 37.9, objective: 500, pauseObjective: 250, deadline: 4000, rank: 0, instructionTokens: 2520, documentTokens: 3780, uniqueTokens: 2890, outputTokens: 10, documentCount: 900, popularityExponent: 0.3,
		},
		{
			name: 'quote draft', requestsPerSecond: 38.6, objective: 300, pauseObjective: 250, deadline: 12_000, rank: 1,
			instructionTokens: 119, documentTokens: 79, uniqueTokens: 628, outputTokens: 58, documentCount: 600, popularityExponent: 0.3,
		},
	],
};

/** Instituto: course guides and short replies, thirteen model servers with few slots. */
export const instituto: Site = {
	name: 'Instituto',
	engineCount: 13,
	engineParameters: {
		slots: 32, memoryTokens: 171_052, stepTime: 3.55, stepTimePerRequest: 0.05, prefillTokensPerMillisecond: 157, prefillTokensPerStep: 1024, tokensPerEvent: 6,
	},
	weightsLoadTime: 1100,
	maxConcurrentLoads: 3,
	requestKinds: [
		{
			name: 'course guide', requestsPerSecond: 79.3, objective: 250, pauseObjective: 200, deadline: 4000, rank: 1,
			instructionTokens: 2520, documentTokens: 3780, uniqueTokens: 2890, outputTokens: 7, documentCount: 1071, popularityExponent: 0.3,
		},
		{
			name: 'short reply', requestsPerSecond: 49.2, objective: 200, pauseObjective: 200, deadline: 10_000, rank: 0,
			instructionTokens: 119, documentTokens: 79, uniqueTokens: 628, outputTokens: 42, documentCount: 664, popularityExponent: 0.3,
		},
	],
};

/** The Instituto after it has grown: 63 model servers with few slots. */
export const institutoGrown: Site = {
	name: 'Instituto grown',
	engineCount: 63,
	engineParameters: {
		slots: 12, memoryTokens: 147_293, stepTime: 3.55, stepTimePerRequest: 0.05, prefillTokensPerMillisecond: 157, prefillTokensPerStep: 1024, tokensPerEvent: 6,
	},
	weightsLoadTime: 1100,
	maxConcurrentLoads: 18,
	requestKinds: [
		{
			name: 'course guide', requestsPerSecond: 335, objective: 315, pauseObjective: 200, deadline: 4202, rank: 1,
			instructionTokens: 2520, documentTokens: 3780, uniqueTokens: 2890, outputTokens: 5, documentCount: 1500, popularityExponent: 0.3,
		},
		{
			name: 'short reply', requestsPerSecond: 120, objective: 207, pauseObjective: 200, deadline: 10_326, rank: 0,
			instructionTokens: 119, documentTokens: 79, uniqueTokens: 628, outputTokens: 29, documentCount: 1000, popularityExponent: 0.3,
		},
	],
};

/** Flor de Chimborazo: long hive diaries and short questions on few engines that prefill slowly. */
export const florDeChimborazo: Site = {
	name: 'Flor de Chimborazo',
	engineCount: 6,
	engineParameters: {
		slots: 64, memoryTokens: 105_861, stepTime: 6.35, stepTimePerRequest: 0.05, prefillTokensPerMillisecond: 42.8, prefillTokensPerStep: 2048, tokensPerEvent: 6,
	},
	weightsLoadTime: 670,
	maxConcurrentLoads: 2,
	requestKinds: [
		{
			name: 'hive diary', requestsPerSecond: 9.83, objective: 600, pauseObjective: 300, deadline: 6000, rank: 1,
			instructionTokens: 2520, documentTokens: 3780, uniqueTokens: 2890, outputTokens: 13, documentCount: 300, popularityExponent: 0.3,
		},
		{
			name: 'short question', requestsPerSecond: 24.9, objective: 400, pauseObjective: 300, deadline: 15_000, rank: 0,
			instructionTokens: 119, documentTokens: 79, uniqueTokens: 628, outputTokens: 73, documentCount: 300, popularityExponent: 0.3,
		},
	],
};

/** Glenrath: long farm histories and short notes on engines of uneven speed, with little memory. */
export const glenrath: Site = {
	name: 'Glenrath',
	engineCount: 63,
	engineParameters: {
		slots: 24, memoryTokens: 92_308, stepTime: 5.05, stepTimePerRequest: 0.05, prefillTokensPerMillisecond: 40.8, prefillTokensPerStep: 1024, tokensPerEvent: 6,
	},
	unevenSpeed: {
		slowInterval: 4, slowSpeed: 0.55, fastSpeed: 1.2, disturbedShare: 0.15, disturbanceFactor: 2.5, disturbanceTime: 600,
	},
	weightsLoadTime: 600,
	maxConcurrentLoads: 18,
	requestKinds: [
		{
			name: 'history check', requestsPerSecond: 98.1, objective: 615, pauseObjective: 300, deadline: 5126, rank: 0, instructionTokens: 2520, documentTokens: 3780, uniqueTokens: 2890, outputTokens: 9, documentCount: 900, popularityExponent: 0.3,
		},
		{
			name: 'note draft', requestsPerSecond: 129, objective: 307, pauseObjective: 300, deadline: 15_326, rank: 1,
			instructionTokens: 119, documentTokens: 79, uniqueTokens: 628, outputTokens: 49, documentCount: 600, popularityExponent: 0.3,
		},
	],
};

/** Villasenor: summaries of long documents and short queries on engines of equal speed, with little memory. */
export const villasenor: Site = {
	name: 'Villasenor',
	engineCount: 98,
	engineParameters: {
		slots: 12, memoryTokens: 101_176, stepTime: 3.74, stepTimePerRequest: 0.05, prefillTokensPerMillisecond: 81.9, prefillTokensPerStep: 2048, tokensPerEvent: 6,
	},
	weightsLoadTime: 760,
	maxConcurrentLoads: 28,
	requestKinds: [
		{
			name: 'digest', requestsPerSecond: 265, objective: 815, pauseObjective: 400, deadline: 4076, rank: 1, instructionTokens: 2520, documentTokens: 3780, uniqueTokens: 2890, outputTokens: 6, documentCount: 1500, popularityExponent: 0.3,
		},
		{
			name: 'seal query', requestsPerSecond: 227, objective: 257, pauseObjective: 400, deadline: 10_260, rank: 0,
			instructionTokens: 119, documentTokens: 79, uniqueTokens: 628, outputTokens: 32, documentCount: 1000, popularityExponent: 0.3,
		},
	],
};

/** A generation request of a client. */
export type WorkloadRequest = {
	readonly id: number;
	readonly kind: RequestKind;
	readonly parts: readonly PromptPart[];
	readonly promptTokens: Tokens;
	readonly outputTokens: Tokens;
};

/** Generates the random requests of a site. */
export class Workload {
	/** Additional share of requests that are about the same document. */
	hotDocumentShare = 0;
	readonly #random: RandomSource;
	readonly #cumulativePopularity: ReadonlyMap<RequestKind, readonly number[]>;
	#nextId = 0;

	constructor(site: Site, random: RandomSource) {
		this.#random = random;
		this.#cumulativePopularity = new Map(site.requestKinds.map(kind => [kind, computeCumulativePopularity(kind)]));
	}

	/**
	 * Draws an exponentially distributed time until the next request.
	 *
	 * @param perSecond - Mean number of requests per second.
	 * @returns The time, in milliseconds.
	 */
	drawInterarrivalTime(perSecond: number): Milliseconds {
		return -Math.log(1 - this.#random.next()) * 1000 / perSecond;
	}

	/**
	 * Draws a request.
	 *
	 * @param kind - Kind of the request.
	 * @returns The request, with an id of its own and random lengths.
	 */
	drawRequest(kind: RequestKind): WorkloadRequest {
		const id = this.#nextId++;
		const isHot = this.#random.next() < this.hotDocumentShare;
		const position = this.#random.next();
		const document = isHot ? 0 : this.#cumulativePopularity.get(kind)!.findIndex(sum => position < sum);
		const parts: PromptPart[] = [
			{id: `${kind.name} instructions ${document % 4}`, tokens: kind.instructionTokens},
			{id: `${kind.name} document ${document}`, tokens: this.#drawLength(kind.documentTokens)},
			{id: `own ${id}`, tokens: this.#drawLength(kind.uniqueTokens)},
		];
		return {
			id, kind, parts, promptTokens: parts.reduce((sum, part) => sum + part.tokens, 0), outputTokens: this.#drawLength(kind.outputTokens),
		};
	}

	// Draws a length uniformly from 0.5 to 1.5 times the mean.
	#drawLength(mean: Tokens): Tokens {
		return Math.max(Math.round(mean * (0.5 + this.#random.next())), 1);
	}
}

function computeCumulativePopularity(kind: RequestKind): number[] {
	const weights = Array.from({length: kind.documentCount}, (_, index) => 1 / ((index + 1) ** kind.popularityExponent));
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	let sum = 0;
	return weights.map((weight, index) => {
		sum += weight / total;
		return index === kind.documentCount - 1 ? 1 : sum;
	});
}
