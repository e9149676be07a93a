/** The layers of the system that report errors. */
export type Layer = 'settings' | 'platform' | 'backend' | 'peer' | 'coordination' | 'routing' | 'host' | 'router' | 'controller' | 'command-line';

/** An error reported by one layer. `cause` is the error of the layer below that led to it. */
export type LayerError<Code extends string = string> = {
	readonly layer: Layer;
	readonly code: Code;
	readonly message: string;
	readonly cause?: LayerError | undefined;
};

/**
 * Formats an error and its chain of causes as one line.
 *
 * @param error - The error to format.
 * @returns Codes and messages, from the outermost layer inwards.
 */
export function describeError(error: LayerError): string {
	const description = `${error.layer}/${error.code}: ${error.message}`;
	return error.cause === undefined ? description : `${description} (${describeError(error.cause)})`;
}

/**
 * Returns a printable message for any thrown value; for an error with an empty message, its code or name.
 *
 * @param thrown - The caught value.
 * @returns The message.
 */
export function getErrorMessage(thrown: unknown): string {
	if (!(thrown instanceof Error)) {
		return String(thrown);
	}

	const code = (thrown as NodeJS.ErrnoException).code;
	return thrown.message === '' ? (code ?? thrown.name) : thrown.message;
}
