import type {Milliseconds} from '@lacewingpoint/shared';

export type PrefixIndexOptions = {
	/** Blocks remembered for one backend server; the least recently used go first. */
	readonly blocksPerServer: number;
	/** A block unheard of for this long is taken for evicted. */
	readonly lifetime: Milliseconds;
};

type ServerBlocks = {
	readonly incarnation: string;
	readonly weightsVersion: string;
	readonly lastUsedAt: Map<number, Milliseconds>;
	eventSequence: number | undefined;
};

/** A change of an engine's cache, as the index takes it in. */
export type CacheChange = {
	readonly incarnation: string;
	readonly sequence: number;
	readonly stored: readonly number[];
	readonly removed: readonly number[];
};

/** The hot heads of one server's cache, handed to a starting router. */
export type PrefixSnapshot = {
	readonly server: string;
	readonly incarnation: string;
	readonly weightsVersion: string;
	readonly blocks: readonly number[];
};

/**
 * What is believed of each engine's cache: learned from answers and, where it is affordable, from cache events.
 * Rows are keyed by the server's incarnation and weights, so nothing of a dead engine or of older weights survives.
 * Workspaces are kept apart by the salt inside the hashes.
 */
export class PrefixIndex {
	readonly #options: PrefixIndexOptions;
	readonly #servers = new Map<string, ServerBlocks>();

	constructor(options: PrefixIndexOptions) {
		this.#options = options;
	}

	/**
	 * Takes note of what a server says it is; another incarnation or other weights drop all that was believed.
	 *
	 * @param server - The server.
	 * @param incarnation - Its incarnation.
	 * @param weightsVersion - The weights it runs.
	 * @returns True when earlier beliefs were dropped.
	 */
	observe(server: string, incarnation: string, weightsVersion: string): boolean {
		const held = this.#servers.get(server);
		if (held?.incarnation === incarnation && held.weightsVersion === weightsVersion) {
			return false;
		}

		this.#servers.set(server, {
			incarnation, weightsVersion, lastUsedAt: new Map(), eventSequence: undefined,
		});
		return held !== undefined;
	}

	/**
	 * Drops all that is believed of a server.
	 *
	 * @param server - The server.
	 */
	forget(server: string): void {
		this.#servers.delete(server);
	}

	/**
	 * Records that a server has just computed or reused the blocks of a prompt.
	 *
	 * @param server - The server.
	 * @param incarnation - The incarnation that did so.
	 * @param blocks - The hashes of the prompt's blocks.
	 * @param now - The present moment.
	 */
	learn(server: string, incarnation: string, blocks: readonly number[], now: Milliseconds): void {
		const held = this.#servers.get(server);
		if (held?.incarnation !== incarnation) {
			return;
		}

		// The deepest block is touched first, so that a prefix outlives what hangs below it.
		for (let index = blocks.length - 1; index >= 0; index--) {
			const block = blocks[index]!;
			held.lastUsedAt.delete(block);
			held.lastUsedAt.set(block, now);
		}

		this.#trim(held);
	}

	/**
	 * Takes in a cache event. A gap drops the server's row: what the lost events removed is unknown.
	 *
	 * @param server - The server.
	 * @param change - The event.
	 * @param now - The present moment.
	 * @returns True when the event was in sequence.
	 */
	apply(server: string, change: CacheChange, now: Milliseconds): boolean {
		const held = this.#servers.get(server);
		if (held?.incarnation !== change.incarnation) {
			return false;
		}

		const isInSequence = held.eventSequence === undefined || change.sequence === held.eventSequence + 1;
		if (held.eventSequence !== undefined && change.sequence <= held.eventSequence) {
			return false;
		}

		if (!isInSequence) {
			held.lastUsedAt.clear();
		}

		held.eventSequence = change.sequence;
		for (const block of change.removed) {
			held.lastUsedAt.delete(block);
		}

		this.learn(server, change.incarnation, change.stored, now);
		return isInSequence;
	}

	/**
	 * Counts the leading blocks of a prompt that a server is believed to have.
	 *
	 * @param server - The server.
	 * @param blocks - The hashes of the prompt's blocks.
	 * @param now - The present moment.
	 * @returns The believed length of the cached prefix, in blocks.
	 */
	match(server: string, blocks: readonly number[], now: Milliseconds): number {
		const held = this.#servers.get(server);
		if (held === undefined || held.lastUsedAt.size === 0) {
			return 0;
		}

		// A chained hash stands for all before it, so a binary search finds the deepest one.
		let low = 0;
		let high = blocks.length;
		while (low < high) {
			const middle = Math.floor((low + high + 1) / 2);
			if (this.#isFresh(held, blocks[middle - 1]!, now)) {
				low = middle;
			} else {
				high = middle - 1;
			}
		}

		return low;
	}

	/**
	 * Tells the incarnation whose cache is believed in.
	 *
	 * @param server - The server.
	 * @returns Its incarnation, or nothing.
	 */
	incarnationOf(server: string): string | undefined {
		return this.#servers.get(server)?.incarnation;
	}

	/** @returns The number of blocks believed in, over all servers. */
	get size(): number {
		let size = 0;
		for (const held of this.#servers.values()) {
			size += held.lastUsedAt.size;
		}

		return size;
	}

	/**
	 * Copies the most recently used blocks for a starting router.
	 *
	 * @param blocksPerServer - The most blocks to copy for one server.
	 * @returns The heads.
	 */
	snapshot(blocksPerServer: number): PrefixSnapshot[] {
		return [...this.#servers].map(([server, held]) => ({
			server,
			incarnation: held.incarnation,
			weightsVersion: held.weightsVersion,
			blocks: [...held.lastUsedAt.keys()].slice(-blocksPerServer),
		}));
	}

	/**
	 * Takes in a snapshot; a row that is known already, or known to be of another incarnation, stays.
	 *
	 * @param snapshots - The heads.
	 * @param now - The present moment.
	 */
	restore(snapshots: readonly PrefixSnapshot[], now: Milliseconds): void {
		for (const {server, incarnation, weightsVersion, blocks} of snapshots) {
			if (!this.#servers.has(server)) {
				this.observe(server, incarnation, weightsVersion);
				this.learn(server, incarnation, blocks, now);
			}
		}
	}

	#isFresh(held: ServerBlocks, block: number, now: Milliseconds): boolean {
		const usedAt = held.lastUsedAt.get(block);
		return usedAt !== undefined && now - usedAt <= this.#options.lifetime;
	}

	#trim(held: ServerBlocks): void {
		while (held.lastUsedAt.size > this.#options.blocksPerServer) {
			held.lastUsedAt.delete(held.lastUsedAt.keys().next().value!);
		}
	}
}
