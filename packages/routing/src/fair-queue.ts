import type {Tokens} from '@lacewingpoint/shared';

export type Priority = 'normal' | 'high';

/** A request that waits for room at the backend servers. */
export type QueuedRequest<Item> = {
	readonly workspace: string;
	readonly weight: number;
	readonly priority: Priority;
	readonly tokens: Tokens;
	readonly item: Item;
};

type Tagged<Item> = QueuedRequest<Item> & {readonly startTag: number; readonly order: number};

/**
 * Start-time fair queueing by workspace, in tokens: while several workspaces wait, each gets room by its weight,
 * however much any of them sends. High priority goes before normal, fairly among itself.
 */
export class FairQueue<Item> {
	#waiting: Array<Tagged<Item>> = [];
	readonly #finishTags = new Map<string, number>();
	#virtualTime = 0;
	#order = 0;

	get size(): number {
		return this.#waiting.length;
	}

	/**
	 * Adds a request.
	 *
	 * @param request - The request.
	 */
	push(request: QueuedRequest<Item>): void {
		const flow = `${request.priority}/${request.workspace}`;
		const startTag = Math.max(this.#virtualTime, this.#finishTags.get(flow) ?? 0);
		this.#finishTags.set(flow, startTag + (request.tokens / request.weight));
		this.#waiting.push({...request, startTag, order: this.#order++});
	}

	/**
	 * Takes the request that is due next.
	 *
	 * @param canRun - Tells whether there is room for a request; others behind it are tried too.
	 * @returns The request, or nothing when none can run.
	 */
	pop(canRun: (item: Item) => boolean): QueuedRequest<Item> | undefined {
		const next = this.#waiting.toSorted(byDue).find(request => canRun(request.item));
		if (next === undefined) {
			return undefined;
		}

		this.#waiting = this.#waiting.filter(request => request !== next);
		this.#virtualTime = Math.max(this.#virtualTime, next.startTag);
		this.#forgetIdle();
		return next;
	}

	/**
	 * Removes the requests that a test picks, such as those whose callers have gone.
	 *
	 * @param isGone - Picks what to remove.
	 * @returns What was removed.
	 */
	remove(isGone: (request: QueuedRequest<Item>) => boolean): Array<QueuedRequest<Item>> {
		const gone = this.#waiting.filter(request => isGone(request));
		this.#waiting = this.#waiting.filter(request => !isGone(request));
		return gone;
	}

	/**
	 * Counts the tokens that would go before a new request.
	 *
	 * @param priority - The new request's priority.
	 * @returns The tokens that wait at its priority or above.
	 */
	tokensAhead(priority: Priority): Tokens {
		let tokens = 0;
		for (const request of this.#waiting) {
			if (request.priority === 'high' || priority === 'normal') {
				tokens += request.tokens;
			}
		}

		return tokens;
	}

	#forgetIdle(): void {
		for (const [flow, tag] of this.#finishTags) {
			if (tag <= this.#virtualTime) {
				this.#finishTags.delete(flow);
			}
		}
	}
}

function byDue(left: Tagged<unknown>, right: Tagged<unknown>): number {
	if (left.priority !== right.priority) {
		return left.priority === 'high' ? -1 : 1;
	}

	return left.startTag - right.startTag || left.order - right.order;
}
