import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type CacheEvent, type LoadOrder, engineHeaders} from '@lacewingpoint/backend';
import {
	charactersPerToken, hashBlocks, promptText, tokensPerBlock,
} from '@lacewingpoint/routing';
import {BlockCache} from './block-cache.js';
import {answerToken} from './engine-text.js';
import {StandInServer, sendJson, textOf} from './http-server.js';

export type EngineStandInOptions = {
	readonly model: string;
	readonly version: string;
	readonly incarnation: string;
	readonly prefillTokensPerSecond: number;
	/** The time between two tokens of a stream, in milliseconds. */
	readonly tokenInterval: number;
	readonly cacheBlocks: number;
	readonly checksFencing: boolean;
	/** How long new weights take, in milliseconds. */
	readonly loadTime: number;
	/** Called when a poisonous prompt arrives. */
	readonly onCrash: () => void;
};

/** The faults of the engine stand-in, set by `POST /faults`. */
export type EngineFaults = {
	/** Cuts every stream after this many tokens. */
	cutAfter?: number;
	/** Leaves out the next cache events. */
	dropEvents?: number;
	/** Repeats a chunk's number, as a faulty engine would. */
	scrambleAfter?: number;
	/** Answers every request with status 503 and `x-not-run: true`. */
	decline?: boolean;
	leaving?: boolean;
};

type CompletionBody = {
	readonly messages?: unknown;
	readonly prompt?: string;
	readonly max_tokens?: number;
	readonly stream?: boolean;
	readonly cache_salt?: string;
	readonly priority?: number;
};

type Waiting = {readonly tokens: number; readonly priority: number; readonly start: () => void};

/** Prompts with this text crash the engine that runs them. */
export const poisonMarker = 'CRASH-THE-ENGINE';

/** A model engine: one prefill at a time, any number of streams, a limited prefix cache, events and orders. */
export class EngineStandIn {
	readonly server = new StandInServer();
	readonly seen: string[] = [];
	faults: EngineFaults = {};
	runs = 0;
	readonly #options: EngineStandInOptions;
	readonly #cache: BlockCache;
	readonly #queue: Waiting[] = [];
	readonly #followers = new Set<ServerResponse>();
	#version: string;
	#adapters: readonly string[] = [];
	#fencing = 0;
	#isLoading = false;
	#isPrefilling = false;
	#queuedTokens = 0;
	#running = 0;
	#eventSequence = 0;

