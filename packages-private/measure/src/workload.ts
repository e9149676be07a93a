import {type RandomSource, hashText} from '@lacewingpoint/shared';

/** The shape of one firm's traffic. */
export type WorkloadShape = {
	readonly name: string;
	readonly servers: number;
	readonly tokensPerSecond: number;
	readonly cacheBlocks: number;
	/** The share of requests that each workspace sends. */
	readonly workspaceShares: readonly number[];
	readonly instructionBlocks: number;
	readonly documents: number;
	readonly zipfExponent: number;
	readonly shortestDocument: number;
	readonly longestDocument: number;
	readonly caseBlocks: number;
	readonly answerTokens: number;
	readonly highPriorityShare: number;
};

/** Tana Ridge: long datasheets against a bill of materials, eight model servers. */
export const datasheets: WorkloadShape = {
	name: 'datasheets',
	servers: 8,
	tokensPerSecond: 20_000,
	cacheBlocks: 2400,
	workspaceShares: [0.4, 0.3, 0.15, 0.1, 0.05],
	instructionBlocks: 8,
	documents: 200,
	zipfExponent: 1.1,
	shortestDocument: 40,
	longestDocument: 120,
	caseBlocks: 3,
	answerTokens: 60,
	highPriorityShare: 0,
};

/** The Instituto: course guides, thirteen model servers, enrolment confirmations first. */
export const courseGuides: WorkloadShape = {
	name: 'course guides',
	servers: 13,
	tokensPerSecond: 12_000,
	cacheBlocks: 900,
	workspaceShares: [0.4, 0.25, 0.2, 0.1, 0.05],
	instructionBlocks: 6,
	documents: 120,
	zipfExponent: 1.2,
	shortestDocument: 15,
	longestDocument: 50,
	caseBlocks: 2,
	answerTokens: 100,
	highPriorityShare: 0.1,
};

/** One request of the workload. */
export type WorkRequest = {
	readonly id: number;
	readonly workspace: string;
	readonly blocks: readonly number[];
	/** How many of the blocks are shared with other requests. */
	readonly homeKey: number;
	readonly isHigh: boolean;
};

type Document = {readonly blocks: readonly number[]};

/** Draws requests: a workspace by its share, a document by Zipf's law, a case of its own. */
export class Workload {
	readonly shape: WorkloadShape;
	readonly #random: RandomSource;
	readonly #documents = new Map<string, Document>();
	readonly #cumulative: readonly number[];
	#shift = 0;
	#nextId = 0;

	constructor(shape: WorkloadShape, random: RandomSource) {
		this.shape = shape;
		this.#random = random;
		this.#cumulative = cumulativeZipf(shape.documents, shape.zipfExponent);
	}

	/** Makes other documents the hot ones. */
	shiftHotDocuments(): void {
		this.#shift += Math.floor(this.shape.documents / 2);
	}

	/** @returns A workspace drawn by share. */
	drawWorkspace(): number {
		let draw = this.#random.next();
		for (const [index, share] of this.shape.workspaceShares.entries()) {
			draw -= share;
			if (draw < 0) {
				return index;
			}
		}

		return this.shape.workspaceShares.length - 1;
	}

	/**
	 * Draws a request.
	 *
	 * @param workspaceIndex - Whose it is.
	 * @param homeBlocks - The level of the prompt that makes its home key.
	 * @returns The request.
	 */
	draw(workspaceIndex: number, homeBlocks: number): WorkRequest {
		const workspace = `workspace-${workspaceIndex}`;
		const draw = this.#random.next();
		const rank = this.#cumulative.findIndex(share => draw < share);
		const number = (rank + this.#shift) % this.shape.documents;
		const {blocks} = this.#document(workspace, number);
		const id = this.#nextId++;
		const own = Array.from({length: this.shape.caseBlocks}, (_, index) => hashText(`case ${id} ${index}`));
		return {
			id, workspace, blocks: [...blocks, ...own], homeKey: blocks[Math.min(homeBlocks, blocks.length) - 1]!, isHigh: this.#random.next() < this.shape.highPriorityShare,
		};
	}

	#document(workspace: string, number: number): Document {
		const name = `${workspace} ${number}`;
		const held = this.#documents.get(name);
		if (held !== undefined) {
			return held;
		}

		const {instructionBlocks, shortestDocument, longestDocument} = this.shape;
		const length = shortestDocument + (hashText(name) % (longestDocument - shortestDocument));
		const blocks = [
			...Array.from({length: instructionBlocks}, (_, index) => hashText(`${workspace} instructions ${index}`)),
			...Array.from({length}, (_, index) => hashText(`${name} ${index}`)),
		];
		this.#documents.set(name, {blocks});
		return {blocks};
	}
}

function cumulativeZipf(count: number, exponent: number): number[] {
	const weights = Array.from({length: count}, (_, index) => 1 / ((index + 1) ** exponent));
	let total = 0;
	for (const weight of weights) {
		total += weight;
	}

	let sum = 0;
	return weights.map((weight, index) => {
		sum += weight / total;
		return index === count - 1 ? 1 : sum;
	});
}
