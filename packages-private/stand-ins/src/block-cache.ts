/** A limited cache of blocks, the least recently used evicted first. */
export class BlockCache {
	readonly #blocks = new Map<number, true>();
	readonly #capacity: number;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	get size(): number {
		return this.#blocks.size;
	}

	/**
	 * Counts the leading blocks that are cached.
	 *
	 * @param chain - The hashes of the prompt's blocks.
	 * @returns The length of the cached prefix.
	 */
	match(chain: readonly number[]): number {
		const missing = chain.findIndex(hash => !this.#blocks.has(hash));
		return missing === -1 ? chain.length : missing;
	}

	/**
	 * Stores a prompt's blocks.
	 *
	 * @param chain - The hashes of the prompt's blocks.
	 * @returns What was added and what had to go.
	 */
	store(chain: readonly number[]): {readonly stored: number[]; readonly removed: number[]} {
		const stored = chain.filter(hash => !this.#blocks.has(hash));
		// The deepest block is touched first, so that a prefix outlives what hangs below it.
		for (const hash of chain.toReversed()) {
			this.#blocks.delete(hash);
			this.#blocks.set(hash, true);
		}

		const removed: number[] = [];
		while (this.#blocks.size > this.#capacity) {
			const oldest = this.#blocks.keys().next().value!;
			this.#blocks.delete(oldest);
			removed.push(oldest);
		}

		return {stored, removed};
	}

	/** Empties the cache. */
	clear(): void {
		this.#blocks.clear();
	}
}
