/** The layers that report errors of their own. */
export type Layer = 'settings' | 'platform' | 'backend' | 'peer' | 'coordination' | 'routing' | 'host' | 'router' | 'controller' | 'command-line';

/** An error of one layer; an error of the layer below is kept as its cause. */
export type LayerError<Code extends string = string> = {
	readonly layer: Layer;
	readonly code: Code;
	readonly message: string;
	readonly cause?: LayerError | undefined;
};

/**
 * Describes an error and its causes on one line.
 *
 * @param error - The error to describe.
 * @returns The codes and messages from the outermost layer inwards.
 */
export function describeError(error: LayerError): string {
	const own = `${error.layer}/${error.code}: ${error.message}`;
	return error.cause === undefined ? own : `${own} (${describeError(error.cause)})`;
}

/**
 * Reads the message of anything that was thrown.
 *
 * @param thrown - The caught value.
 * @returns A printable message.
 */
export function getErrorMessage(thrown: unknown): string {
	if (!(thrown instanceof Error)) {
		return String(thrown);
	}

	const code = (thrown as NodeJS.ErrnoException).code;
	return thrown.message === '' ? (code ?? thrown.name) : thrown.message;
}
