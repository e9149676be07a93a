import {getHeapSpaceStatistics, setFlagsFromString} from 'node:v8';
import type {Bytes} from '@lacewingpoint/shared';

/** Share of the memory from which the heap's space for new objects no longer grows. V8 would let it grow to 32 MiB. */
const largestShare = 1 / 16;

/** What is needed of V8. */
export type HeapControl = {
	/** @returns The size of the space for new objects. */
	measureNewSpace(): Bytes;
	/** Keeps the space for new objects from growing. */
	stopGrowth(): void;
};

const engineHeap: HeapControl = {
	measureNewSpace: () => getHeapSpaceStatistics().find(({space_name: name}) => name === 'new_space')?.space_size ?? 0,
	stopGrowth() {
		// The limits of the sizes take effect only at the start of the process, this factor at any time.
		setFlagsFromString('--semi-space-growth-factor=1');
	},
};

/**
 * Bounds the heap's space for new objects by the memory of the host. A burst of requests makes it grow fast, and it is not given back while
 * the burst lasts.
 */
export class YoungGenerationLimit {
	readonly #limit: Bytes;
	readonly #heap: HeapControl;
	#isReached = false;

	/**
	 * @param memory - What the process may occupy.
	 * @param heap - The heap; that of this process by default.
	 */
	constructor(memory: Bytes, heap = engineHeap) {
		this.#limit = memory * largestShare;
		this.#heap = heap;
	}

	/** Reviews the size. Called periodically; the space at most doubles with each garbage collection. */
	review(): void {
		if (!this.#isReached && this.#heap.measureNewSpace() >= this.#limit) {
			this.#isReached = true;
			this.#heap.stopGrowth();
		}
	}
}
