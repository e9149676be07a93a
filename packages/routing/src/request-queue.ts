import type {Milliseconds} from '@lacewingpoint/shared';

/** A request that waits at the host for room at the backend servers. */
export type QueuedRequest<Item> = {
	readonly workspace: string;
	/** 0 goes first. */
	readonly rank: number;
	/** What it will occupy, for fairness among workspaces. */
	readonly size: number;
	/** When waiting is of no use any more. */
	readonly expiresAt: Milliseconds;
	readonly item: Item;
};

type Tagged<Item> = QueuedRequest<Item> & {readonly startTag: number; readonly order: number};

/**
 * Requests in the order in which they are due: by rank, then by fair shares of the workspaces, then by arrival.
 * Load pattern: more arrives than the servers take, from workspaces of very different sizes.
 */
export class RequestQueue<Item> {
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
	addRequest(request: QueuedRequest<Item>): void {
		const startTag = Math.max(this.#virtualTime, this.#finishTags.get(request.workspace) ?? 0);
		this.#finishTags.set(request.workspace, startTag + request.size);
		const tagged = {...request, startTag, order: this.#order++};
		const at = this.#waiting.findIndex(other => isDueBefore(tagged, other));
		this.#waiting.splice(at === -1 ? this.#waiting.length : at, 0, tagged);
	}

	/**
	 * Offers the requests in their order; those that are taken leave the line.
	 *
	 * @param take - Takes a request or says that it cannot run now.
	 */
	offerInOrder(take: (item: Item) => boolean): void {
		for (const request of this.#waiting) {
			if (take(request.item)) {
				this.#virtualTime = Math.max(this.#virtualTime, request.startTag);
				this.removeItem(request.item);
			}
		}

		this.#forgetIdle();
	}

	/**
	 * Removes a request, such as one whose client has gone.
	 *
	 * @param item - What waits.
	 */
	removeItem(item: Item): void {
		this.#waiting = this.#waiting.filter(request => request.item !== item);
	}

	/**
	 * Removes the requests for which waiting is of no use any more.
	 *
	 * @param now - The present moment.
	 * @returns What was removed.
	 */
	removeExpired(now: Milliseconds): Item[] {
		const expired = this.#waiting.filter(request => request.expiresAt <= now);
		if (expired.length > 0) {
			this.#waiting = this.#waiting.filter(request => request.expiresAt > now);
		}

		return expired.map(request => request.item);
	}

	/**
	 * Adds up what is due before a request of some rank.
	 *
	 * @param rank - The rank.
	 * @returns The sizes of the requests of this rank or a lower number.
	 */
	sizeAhead(rank: number): number {
		let size = 0;
		for (const request of this.#waiting) {
			size += request.rank <= rank ? request.size : 0;
		}

		return size;
	}

	#forgetIdle(): void {
		for (const [workspace, tag] of this.#finishTags) {
			if (tag <= this.#virtualTime) {
				this.#finishTags.delete(workspace);
			}
		}
	}
}

function isDueBefore(left: Tagged<unknown>, right: Tagged<unknown>): boolean {
	return left.rank === right.rank ? left.startTag < right.startTag : left.rank < right.rank;
}
