import type {LayerError, Milliseconds} from '@lacewingpoint/shared';

/** Why a request was refused or broken off. */
export type RefusalCode
	= | 'malformed-request' | 'body-too-large' | 'unknown-key' | 'key-in-request' | 'unknown-route' | 'forbidden-route'
		| 'rate-exceeded' | 'request-exceeds-burst' | 'no-contact' | 'overloaded' | 'no-backend-server' | 'quarantined'
		| 'claims-unavailable' | 'idempotency-key-reused' | 'in-progress' | 'answer-not-kept' | 'outcome-unknown'
		| 'backend-failed' | 'stream-broken' | 'stopping' | 'internal';

/** A refusal as callers read it. */
export type Refusal = LayerError<RefusalCode> & {
	readonly status: number;
	/** `not-run` only when the request certainly did not run. */
	readonly run: 'not-run' | 'unknown';
	/** When coming back may help. */
	readonly retryAfter?: Milliseconds | undefined;
};

const statusOf: Readonly<Record<RefusalCode, number>> = {
	'malformed-request': 400,
	'body-too-large': 413,
	'unknown-key': 401,
	'key-in-request': 400,
	'unknown-route': 404,
	'forbidden-route': 403,
	'rate-exceeded': 429,
	'request-exceeds-burst': 413,
	'no-contact': 503,
	overloaded: 503,
	'no-backend-server': 503,
	quarantined: 422,
	'claims-unavailable': 503,
	'idempotency-key-reused': 422,
	'in-progress': 409,
	'answer-not-kept': 409,
	'outcome-unknown': 409,
	'backend-failed': 502,
	'stream-broken': 502,
	stopping: 503,
	internal: 500,
};

/**
 * Refuses a request that certainly did not run.
 *
 * @param code - Why.
 * @param message - For a person to read.
 * @param retryAfter - When coming back may help, in milliseconds.
 * @returns The refusal.
 */
export function notRun(code: RefusalCode, message: string, retryAfter?: Milliseconds): Refusal {
	return {
		layer: 'router', code, message, status: statusOf[code], run: 'not-run', retryAfter,
	};
}

/**
 * Gives up on a request that may have run.
 *
 * @param code - Why.
 * @param message - For a person to read.
 * @param cause - The error of the layer below.
 * @param retryAfter - When coming back may help, in milliseconds.
 * @returns The refusal.
 */
export function mayHaveRun(code: RefusalCode, message: string, cause?: LayerError, retryAfter?: Milliseconds): Refusal {
	return {
		layer: 'router', code, message, status: statusOf[code], run: 'unknown', cause, retryAfter,
	};
}

/**
 * Composes the JSON that callers receive; causes below the router stay in its own logs.
 *
 * @param refusal - The refusal.
 * @returns The body.
 */
export function refusalBody(refusal: Refusal): string {
	const {code, message, run, retryAfter} = refusal;
	return JSON.stringify({
		error: {
			type: 'lacewingpoint_error', code, message, run, retry_after_ms: retryAfter,
		},
	});
}
