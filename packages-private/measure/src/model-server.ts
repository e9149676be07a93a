import {tokensPerBlock} from '@lacewingpoint/routing';
import {BlockCache} from '@lacewingpoint/stand-ins';
import type {EventQueue} from './event-queue.js';
import type {WorkRequest} from './workload.js';

/** A change of the server's cache. */
export type CachePublication = {readonly incarnation: string; readonly sequence: number; readonly stored: readonly number[]; readonly removed: readonly number[]};

/** One request at a server. */
export type ServerWork = {
	readonly request: WorkRequest;
	readonly onFirstToken: (cachedBlocks: number) => void;
	readonly onLost: () => void;
};

type Accepted = ServerWork & {readonly expected: number};

/** An engine in event time: one prefill at a time, high priority first, and a limited prefix cache. */
export class ModelServer {
	readonly id: string;
	readonly cache: BlockCache;
	incarnation = 1;
	isUp = true;
	computedTokens = 0;
	queuedTokens = 0;
	readonly #events: EventQueue;
	readonly #tokensPerSecond: number;
	readonly #publish: (server: ModelServer, change: CachePublication) => void;
	readonly #queue: Accepted[] = [];
	#current: Accepted | undefined;
	#sequence = 0;

	constructor(id: string, options: {readonly tokensPerSecond: number; readonly cacheBlocks: number}, events: EventQueue, publish: (server: ModelServer, change: CachePublication) => void) {
		this.id = id;
		this.cache = new BlockCache(options.cacheBlocks);
		this.#tokensPerSecond = options.tokensPerSecond;
		this.#events = events;
		this.#publish = publish;
	}

	submit(work: ServerWork): void {
		if (!this.isUp) {
			work.onLost();
			return;
		}

		const expected = this.uncachedTokens(work.request);
		this.#queue.push({...work, expected});
		this.queuedTokens += expected;
		this.#next();
	}

	uncachedTokens(request: WorkRequest): number {
		return (request.blocks.length - this.cache.match(request.blocks)) * tokensPerBlock;
	}

	crash(): void {
		this.isUp = false;
		this.incarnation++;
		this.#sequence = 0;
		this.cache.clear();
		this.queuedTokens = 0;
		const lost = [...(this.#current === undefined ? [] : [this.#current]), ...this.#queue.splice(0)];
		this.#current = undefined;
		for (const work of lost) {
			work.onLost();
		}
	}

	restart(): void {
		this.isUp = true;
	}

	#next(): void {
		if (this.#current !== undefined || this.#queue.length === 0) {
			return;
		}

		const high = this.#queue.findIndex(work => work.request.isHigh);
		const [work] = this.#queue.splice(Math.max(high, 0), 1);
		this.#current = work;
		const {request} = work!;
		const cached = this.cache.match(request.blocks);
		const tokens = (request.blocks.length - cached) * tokensPerBlock;
		this.#events.after(tokens * 1000 / this.#tokensPerSecond, () => {
			if (this.#current === work) {
				this.#finish(work!, cached, tokens);
			}
		});
	}

	#finish(work: Accepted, cached: number, tokens: number): void {
		this.computedTokens += tokens;
		this.#current = undefined;
		const change = this.cache.store(work.request.blocks);
		this.queuedTokens -= work.expected;
		this.#sequence++;
		this.#publish(this, {incarnation: String(this.incarnation), sequence: this.#sequence, ...change});
		work.onFirstToken(cached);
		this.#next();
	}
}
