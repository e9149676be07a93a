const pollInterval = 20;
const timeout = 20_000;

/**
 * Waits until a condition holds, and throws an error if it does not hold within 20 seconds. The timeout is generous, so that the
 * speed of the machine does not decide the outcome of a test.
 *
 * @param description - What is waited for, for the error message.
 * @param condition - The condition, polled until it returns true.
 * @param formatDetails - Returns details for the error message.
 */
export async function waitFor(description: string, condition: () => boolean | Promise<boolean>, formatDetails: () => string = () => ''): Promise<void> {
	const deadline = performance.now() + timeout;
	while (!await condition()) {
		if (performance.now() > deadline) {
			throw new Error(`timed out waiting for ${description}\n${formatDetails()}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollInterval);
		});
	}
}
