import type {Milliseconds} from '@lacewingpoint/shared';

/** A request that is queued at the host until a backend server has capacity. */
export type QueuedRequest<Item> = {
	readonly workspace: string;
	/** The priority; 0 is served first. */
	readonly rank: number;
	/** The amount of server capacity that the request will occupy, for fair queuing among workspaces. */
	readonly size: number;
	/** The monotonic time at which the queue timeout ends. */
	readonly expiresAt: Milliseconds;
	/** The queued object itself. */
	readonly item: Item;
};

/** Carries the start tag of start-time fair queuing: the virtual time at which the workspace's share allows the request. */
type Tagged<Request> = Request & {readonly startTag: number; readonly arrival: number};

/**
 * A queue ordered by rank, then by start-time fair queuing among workspaces, then by arrival. Meant for overload by workspaces that
 * send very different amounts.
 */
export class RequestQueue<Item, Request extends QueuedRequest<Item> = QueuedRequest<Item>> {
	#requests: Array<Tagged<Request>> = [];
	readonly #finishTags = new Map<string, number>();
	#virtualTime = 0;
	#arrivals = 0;

	/** The number of queued requests. */
	get size(): number {
		return this.#requests.length;
	}

	/**
	 * Inserts a request at its place in the order.
	 *
	 * @param request - The request with its rank, size and expiry.
	 */
	addRequest(request: Request): void {
		const startTag = Math.max(this.#virtualTime, this.#finishTags.get(request.workspace) ?? 0);
		this.#finishTags.set(request.workspace, startTag + request.size);
		const tagged = {...request, startTag, arrival: this.#arrivals++};
		const index = this.#requests.findIndex(other => precedes(tagged, other));
		this.#requests.splice(index === -1 ? this.#requests.length : index, 0, tagged);
	}

	/**
	 * Offers the requests in order; those that are accepted leave the queue, the others do not block those behind them.
	 *
	 * @param accept - Returns true when it accepts an item, false when the item cannot be executed now.
	 * @param levelOf - Returns the admission level of a request: lower ones are offered first, equal ones in the order of the queue.
	 */
	offerInOrder(accept: (item: Item, level: number) => boolean, levelOf?: (request: Request) => number): void {
		for (const {request, level} of this.#listInOrder(levelOf)) {
			if (accept(request.item, level)) {
				this.#virtualTime = Math.max(this.#virtualTime, request.startTag);
				this.removeItem(request.item);
			}
		}

		this.#removeIdleWorkspaces();
	}

	/**
	 * Removes a request, for example because its client has disconnected.
	 *
	 * @param item - The item of the request.
	 */
	removeItem(item: Item): void {
		this.#requests = this.#requests.filter(request => request.item !== item);
	}

	/**
	 * Removes the requests whose queue timeout has ended.
	 *
	 * @param now - Current monotonic time.
	 * @returns The items of the removed requests.
	 */
	removeExpired(now: Milliseconds): Item[] {
		const expired = this.#requests.filter(request => request.expiresAt <= now);
		if (expired.length > 0) {
			this.#requests = this.#requests.filter(request => request.expiresAt > now);
		}

		return expired.map(request => request.item);
	}

	/**
	 * Sums the sizes of the requests that are served before a new request of a rank.
	 *
	 * @param rank - The rank of the new request.
	 * @returns The total size of the requests with this rank or a lower number.
	 */
	sizeAhead(rank: number): number {
		let size = 0;
		for (const request of this.#requests) {
			size += request.rank <= rank ? request.size : 0;
		}

		return size;
	}

	/** @returns The queued requests. */
	list(): readonly Request[] {
		return this.#requests;
	}

	#listInOrder(levelOf: ((request: Request) => number) | undefined): ReadonlyArray<{readonly request: Tagged<Request>; readonly level: number}> {
		if (levelOf === undefined) {
			return this.#requests.map(request => ({request, level: request.rank}));
		}

		return this.#requests.map(request => ({request, level: levelOf(request)})).toSorted((left, right) => left.level - right.level);
	}

	// A tag in the past has no effect on the next request of its workspace.
	#removeIdleWorkspaces(): void {
		for (const [workspace, tag] of this.#finishTags) {
			if (tag <= this.#virtualTime) {
				this.#finishTags.delete(workspace);
			}
		}
	}
}

function precedes(left: Tagged<QueuedRequest<unknown>>, right: Tagged<QueuedRequest<unknown>>): boolean {
	return left.rank === right.rank ? left.startTag < right.startTag : left.rank < right.rank;
}
