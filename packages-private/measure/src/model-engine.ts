import type {PromptPart} from '@lacewingpoint/routing';
import type {Milliseconds, Tokens} from '@lacewingpoint/shared';
import type {EventQueue} from './event-queue.js';

/** Performance parameters of a type of model server. */
export type EngineParameters = {
	/** Maximum number of requests that run concurrently. */
	readonly slots: number;
	/** Maximum number of prompt and output tokens of all running requests; also the capacity of the cache of prompt parts. */
	readonly memoryTokens: Tokens;
	/** Base duration of a step. */
	readonly stepTime: Milliseconds;
	/** Additional duration of a step for each running request. */
	readonly stepTimePerRequest: Milliseconds;
	/** Prefill throughput. */
	readonly prefillTokensPerMillisecond: number;
	/** Maximum number of prompt tokens prefilled in one step. */
	readonly prefillTokensPerStep: Tokens;
	/** Number of output tokens in one event of a stream. */
	readonly tokensPerEvent: Tokens;
};

/** A generation request to an engine. */
export type EngineRequest = {
	readonly parts: readonly PromptPart[];
	readonly cacheSalt: string;
	readonly promptTokens: Tokens;
	readonly outputTokens: Tokens;
	/** Number of leading prompt tokens available after a fetch from the prompt store; 0 without a fetch. */
	readonly fetchedTokens: Tokens;
	/** Called with the number of prompt tokens that were cached or fetched. */
	onFirstToken(cachedTokens: Tokens): void;
	/** Called with the longest time between two events. */
	onCompleted(longestPause: Milliseconds): void;
	/** Called when the engine crashes before the request has completed. */
	onCrashed(): void;
};

type RunningRequest = {
	readonly request: EngineRequest;
	readonly cachedTokens: Tokens;
	uncachedTokens: Tokens;
	remainingOutput: Tokens;
	/** Time of the last event; `undefined` before the first one. */
	lastEventAt: Milliseconds | undefined;
	longestPause: Milliseconds;
};

/**
 * Simulated model server with continuous batching, chunked prefill and a cache of prompt parts. Cached parts do not reduce the memory
 * for running requests: a real server evicts them when a request needs the memory.
 */
export class ModelEngine {
	readonly id: string;
	weightsVersion = 1;
	prefilledTokens = 0;
	/** The duration of all steps. */
	busyTime: Milliseconds = 0;
	readonly #parameters: EngineParameters;
	readonly #events: EventQueue;
	readonly #cache = new Map<string, Tokens>();
	#cachedTokens = 0;
	#queuedRequests: EngineRequest[] = [];
	#runningRequests: RunningRequest[] = [];
	#isStepping = false;
	#isRunning = true;
	#crashCount = 0;
	readonly #slowdown: () => number;
	#onDrained: (() => void) | undefined;

	/**
	 * @param id - The engine's name.
	 * @param parameters - Its performance.
	 * @param events - The simulated time.
	 * @param slowdown - Returns a factor on the duration of the step that begins now.
	 */
	constructor(id: string, parameters: EngineParameters, events: EventQueue, slowdown: () => number = () => 1) {
		this.#slowdown = slowdown;
		this.id = id;
		this.#parameters = parameters;
		this.#events = events;
	}

	get isRunning(): boolean {
		return this.#isRunning;
	}

	/** Whether the engine drains or loads weights; it accepts no requests meanwhile. */
	get isReloading(): boolean {
		return this.#onDrained !== undefined;
	}

	/**
	 * Submits a request.
	 *
	 * @param request - The request; it is queued until a slot and memory are free.
	 * @returns False if the request was rejected because the engine is down, drains or loads weights.
	 */
	submit(request: EngineRequest): boolean {
		if (!this.#isRunning || this.#onDrained !== undefined) {
			return false;
		}

		this.#queuedRequests.push(request);
		this.#startStep();
		return true;
	}

