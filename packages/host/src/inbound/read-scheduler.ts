import type {Milliseconds} from '@lacewingpoint/shared';

/** Something that has received more than it may process at once. */
export type ReadTask = {
	/**
	 * Processes some of it. Adds itself to the scheduler again if more is left.
	 *
	 * @param until - The monotonic time at which to stop.
	 */
	run(until: Milliseconds): void;
};

export type ReadSchedulerOptions = {
	/** How long tasks run before the event loop handles other events. */
	readonly turnTime: Milliseconds;
	now(): Milliseconds;
	/** Called when a turn has ended with tasks left. */
	onTurnExhausted(): void;
};

/** How long one task runs before the next one. */
const taskTime: Milliseconds = 1;

/**
 * Shares the processor time between connections that have sent much to parse. Designed for bodies in tiny chunks, whose parsing takes a
 * thousand times as long as their transfer: they are read in turns, and whatever else arrives is handled between the turns.
 */
export class ReadScheduler {
	readonly #options: ReadSchedulerOptions;
	readonly #tasks = new Set<ReadTask>();
	#isScheduled = false;

	constructor(options: ReadSchedulerOptions) {
		this.#options = options;
	}

	/**
	 * Adds a task at the end of the queue, if it is not in the queue yet.
	 *
	 * @param task - The task.
	 */
	add(task: ReadTask): void {
		this.#tasks.add(task);
		this.#schedule();
	}

	/**
	 * Removes a task.
	 *
	 * @param task - The task.
	 */
	remove(task: ReadTask): void {
		this.#tasks.delete(task);
	}

	#schedule(): void {
		if (!this.#isScheduled && this.#tasks.size > 0) {
			this.#isScheduled = true;
			setImmediate(() => {
				this.#isScheduled = false;
				this.#runTurn();
			});
		}
	}

	#runTurn(): void {
		const {turnTime, now, onTurnExhausted} = this.#options;
		const end = now() + turnTime;
		// Includes tasks that are added during the turn.
		for (const task of this.#tasks) {
			const startedAt = now();
			if (startedAt >= end) {
				onTurnExhausted();
				break;
			}

			this.#tasks.delete(task);
			task.run(Math.min(startedAt + taskTime, end));
		}

		this.#schedule();
	}
}
