import {type LayerError, messageOf} from '@lacewingpoint/shared';

/**
 * How a call to a backend server failed.
 * After `not-sent` and `declined` the request certainly did not run; after all others it may have.
 */
export type BackendErrorCode = 'not-sent' | 'declined' | 'broken' | 'incomplete' | 'out-of-order' | 'malformed' | 'cancelled';

export type BackendError = LayerError<BackendErrorCode> & {
	/** How long the backend server asks to wait, in milliseconds. */
	readonly retryAfter?: number;
};

const connectCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'ERR_INVALID_URL']);

/**
 * Turns an error of the HTTP client into one of this layer.
 *
 * @param thrown - What the client threw.
 * @param address - The backend server.
 * @returns `not-sent` only when no connection came about, so that no byte can have left.
 */
export function backendErrorOf(thrown: unknown, address: string): BackendError {
	const {code, name} = (thrown ?? {}) as {readonly code?: string; readonly name?: string};
	const message = `${address}: ${messageOf(thrown)}`;
	if (code !== undefined && connectCodes.has(code)) {
		return {layer: 'backend', code: 'not-sent', message};
	}

	return {layer: 'backend', code: name === 'AbortError' || code === 'UND_ERR_ABORTED' ? 'cancelled' : 'broken', message};
}

/**
 * Tells whether a request certainly did not run.
 *
 * @param error - How the call failed.
 * @returns True when no byte left or the backend server said so itself.
 */
export function certainlyDidNotRun(error: BackendError): boolean {
	return error.code === 'not-sent' || error.code === 'declined';
}