	/**
	 * Crashes the engine: all requests and the cache are lost.
	 *
	 * @param downFor - Time until the engine accepts requests again, in milliseconds.
	 */
	crash(downFor: Milliseconds): void {
		const lostRequests = [...this.#queuedRequests, ...this.#runningRequests.map(running => running.request)];
		this.#isRunning = false;
		this.#crashCount++;
		this.#queuedRequests = [];
		this.#runningRequests = [];
		this.#isStepping = false;
		this.#clearCache();
		this.#events.schedule(downFor, () => {
			this.#isRunning = true;
		});
		for (const request of lostRequests) {
			request.onCrashed();
		}
	}

	/**
	 * Drains the engine, then loads weights.
	 *
	 * @param version - Version of the weights.
	 * @param loadTime - Duration of the load, in milliseconds.
	 * @param onDone - Called when the engine accepts requests again.
	 */
	loadWeights(version: number, loadTime: Milliseconds, onDone: () => void): void {
		this.#onDrained = () => {
			this.#events.schedule(loadTime, () => {
				this.weightsVersion = version;
				this.#onDrained = undefined;
				this.#clearCache();
				onDone();
			});
		};

		if (this.#runningRequests.length === 0 && this.#queuedRequests.length === 0) {
			this.#onDrained();
		}
	}

	#clearCache(): void {
		this.#cache.clear();
		this.#cachedTokens = 0;
	}

	#startStep(): void {
		if (this.#isStepping) {
			return;
		}

		this.#admitRequests();
		if (this.#runningRequests.length === 0) {
			return;
		}

		const {stepTime, stepTimePerRequest, prefillTokensPerMillisecond, prefillTokensPerStep} = this.#parameters;
		let remainingTokens = prefillTokensPerStep;
		const prefillChunks = this.#runningRequests.map(running => {
			const chunk = Math.min(running.uncachedTokens, remainingTokens);
			remainingTokens -= chunk;
			return chunk;
		});
		const chunkTokens = prefillTokensPerStep - remainingTokens;
		const crashCount = this.#crashCount;
		this.#isStepping = true;
		const duration = stepTime + (stepTimePerRequest * this.#runningRequests.length) + (chunkTokens / prefillTokensPerMillisecond);
		this.busyTime += duration * this.#slowdown();
		this.#events.schedule(duration * this.#slowdown(), () => {
			if (crashCount !== this.#crashCount) {
				return;
			}

			this.#isStepping = false;
			this.prefilledTokens += chunkTokens;
			this.#finishStep(prefillChunks);
			this.#startStep();
		});
	}

	#finishStep(prefillChunks: readonly Tokens[]): void {
		const completed: RunningRequest[] = [];
		for (const [index, running] of this.#runningRequests.entries()) {
			const wasPrefilling = running.uncachedTokens > 0;
			running.uncachedTokens -= prefillChunks[index] ?? 0;
			if (running.uncachedTokens > 0) {
				continue;
			}

			if (wasPrefilling || running.remainingOutput === running.request.outputTokens) {
				this.#cacheParts(running.request);
				running.request.onFirstToken(running.cachedTokens);
			}

			running.remainingOutput--;
			this.#recordEvent(running);
			if (running.remainingOutput <= 0) {
				completed.push(running);
			}
		}

		this.#runningRequests = this.#runningRequests.filter(running => !completed.includes(running));
		for (const {request, longestPause} of completed) {
			request.onCompleted(longestPause);
		}

		if (this.#runningRequests.length === 0 && this.#queuedRequests.length === 0) {
			this.#onDrained?.();
		}
	}

	#recordEvent(running: RunningRequest): void {
		const generatedTokens = running.request.outputTokens - running.remainingOutput;
		if (running.remainingOutput <= 0 || generatedTokens % this.#parameters.tokensPerEvent === 1 % this.#parameters.tokensPerEvent) {
			running.longestPause = Math.max(running.longestPause, this.#events.now - (running.lastEventAt ?? this.#events.now));
			running.lastEventAt = this.#events.now;
		}
	}

	#admitRequests(): void {
		while (this.#queuedRequests.length > 0 && this.#runningRequests.length < this.#parameters.slots && this.#hasMemory(this.#queuedRequests[0]!)) {
			const request = this.#queuedRequests.shift()!;
			const cachedTokens = Math.max(this.#matchCachedPrefix(request), request.fetchedTokens);
			// At least the last prompt token is always computed, because it produces the first output token.
			this.#runningRequests.push({
				request, cachedTokens, uncachedTokens: Math.max(request.promptTokens - cachedTokens, 1), remainingOutput: request.outputTokens, lastEventAt: undefined, longestPause: 0,
			});
		}
	}

	#hasMemory(request: EngineRequest): boolean {
		const usedTokens = this.#runningRequests.reduce((sum, running) => sum + running.request.promptTokens + running.request.outputTokens, 0);
		return this.#runningRequests.length === 0 || usedTokens + request.promptTokens + request.outputTokens <= this.#parameters.memoryTokens;
	}

	#matchCachedPrefix(request: EngineRequest): Tokens {
		let tokens = 0;
		for (const part of request.parts) {
			if (!this.#cache.has(`${request.cacheSalt}/${part.id}`)) {
				break;
			}

			tokens += part.tokens;
		}

		return tokens;
	}

	#cacheParts(request: EngineRequest): void {
		for (const part of request.parts.toReversed()) {
			const key = `${request.cacheSalt}/${part.id}`;
			this.#cachedTokens += part.tokens - (this.#cache.get(key) ?? 0);
			this.#cache.delete(key);
			this.#cache.set(key, part.tokens);
		}

		for (const [key, tokens] of this.#cache) {
			if (this.#cachedTokens <= this.#parameters.memoryTokens) {
				return;
			}

			this.#cache.delete(key);
			this.#cachedTokens -= tokens;
		}
	}
}
