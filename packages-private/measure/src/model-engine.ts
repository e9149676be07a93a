import type {PromptPart} from '@lacewingpoint/routing';
import type {Milliseconds, Tokens} from '@lacewingpoint/shared';
import type {EventQueue} from './event-queue.js';

/** The figures of one kind of model server. */
export type EngineParameters = {
	readonly slots: number;
	readonly memoryTokens: Tokens;
	readonly stepTime: Milliseconds;
	readonly stepTimePerRequest: Milliseconds;
	/** Prompt tokens read in a millisecond. */
	readonly prefillTokensPerMillisecond: number;
	/** Prompt tokens read within one step. */
	readonly prefillTokensPerStep: Tokens;
};

/** One generation at an engine. */
export type EngineRequest = {
	readonly parts: readonly PromptPart[];
	readonly cacheSalt: string;
	readonly promptTokens: Tokens;
	readonly outputTokens: Tokens;
	/** Leading tokens that come from the prompt store. */
	readonly fetchedTokens: Tokens;
	onFirstToken(cachedTokens: Tokens): void;
	onCompleted(): void;
	/** The engine crashed under it. */
	onCrashed(): void;
};

type Running = {
	readonly work: EngineRequest;
	readonly cachedTokens: Tokens;
	unread: Tokens;
	left: Tokens;
};

/** A model server in event time: continuous batching, prompts read in pieces, a cache of prompt parts that yields to requests. */
export class ModelEngine {
	readonly id: string;
	weightsVersion = 1;
	prefilledTokens = 0;
	readonly #figures: EngineParameters;
	readonly #events: EventQueue;
	readonly #cache = new Map<string, Tokens>();
	#cachedTokens = 0;
	#waiting: EngineRequest[] = [];
	#running: Running[] = [];
	#isStepping = false;
	#isUp = true;
	#life = 0;
	#onEmpty: (() => void) | undefined;

	constructor(id: string, figures: EngineParameters, events: EventQueue) {
		this.id = id;
		this.#figures = figures;
		this.#events = events;
	}

	get isRunning(): boolean {
		return this.#isUp;
	}

	/** It finishes what runs, or loads weights; it takes nothing. */
	get isReloading(): boolean {
		return this.#onEmpty !== undefined;
	}

	/**
	 * Takes a generation.
	 *
	 * @param work - The generation.
	 * @returns False when the engine is down or loads weights: it did not run.
	 */
	submit(work: EngineRequest): boolean {
		if (!this.#isUp || this.#onEmpty !== undefined) {
			return false;
		}

		this.#waiting.push(work);
		this.#step();
		return true;
	}

	/** Ends everything at once and comes back empty. */
	crash(downFor: Milliseconds): void {
		const lost = [...this.#waiting, ...this.#running.map(running => running.work)];
		this.#isUp = false;
		this.#life++;
		this.#waiting = [];
		this.#running = [];
		this.#isStepping = false;
		this.#forget();
		this.#events.schedule(downFor, () => {
			this.#isUp = true;
		});
		for (const work of lost) {
			work.onCrashed();
		}
	}

	/**
	 * Finishes what runs, then loads weights.
	 *
	 * @param version - The version.
	 * @param loadTime - How long the load takes.
	 * @param onDone - Called when the engine takes work again.
	 */
	loadWeights(version: number, loadTime: Milliseconds, onDone: () => void): void {
		this.#onEmpty = () => {
			this.#events.schedule(loadTime, () => {
				this.weightsVersion = version;
				this.#onEmpty = undefined;
				this.#forget();
				onDone();
			});
		};

		if (this.#running.length === 0 && this.#waiting.length === 0) {
			this.#onEmpty();
		}
	}

	#forget(): void {
		this.#cache.clear();
		this.#cachedTokens = 0;
	}

	#step(): void {
		if (this.#isStepping) {
			return;
		}

		this.#admit();
		if (this.#running.length === 0) {
			return;
		}

		const {stepTime, stepTimePerRequest, prefillTokensPerMillisecond: tokensPerMillisecond, prefillTokensPerStep: tokensPerStep} = this.#figures;
		let room = tokensPerStep;
		const pieces = this.#running.map(running => {
			const piece = Math.min(running.unread, room);
			room -= piece;
			return piece;
		});
		const read = tokensPerStep - room;
		const life = this.#life;
		this.#isStepping = true;
		this.#events.schedule(stepTime + (stepTimePerRequest * this.#running.length) + (read / tokensPerMillisecond), () => {
			if (life !== this.#life) {
				return;
			}

			this.#isStepping = false;
			this.prefilledTokens += read;
			this.#finishStep(pieces);
			this.#step();
		});
	}

	#finishStep(pieces: readonly Tokens[]): void {
		const ended: Running[] = [];
		for (const [index, running] of this.#running.entries()) {
			const hadToRead = running.unread > 0;
			running.unread -= pieces[index] ?? 0;
			if (running.unread > 0) {
				continue;
			}

			if (hadToRead || running.left === running.work.outputTokens) {
				this.#store(running.work);
				running.work.onFirstToken(running.cachedTokens);
			}

			running.left--;
			if (running.left <= 0) {
				ended.push(running);
			}
		}

		this.#running = this.#running.filter(running => !ended.includes(running));
		for (const {work} of ended) {
			work.onCompleted();
		}

		if (this.#running.length === 0 && this.#waiting.length === 0) {
			this.#onEmpty?.();
		}
	}

	#admit(): void {
		while (this.#waiting.length > 0 && this.#running.length < this.#figures.slots && this.#hasMemory(this.#waiting[0]!)) {
			const work = this.#waiting.shift()!;
			const cachedTokens = Math.max(this.#match(work), work.fetchedTokens);
			// The last token is always computed: it yields the first one of the answer.
			this.#running.push({
				work, cachedTokens, unread: Math.max(work.promptTokens - cachedTokens, 1), left: work.outputTokens,
			});
		}
	}

	#hasMemory(work: EngineRequest): boolean {
		const taken = this.#running.reduce((sum, running) => sum + running.work.promptTokens + running.work.outputTokens, 0);
		return this.#running.length === 0 || taken + work.promptTokens + work.outputTokens <= this.#figures.memoryTokens;
	}

	#match(work: EngineRequest): Tokens {
		let tokens = 0;
		for (const part of work.parts) {
			if (!this.#cache.has(`${work.cacheSalt}/${part.id}`)) {
				break;
			}

			tokens += part.tokens;
		}

		return tokens;
	}

	#store(work: EngineRequest): void {
		for (const part of work.parts.toReversed()) {
			const key = `${work.cacheSalt}/${part.id}`;
			this.#cachedTokens += part.tokens - (this.#cache.get(key) ?? 0);
			this.#cache.delete(key);
			this.#cache.set(key, part.tokens);
		}

		for (const [key, tokens] of this.#cache) {
			if (this.#cachedTokens <= this.#figures.memoryTokens) {
				return;
			}

			this.#cache.delete(key);
			this.#cachedTokens -= tokens;
		}
	}
}
