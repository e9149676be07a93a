/**
 * Delays actions until the process has read what had arrived on its connections before. After the process was held up, the operating
 * system holds requests together with the ends of their connections, and timers run before either is read.
 */
export class ArrivalBarrier {
	readonly #runSoon: (callback: () => void) => void;
	/** Actions added since the last phase in which connections were read. */
	#added: Array<() => void> = [];
	/** Actions added before that phase began. */
	#ready: Array<() => void> = [];
	#isScheduled = false;

	/** @param runSoon - Runs a callback after the next phase of the event loop in which connections are read, or at its end if it is running. */
	constructor(runSoon: (callback: () => void) => void = setImmediate) {
		this.#runSoon = runSoon;
	}

	/**
	 * Runs an action once a whole phase of reading has passed.
	 *
	 * @param action - The action.
	 */
	pass(action: () => void): void {
		this.#added.push(action);
		this.#schedule();
	}

	#schedule(): void {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			this.#runSoon(() => {
				this.#isScheduled = false;
				this.#advance();
			});
		}
	}

	#advance(): void {
		const ready = this.#ready;
		this.#ready = this.#added;
		this.#added = [];
		if (this.#ready.length > 0) {
			this.#schedule();
		}

		for (const action of ready) {
			try {
				action();
			} catch (error) {
				// Reported as uncaught, while the requests whose actions follow go on.
				process.nextTick(() => {
					throw error;
				});
			}
		}
	}
}
