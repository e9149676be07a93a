type Scheduled = {readonly at: number; readonly order: number; readonly run: () => void};

/** Events in order of their time: a binary heap. */
export class EventQueue {
	now = 0;
	readonly #heap: Scheduled[] = [];
	#order = 0;

	/**
	 * Schedules an event.
	 *
	 * @param delay - From now, in milliseconds.
	 * @param run - What happens.
	 */
	schedule(delay: number, run: () => void): void {
		this.#heap.push({at: this.now + Math.max(delay, 0), order: this.#order++, run});
		this.#siftUp(this.#heap.length - 1);
	}

	/**
	 * Runs events up to a time.
	 *
	 * @param until - The last time, in milliseconds.
	 */
	runUntil(until: number): void {
		while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
			const next = this.#pop();
			this.now = next.at;
			next.run();
		}

		this.now = until;
	}

	#pop(): Scheduled {
		const first = this.#heap[0]!;
		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#siftDown();
		}

		return first;
	}

	#siftUp(start: number): void {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(this.#heap[index]!, this.#heap[parent]!)) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	#siftDown(): void {
		let index = 0;
		for (;;) {
			const children = [(2 * index) + 1, (2 * index) + 2].filter(child => child < this.#heap.length);
			let smallest = index;
			for (const child of children) {
				smallest = isBefore(this.#heap[child]!, this.#heap[smallest]!) ? child : smallest;
			}

			if (smallest === index) {
				return;
			}

			this.#swap(index, smallest);
			index = smallest;
		}
	}

	#swap(left: number, right: number): void {
		[this.#heap[left], this.#heap[right]] = [this.#heap[right]!, this.#heap[left]!];
	}
}

function isBefore(left: Scheduled, right: Scheduled): boolean {
	return left.at < right.at || (left.at === right.at && left.order < right.order);
}