	constructor(options: EngineStandInOptions) {
		this.#options = options;
		this.#version = options.version;
		this.#cache = new BlockCache(options.cacheBlocks);
		this.server.on('POST', '/v1/chat/completions', async (request, response, body) => this.#complete(request, response, textOf(body)));
		this.server.on('POST', '/v1/completions', async (request, response, body) => this.#complete(request, response, textOf(body)));
		this.server.on('GET', '/v1/state', (_request, response) => {
			sendJson(response, 200, this.#state());
		});
		this.server.on('POST', '/v1/orders/load', (_request, response, body) => {
			this.#order(response, JSON.parse(textOf(body)) as LoadOrder);
		});
		this.server.on('GET', '/v1/cache-events', (_request, response) => {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.flushHeaders();
			this.#followers.add(response);
			response.on('close', () => this.#followers.delete(response));
		});
		this.server.on('POST', '/faults', (_request, response, body) => {
			this.faults = JSON.parse(textOf(body)) as EngineFaults;
			sendJson(response, 200, {});
		});
		this.server.on('GET', '/seen', (_request, response) => {
			sendJson(response, 200, {runs: this.runs, seen: this.seen});
		});
	}

	#state() {
		return {
			incarnation: this.#options.incarnation,
			weightsVersion: this.#version,
			queuedTokens: this.#queuedTokens,
			runningRequests: this.#running,
			model: this.#options.model,
			adapters: this.#adapters,
			loading: this.#isLoading,
			leaving: this.faults.leaving ?? false,
		};
	}

	#headers(): Record<string, string> {
		return {
			[engineHeaders.incarnation]: this.#options.incarnation,
			[engineHeaders.weightsVersion]: this.#version,
			[engineHeaders.queuedTokens]: String(this.#queuedTokens),
			[engineHeaders.runningRequests]: String(this.#running),
		};
	}

	#order(response: ServerResponse, order: LoadOrder): void {
		if (this.#options.checksFencing && order.fencing < this.#fencing) {
			sendJson(response, 409, {error: 'old fencing number', seen: this.#fencing});
			return;
		}

		this.#fencing = Math.max(this.#fencing, order.fencing);
		this.#isLoading = true;
		setTimeout(() => {
			this.#version = order.version;
			this.#adapters = order.adapters;
			this.#cache.clear();
			this.#isLoading = false;
		}, this.#options.loadTime);
		sendJson(response, 202, {});
	}

	async #complete(request: IncomingMessage, response: ServerResponse, text: string): Promise<void> {
		this.seen.push(JSON.stringify(request.rawHeaders) + text);
		if (this.faults.decline === true || this.#isLoading) {
			response.writeHead(503, {...this.#headers(), [engineHeaders.notRun]: 'true', 'retry-after': '1'});
			response.end();
			return;
		}

		if (text.includes(poisonMarker)) {
			this.#options.onCrash();
			return;
		}

		this.runs++;
		const body = JSON.parse(text) as CompletionBody;
		let isClosed = false;
		response.on('close', () => {
			isClosed = true;
		});
		this.#running++;
		const prompt = promptText(body);
		const cached = await this.#prefill(body, prompt);
		const resumeAfter = Number(request.headers['last-event-id'] ?? -1);
		await (body.stream === true
			? this.#stream(response, {
				body, prompt, cached, first: resumeAfter + 1,
			}, () => isClosed)
			: this.#answer(response, {
				body, prompt, cached, first: 0,
			}));

		this.#running--;
	}

	async #prefill(body: CompletionBody, prompt: string): Promise<number> {
		const chain = hashBlocks(body.cache_salt ?? '', prompt);
		const cachedTokens = () => Math.min(this.#cache.match(chain) * tokensPerBlock, Math.ceil(prompt.length / charactersPerToken));
		const total = Math.ceil(prompt.length / charactersPerToken);
		const expected = total - cachedTokens();
		this.#queuedTokens += expected;
		await this.#turn(expected, body.priority ?? 0);
		const cached = cachedTokens();
		await sleep((total - cached) / this.#options.prefillTokensPerSecond * 1000);
		this.#publish(this.#cache.store(chain));
		this.#queuedTokens -= expected;
		this.#isPrefilling = false;
		this.#startNext();
		return cached;
	}

	async #turn(tokens: number, priority: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#queue.push({tokens, priority, start: resolve});
			this.#startNext();
		});
	}

	#startNext(): void {
		if (this.#isPrefilling || this.#queue.length === 0) {
			return;
		}

		this.#isPrefilling = true;
		const best = Math.min(...this.#queue.map(waiting => waiting.priority));
		const index = this.#queue.findIndex(waiting => waiting.priority === best);
		this.#queue.splice(index, 1)[0]!.start();
	}

	#publish(change: {readonly stored: number[]; readonly removed: number[]}): void {
		this.#eventSequence++;
		const event: CacheEvent = {incarnation: this.#options.incarnation, sequence: this.#eventSequence, ...change};
		if ((this.faults.dropEvents ?? 0) > 0) {
			this.faults.dropEvents!--;
			return;
		}

		for (const follower of this.#followers) {
			follower.write(`data: ${JSON.stringify(event)}\n\n`);
		}
	}

	async #stream(response: ServerResponse, run: Run, isClosed: () => boolean): Promise<void> {
		response.writeHead(200, {...this.#headers(), 'content-type': 'text/event-stream'});
		const length = run.body.max_tokens ?? 16;
		for (let index = run.first; index < length; index++) {
			if (isClosed()) {
				return;
			}

			if (index - run.first === this.faults.cutAfter) {
				response.destroy();
				return;
			}

			const sequence = this.faults.scrambleAfter !== undefined && index >= this.faults.scrambleAfter ? index - 1 : index;
			const choice = {index: 0, delta: {content: answerToken(run.prompt, index)}, finish_reason: null};
			response.write(`id: ${sequence}\ndata: ${JSON.stringify({object: 'chat.completion.chunk', choices: [choice]})}\n\n`);
			await sleep(this.#options.tokenInterval);
		}

		const last = {object: 'chat.completion.chunk', choices: [{index: 0, delta: {}, finish_reason: 'stop'}], usage: usageOf(run, length)};
		response.end(`id: ${length}\ndata: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
	}

	async #answer(response: ServerResponse, run: Run): Promise<void> {
		const length = run.body.max_tokens ?? 16;
		await sleep(length * this.#options.tokenInterval);
		if (this.faults.cutAfter !== undefined) {
			response.destroy();
			return;
		}

		const content = Array.from({length}, (_, index) => answerToken(run.prompt, index)).join('');
		response.writeHead(200, {...this.#headers(), 'content-type': 'application/json'});
		response.end(JSON.stringify({
			object: 'chat.completion',
			choices: [{index: 0, message: {role: 'assistant', content}, finish_reason: 'stop'}],
			usage: usageOf(run, length),
		}));
	}
}

type Run = {readonly body: CompletionBody; readonly prompt: string; readonly cached: number; readonly first: number};

function usageOf(run: Run, completion: number) {
	const prompt = Math.ceil(run.prompt.length / charactersPerToken);
	return {
		prompt_tokens: prompt,
		completion_tokens: completion,
		total_tokens: prompt + completion,
		prompt_tokens_details: {cached_tokens: run.cached},
	};
}
