import {type Milliseconds, type Tokens, millisecondsPerSecond} from '@lacewingpoint/shared';
import {type Priority, FairQueue} from './fair-queue.js';
import type {Placement, PlacementPolicy, PlacementRequest} from './placement.js';
import {type ServerRow, type ServerTable, usableServers} from './server-table.js';

/** What has to be known to place a request. */
export type AdmissionRequest = {
	readonly workspace: string;
	readonly weight: number;
	readonly priority: Priority;
	readonly model: string;
	readonly placement: PlacementRequest;
};

export type AdmissionOptions = {
	/** Requests wait here, in fair order, rather than behind more than this at an engine. */
	readonly backlog: Milliseconds;
	/** The longest wait; a request that cannot be placed within it is refused at once. */
	readonly longestWait: Milliseconds;
};

/** What becomes of a request. */
export type AdmissionOutcome
	= | {readonly type: 'placed'; readonly placement: Placement}
		| {readonly type: 'no-server'}
		| {readonly type: 'overloaded'; readonly retryAfter: Milliseconds};

/** The cells that one workspace's requests for a model use: its own and one to overflow into. */
const cellsPerWorkspace = 2;

type Waiting<Item> = {readonly item: Item; readonly request: AdmissionRequest; readonly expiresAt: Milliseconds};

/** A waiting request whose turn has come. */
export type Admitted<Item> = {readonly item: Item; readonly outcome: AdmissionOutcome};

/** Places requests, and lets those wait in fair order for whom no engine has room. */
export class Admission<Item> {
	readonly #servers: ServerTable;
	readonly #policy: PlacementPolicy;
	readonly #options: AdmissionOptions;
	readonly #waiting = new FairQueue<Waiting<Item>>();

	constructor(servers: ServerTable, policy: PlacementPolicy, options: AdmissionOptions) {
		this.#servers = servers;
		this.#policy = policy;
		this.#options = options;
	}

	/** The requests that wait. */
	get waiting(): number {
		return this.#waiting.size;
	}

	/**
	 * Places a request or lets it wait.
	 *
	 * @param item - Identifies the request when its turn comes.
	 * @param request - The request.
	 * @param now - The present moment.
	 * @returns The outcome, or nothing when it waits for {@link pump}.
	 */
	offer(item: Item, request: AdmissionRequest, now: Milliseconds): AdmissionOutcome | undefined {
		const placement = this.#choose(request, now);
		if (placement === undefined) {
			return {type: 'no-server'};
		}

		if (this.#waiting.size === 0 && this.#hasRoom(request, placement)) {
			return this.#take(request, placement);
		}

		const expected = this.#expectedWait(request, now);
		if (expected > this.#options.longestWait) {
			return {type: 'overloaded', retryAfter: expected};
		}

		this.#waiting.push({
			workspace: request.workspace,
			weight: request.weight,
			priority: request.priority,
			tokens: request.placement.promptTokens,
			item: {item, request, expiresAt: now + this.#options.longestWait},
		});
		return undefined;
	}

	/**
	 * Places waiting requests as room appears; run each tick and after each first token.
	 *
	 * @param now - The present moment.
	 * @param isGone - Tells whether a request's caller has gone.
	 * @returns The requests whose turn has come or whose wait was too long.
	 */
	pump(now: Milliseconds, isGone: (item: Item) => boolean): Array<Admitted<Item>> {
		const admitted: Array<Admitted<Item>> = this.#waiting
			.remove(({item}) => isGone(item.item) || item.expiresAt <= now)
			.map(({item}) => ({item: item.item, outcome: {type: 'overloaded', retryAfter: this.#options.longestWait}}));
		for (;;) {
			const next = this.#next(now);
			if (next === undefined) {
				return admitted;
			}

			admitted.push(next);
		}
	}

	#next(now: Milliseconds): Admitted<Item> | undefined {
		let placement: Placement | undefined;
		const next = this.#waiting.pop(({request}) => {
			placement = this.#choose(request, now);
			return placement !== undefined && this.#hasRoom(request, placement);
		});
		return next === undefined ? undefined : {item: next.item.item, outcome: this.#take(next.item.request, placement!)};
	}

	// A workspace keeps to its cell, whose queues this host knows best, until that has no room.
	#choose(request: AdmissionRequest, now: Milliseconds): Placement | undefined {
		const cells = this.#servers.cells(request.model);
		let first: Placement | undefined;
		for (const cell of cells.rank(request.workspace).slice(0, cellsPerWorkspace)) {
			this.#servers.noteCellUsed(cell, now);
			const placement = this.#policy.choose(request.placement, this.#usable(cells.members(cell), now), now);
			if (placement !== undefined && this.#hasRoom(request, placement)) {
				return placement;
			}

			first ??= placement;
		}

		return first;
	}

	#usable(members: readonly string[], now: Milliseconds): ServerRow[] {
		return usableServers(members.map(id => this.#servers.get(id)!), now);
	}

	#hasRoom(request: AdmissionRequest, placement: Placement): boolean {
		const row = this.#servers.get(placement.server)!;
		const queued = placement.queuedTokens * millisecondsPerSecond / row.tokensPerSecond;
		// High priority goes ahead in the engine's own queue, so the backlog does not hold it back.
		return queued <= this.#options.backlog || request.priority === 'high';
	}

	#take(request: AdmissionRequest, placement: Placement): AdmissionOutcome {
		this.#servers.noteSent(placement.server, uncachedTokens(request.placement, placement));
		return {type: 'placed', placement};
	}

	#expectedWait(request: AdmissionRequest, now: Milliseconds): Milliseconds {
		let tokensPerSecond = 0;
		const cells = this.#servers.cells(request.model);
		const [cell] = cells.rank(request.workspace);
		for (const row of this.#usable(cells.members(cell!), now)) {
			tokensPerSecond += row.tokensPerSecond;
		}

		return this.#waiting.tokensAhead(request.priority) * millisecondsPerSecond / Math.max(tokensPerSecond, 1);
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
