import type {Disposable} from './disposable-store.js';
import type {Milliseconds} from './units.js';

/**
 * Runs a task again and again, each run beginning a pause after the last one ended.
 *
 * @param pause - The time between runs.
 * @param task - The task; what it throws is passed to `onError`.
 * @param onError - Receives what the task throws.
 * @returns A disposable that stops the repetition and waits for the run under way.
 */
export function startRepeatingTask(pause: Milliseconds, task: () => void | Promise<void>, onError: (thrown: unknown) => void): Disposable {
	let timer: NodeJS.Timeout | undefined;
	let isStopped = false;
	let running: Promise<void> | undefined;
	const runOnce = async () => {
		try {
			await task();
		} catch (error) {
			onError(error);
		}

		if (!isStopped) {
			timer = setTimeout(run, pause);
		}
	};

	const run = () => {
		running = runOnce();
	};

	timer = setTimeout(run, 0);
	return {
		async dispose() {
			isStopped = true;
			clearTimeout(timer);
			await running;
		},
	};
}
