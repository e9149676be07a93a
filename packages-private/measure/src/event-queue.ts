type ScheduledEvent = {readonly at: number; readonly sequence: number; readonly run: () => void};

/** Queue of a discrete-event simulation: a binary heap of events ordered by time. Events at the same time run in scheduling order. */
export class EventQueue {
	/** Current time of the simulation, in milliseconds. */
	now = 0;
	readonly #heap: ScheduledEvent[] = [];
	#nextSequence = 0;

	/**
	 * Schedules an event.
	 *
	 * @param delay - Delay from the current time, in milliseconds; a negative one counts as 0.
	 * @param run - Called when the event is due.
	 */
	schedule(delay: number, run: () => void): void {
		this.#heap.push({at: this.now + Math.max(delay, 0), sequence: this.#nextSequence++, run});
		this.#siftUp(this.#heap.length - 1);
	}

	/**
	 * Runs all events due up to a time, and sets the current time to it.
	 *
	 * @param until - The time, in milliseconds.
	 */
	runUntil(until: number): void {
		while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
			const next = this.#pop();
			this.now = next.at;
			next.run();
		}

		this.now = until;
	}

	#pop(): ScheduledEvent {
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

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
	return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}
