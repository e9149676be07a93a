import type {Disposable} from './disposable-store.js';
import type {Milliseconds} from './units.js';

/**
 * Runs a task repeatedly. The first run starts without delay, but not synchronously; each further one starts a fixed time after the
 * previous one has ended.
 *
 * @param pause - Time between the end of a run and the start of the next.
 * @param task - The task to run.
 * @param onError - Called with the value that the task throws; the repetition continues.
 * @returns A disposable that stops the repetition and waits for a run in progress.
 */
export function startRepeatingTask(pause: Milliseconds, task: () => void | Promise<void>, onError: (thrown: unknown) => void): Disposable {
	let timer: NodeJS.Timeout | undefined;
	let isStopped = false;
	let currentRun: Promise<void> | undefined;
	const runOnce = async () => {
		try {
			await task();
		} catch (error) {
			onError(error);
		}

		if (!isStopped) {
			timer = setTimeout(startRun, pause);
		}
	};

	const startRun = () => {
		currentRun = runOnce();
	};

	timer = setTimeout(startRun, 0);
	return {
		async dispose() {
			isStopped = true;
			clearTimeout(timer);
			await currentRun;
		},
	};
}
