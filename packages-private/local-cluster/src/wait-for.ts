const pollPause = 20;
const longestWait = 20_000;

/**
 * Waits until a condition holds; how long that takes is no part of a test's verdict.
 *
 * @param what - Named in the error when it never holds.
 * @param condition - The condition.
 * @param describe - Adds to the error.
 */
export async function waitFor(what: string, condition: () => boolean | Promise<boolean>, describe: () => string = () => ''): Promise<void> {
	const deadline = performance.now() + longestWait;
	while (!await condition()) {
		if (performance.now() > deadline) {
			throw new Error(`waited too long for ${what}\n${describe()}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollPause);
		});
	}
}
