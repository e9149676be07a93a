import {type Bytes, type Milliseconds, millisecondsPerSecond} from '@lacewingpoint/shared';

export type SlowReaderLimitOptions = {
	/** Limit on the bytes held for all clients together. */
	readonly totalBytes: Bytes;
	/** A client for which bytes are held has to read at least this many in a second. */
	readonly slowestRate: number;
};

/** A connection for whose client bytes are held. */
export type HeldResponse<Key> = {
	readonly key: Key;
	readonly heldBytes: Bytes;
	/** Bytes that the client has taken since the connection was opened. */
	readonly sentBytes: Bytes;
};

/** A connection to be closed, and why. */
export type SlowReader<Key> = HeldResponse<Key> & {readonly reason: 'stalled' | 'memory'; readonly duration: Milliseconds};

type Progress = {readonly at: Milliseconds; readonly sentBytes: Bytes};

/**
 * Finds the clients that read so slowly that what is held for them is a burden. Designed for clients that stop reading or take a byte now
 * and then, and for many slow ones at once, which would together take the memory of the host. A slow client that goes on reading is left
 * alone while there is room.
 */
export class SlowReaderLimit<Key> {
	readonly #options: SlowReaderLimitOptions;
	/** When the time in which a client has to read began, and what it had read by then. */
	#progress = new Map<Key, Progress>();

	constructor(options: SlowReaderLimitOptions) {
		this.#options = options;
	}

	/**
	 * Finds the connections to be closed.
	 *
	 * @param responses - All connections for which bytes are held.
	 * @param stallTime - A client that reads more slowly than the slowest rate for this long has stalled.
	 * @param now - Current monotonic time.
	 * @returns The connections of clients that have stalled; if too many bytes are held for the others, also the slowest of these.
	 */
	review(responses: ReadonlyArray<HeldResponse<Key>>, stallTime: Milliseconds, now: Milliseconds): ReadonlyArray<SlowReader<Key>> {
		const known = this.#progress;
		this.#progress = new Map();
		const slowReaders: Array<SlowReader<Key>> = [];
		const others: Array<{readonly response: HeldResponse<Key>; readonly since: Progress}> = [];
		for (const response of responses) {
			const since = known.get(response.key) ?? {at: now, sentBytes: response.sentBytes};
			const duration = now - since.at;
			const wasRead = response.sentBytes - since.sentBytes;
			if (duration < stallTime) {
				this.#progress.set(response.key, since);
				others.push({response, since});
			} else if (wasRead < this.#options.slowestRate * duration / millisecondsPerSecond) {
				slowReaders.push({...response, reason: 'stalled', duration});
			} else {
				const restarted = {at: now, sentBytes: response.sentBytes};
				this.#progress.set(response.key, restarted);
				others.push({response, since: restarted});
			}
		}

		return [...slowReaders, ...this.#selectForMemory(others, now)];
	}

	// The longest without the required progress first.
	#selectForMemory(others: ReadonlyArray<{readonly response: HeldResponse<Key>; readonly since: Progress}>, now: Milliseconds): Array<SlowReader<Key>> {
		const selected: Array<SlowReader<Key>> = [];
		let heldBytes = others.reduce((sum, {response}) => sum + response.heldBytes, 0);
		const bySpeed = others.toSorted((left, right) => (left.response.sentBytes - left.since.sentBytes) - (right.response.sentBytes - right.since.sentBytes) || left.since.at - right.since.at);
		for (const {response, since} of bySpeed) {
			if (heldBytes <= this.#options.totalBytes) {
				break;
			}

			heldBytes -= response.heldBytes;
			this.#progress.delete(response.key);
			selected.push({...response, reason: 'memory', duration: now - since.at});
		}

		return selected;
	}
}
