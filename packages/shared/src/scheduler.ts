import type {Milliseconds} from './units.js';

/** Runs functions later; tests and simulations replace the system's timers. */
export type Scheduler = {
	/**
	 * Schedules a function.
	 *
	 * @param delay - Time until it runs.
	 * @param run - The function.
	 * @returns A function that cancels it.
	 */
	schedule(delay: Milliseconds, run: () => void): () => void;
};

/** Schedules with the timers of Node.js. */
export const systemScheduler: Scheduler = {
	schedule(delay, run) {
		const timer = setTimeout(run, delay);
		return () => {
			clearTimeout(timer);
		};
	},
};
