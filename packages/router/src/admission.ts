import {
	type Placement, type PlacementRequest, type Priority, chooseSubset, isUsable,
} from '@lacewingpoint/routing';
import {type Milliseconds, type Tokens, millisecondsPerSecond} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import type {Clock} from './clock.js';
import {type Refusal, notRun} from './router-error.js';
import type {Tables} from './tables.js';

/** What has to be known to place a request. */
export type AdmissionRequest = {
	readonly workspace: string;
	readonly priority: Priority;
	readonly model: string;
	readonly placement: PlacementRequest;
	readonly signal: AbortSignal;
};

/** A request that waits for room. */
export type WaitingRequest = {
	readonly request: AdmissionRequest;
	readonly expiresAt: Milliseconds;
	settle(result: Result<Placement, Refusal>): void;
};

export type AdmissionOptions = {
	readonly subsetSize: number;
	/** Requests wait here, in fair order, rather than behind more than this at an engine. */
	readonly backlog: Milliseconds;
	/** The longest wait; a request that cannot be placed within it is refused at once. */
	readonly longestWait: Milliseconds;
};

const retryAfterNoServer: Milliseconds = 1000;

/** Places requests, and lets those wait in fair order for whom no engine has room. */
export class Admission {
	readonly #tables: Tables;
	readonly #clock: Clock;
	readonly #options: AdmissionOptions;

	constructor(tables: Tables, clock: Clock, options: AdmissionOptions) {
		this.#tables = tables;
		this.#clock = clock;
		this.#options = options;
	}

	/**
	 * Places a request, now or after a wait.
	 *
	 * @param request - The request.
	 * @returns The placement; its uncached tokens are counted at the server.
	 */
	async place(request: AdmissionRequest): Promise<Result<Placement, Refusal>> {
		const now = this.#clock.now();
		const placement = this.#choose(request, now);
		if (placement === undefined) {
			return Result.err(notRun('no-backend-server', `no backend server for ${request.model} can take new work`, retryAfterNoServer));
		}

		if (this.#tables.waiting.size === 0 && this.#hasRoom(request, placement)) {
			return Result.ok(this.#take(request, placement));
		}

		const expected = this.#expectedWait(request, now);
		if (expected > this.#options.longestWait) {
			return Result.err(notRun('overloaded', 'the engines of this model are full', expected));
		}

		return this.#wait(request, now);
	}

	/** Places waiting requests as room appears; run each tick and after each first token. */
	pump(): void {
		const {waiting} = this.#tables;
		const now = this.#clock.now();
		this.#dropExpired(now);
		while (waiting.size > 0) {
			let placement: Placement | undefined;
			const next = waiting.pop(({request}) => {
				placement = this.#choose(request, now);
				return placement !== undefined && this.#hasRoom(request, placement);
			});
			if (next === undefined) {
				return;
			}

			next.item.settle(Result.ok(this.#take(next.item.request, placement!)));
		}
	}

	#dropExpired(now: Milliseconds): void {
		const {waiting} = this.#tables;
		for (const {item} of waiting.remove(({item}) => item.request.signal.aborted || item.expiresAt <= now)) {
			item.settle(Result.err(notRun('overloaded', 'the engines of this model are full', this.#options.longestWait)));
		}
	}

	async #wait(request: AdmissionRequest, now: Milliseconds): Promise<Result<Placement, Refusal>> {
		const weight = this.#tables.configuration.workspaces.get(request.workspace)?.weight ?? 1;
		return new Promise(settle => {
			this.#tables.waiting.push({
				workspace: request.workspace,
				weight,
				priority: request.priority,
				tokens: request.placement.promptTokens,
				enqueuedAt: now,
				item: {request, expiresAt: now + this.#options.longestWait, settle},
			});
		});
	}

	#candidates(request: AdmissionRequest) {
		const servers = this.#tables.servers.rows().filter(row => row.description.serves === request.model);
		return chooseSubset(`${request.workspace} ${request.model}`, servers, this.#options.subsetSize);
	}

	#choose(request: AdmissionRequest, now: Milliseconds): Placement | undefined {
		const usable = this.#candidates(request).filter(row => isUsable(row, now));
		return this.#tables.placement.choose(request.placement, usable, now);
	}

	#hasRoom(request: AdmissionRequest, placement: Placement): boolean {
		const row = this.#tables.servers.get(placement.server)!;
		const queued = placement.queuedTokens * millisecondsPerSecond / row.tokensPerSecond;
		// High priority goes ahead in the engine's own queue, so the backlog does not hold it back.
		return queued <= this.#options.backlog || request.priority === 'high';
	}

	#take(request: AdmissionRequest, placement: Placement): Placement {
		this.#tables.servers.noteSent(placement.server, uncachedTokens(request.placement, placement));
		return placement;
	}

	#expectedWait(request: AdmissionRequest, now: Milliseconds): Milliseconds {
		const usable = this.#candidates(request).filter(row => isUsable(row, now));
		let tokensPerSecond = 0;
		for (const row of usable) {
			tokensPerSecond += row.tokensPerSecond;
		}

		return this.#tables.waiting.tokensAhead(request.priority) * millisecondsPerSecond / Math.max(tokensPerSecond, 1);
	}
}

/**
 * Counts the tokens that a server has to compute for a request.
 *
 * @param request - The request.
 * @param placement - Where it went.
 * @returns Its prompt less what is believed cached.
 */
export function uncachedTokens(request: PlacementRequest, placement: Placement): Tokens {
	return request.promptTokens - placement.cachedTokens;
}
