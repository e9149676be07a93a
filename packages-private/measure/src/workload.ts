import type {PromptPart} from '@lacewingpoint/routing';
import type {Milliseconds, RandomSource, Tokens} from '@lacewingpoint/shared';
import type {EngineParameters} from './model-engine.js';

/** One kind of generation. */
export type RequestKind = {
	readonly name: string;
	readonly requestsPerSecond: number;
	readonly objective: Milliseconds;
	readonly deadline: Milliseconds;
	readonly rank: number;
	/** Mean tokens of the instructions that all share, of the document and of the request's own part. */
	readonly instructionTokens: Tokens;
	readonly documentTokens: Tokens;
	readonly uniqueTokens: Tokens;
	readonly outputTokens: Tokens;
	readonly documentCount: number;
	/** Exponent of the popularity of documents. */
	readonly popularityExponent: number;
};

/** One firm's model traffic and servers, after the operators' sheets. */
export type Site = {
	readonly name: string;
	readonly engineCount: number;
	readonly engineParameters: EngineParameters;
	readonly weightsLoadTime: Milliseconds;
	readonly maxConcurrentLoads: number;
	readonly requestKinds: readonly RequestKind[];
};

/** Tana Ridge: long datasheets, short drafts with long answers, eight servers. */
export const tanaRidge: Site = {
	name: 'Tana Ridge',
	engineCount: 8,
	engineParameters: {
		slots: 128, memoryTokens: 128_362, stepTime: 3.41, stepTimePerRequest: 0.05, prefillTokensPerMillisecond: 112, prefillTokensPerStep: 1024,
	},
	weightsLoadTime: 1800,
	maxConcurrentLoads: 2,
	requestKinds: [
		{
			name: 'datasheet check', requestsPerSecond: 37.9, objective: 500, deadline: 4000, rank: 0, instructionTokens: 2520, documentTokens: 3780, uniqueTokens: 2890, outputTokens: 10, documentCount: 900, popularityExponent: 0.3,
		},
		{
			name: 'quote draft', requestsPerSecond: 38.6, objective: 300, deadline: 12_000, rank: 1, instructionTokens: 119, documentTokens: 79, uniqueTokens: 628, outputTokens: 58, documentCount: 600, popularityExponent: 0.3,
		},
	],
};

/** The Instituto: course guides and short replies, thirteen servers with few slots. */
export const instituto: Site = {
	name: 'Instituto',
	engineCount: 13,
	engineParameters: {
		slots: 32, memoryTokens: 171_052, stepTime: 3.55, stepTimePerRequest: 0.05, prefillTokensPerMillisecond: 157, prefillTokensPerStep: 1024,
	},
	weightsLoadTime: 1100,
	maxConcurrentLoads: 3,
	requestKinds: [
		{
			name: 'course guide', requestsPerSecond: 79.3, objective: 250, deadline: 4000, rank: 1, instructionTokens: 2520, documentTokens: 3780, uniqueTokens: 2890, outputTokens: 7, documentCount: 1071, popularityExponent: 0.3,
		},
		{
			name: 'short reply', requestsPerSecond: 49.2, objective: 200, deadline: 10_000, rank: 0, instructionTokens: 119, documentTokens: 79, uniqueTokens: 628, outputTokens: 42, documentCount: 664, popularityExponent: 0.3,
		},
	],
};

/** One generation as a client asks for it. */
export type WorkloadRequest = {
	readonly id: number;
	readonly kind: RequestKind;
	readonly parts: readonly PromptPart[];
	readonly promptTokens: Tokens;
	readonly outputTokens: Tokens;
};

/** Draws generations of a site. */
export class Workload {
	/** The share of requests that are about one document. */
	hotDocumentShare = 0;
	readonly #random: RandomSource;
	readonly #sums: ReadonlyMap<RequestKind, readonly number[]>;
	#nextId = 0;

	constructor(site: Site, random: RandomSource) {
		this.#random = random;
		this.#sums = new Map(site.requestKinds.map(kind => [kind, popularity(kind)]));
	}

	/**
	 * Draws the pause until the next request.
	 *
	 * @param perSecond - The mean rate.
	 * @returns The pause.
	 */
	drawInterarrivalTime(perSecond: number): Milliseconds {
		return -Math.log(1 - this.#random.next()) * 1000 / perSecond;
	}

	/**
	 * Draws a generation.
	 *
	 * @param kind - Its kind.
	 * @returns The generation.
	 */
	drawRequest(kind: RequestKind): WorkloadRequest {
		const id = this.#nextId++;
		const isHot = this.#random.next() < this.hotDocumentShare;
		const draw = this.#random.next();
		const document = isHot ? 0 : this.#sums.get(kind)!.findIndex(sum => draw < sum);
		const parts: PromptPart[] = [
			{id: `${kind.name} instructions ${document % 4}`, tokens: kind.instructionTokens},
			{id: `${kind.name} document ${document}`, tokens: this.#spread(kind.documentTokens)},
			{id: `own ${id}`, tokens: this.#spread(kind.uniqueTokens)},
		];
		return {
			id, kind, parts, promptTokens: parts.reduce((sum, part) => sum + part.tokens, 0), outputTokens: this.#spread(kind.outputTokens),
		};
	}

	// Lengths vary by a factor of three around their mean.
	#spread(mean: Tokens): Tokens {
		return Math.max(Math.round(mean * (0.5 + this.#random.next())), 1);
	}
}

function popularity(kind: RequestKind): number[] {
	const weights = Array.from({length: kind.documentCount}, (_, index) => 1 / ((index + 1) ** kind.popularityExponent));
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	let sum = 0;
	return weights.map((weight, index) => {
		sum += weight / total;
		return index === kind.documentCount - 1 ? 1 : sum;
	});
}
