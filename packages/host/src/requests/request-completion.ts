import type {Milliseconds} from '@lacewingpoint/shared';
import type {AttemptRecord} from './attempt.js';
import type {PipelineContext} from './pipeline-context.js';
import type {QuotaCharge} from './quota-charge.js';
import type {RelayedResponse} from './relayed-response.js';
import {reportRequest} from './request-report.js';
import type {RoutedRequest} from './routed-request.js';

/** The reason for a failure at the deadline, which is reported to the client with a status of its own. */
export const outOfTime = 'out of time';

/** The outcome of a request whose client has disconnected. */
const clientGone = 'client-gone';

/** What has become of a request when its client disconnects: it was never sent, is at a server or peer, or its response has begun. */
export type AbandonedStage = 'waiting' | 'sent' | 'answering';

/** The attempts of a request so far. */
export type AttemptProgress = {
	/** Attempts that a server has executed or may have executed. */
	readonly executions: number;
	readonly firstSentAt: Milliseconds | undefined;
	/** When the first byte of any response body arrived. */
	readonly firstByteAt: Milliseconds | undefined;
	/** The attempts that have ended. */
	readonly records: readonly AttemptRecord[];
};

export type RequestCompletionOptions = {
	readonly context: PipelineContext;
	readonly request: RoutedRequest;
	readonly response: RelayedResponse;
	readonly quotaCharge: QuotaCharge;
	/** Called once, before the outcome is reported; `isAbandoned` if the client has not waited for it. */
	readonly onFinished: (isAbandoned: boolean) => void;
};

/** Determines the final outcome of a request, reports it and ends the response. */
export class RequestCompletion {
	readonly #options: RequestCompletionOptions;
	#attempts: AttemptProgress | undefined;
	#isFinished = false;

	constructor(options: RequestCompletionOptions) {
		this.#options = options;
	}

	get isFinished(): boolean {
		return this.#isFinished;
	}

	/**
	 * Sets the attempts that the outcome depends on. Until then, nothing was sent to a server.
	 *
	 * @param attempts - The attempts, which may continue.
	 */
	observeAttempts(attempts: AttemptProgress): void {
		this.#attempts = attempts;
	}

	/**
	 * Ends a request whose response was forwarded completely.
	 *
	 * @param status - The status of the response.
	 */
	succeed(status: number): void {
		this.#finish('answered', status);
		this.#options.request.received.responseWriter.end();
	}

	/**
	 * Ends a request that no further attempt is made for: 503 states that the request was not executed, 502 and 504 that it may have been.
	 * A response that has already started is cut off by closing the connection, so that the client does not take it for a complete one.
	 *
	 * @param reason - Why it failed.
	 * @param retryAfter - When the client may try again; sent with 503 only.
	 */
	fail(reason: string, retryAfter: Milliseconds | undefined): void {
		const {request, response, quotaCharge} = this.#options;
		if (response.hasStarted) {
			this.#finish('broken-off', 0, reason);
			request.received.responseWriter.destroy();
			return;
		}

		if (this.#attempts !== undefined && this.#attempts.executions > 0) {
			const status = reason === outOfTime ? 504 : 502;
			this.#finish('failed', status, reason);
			request.received.responseWriter.sendError(status, reason, undefined);
			return;
		}

		quotaCharge.refund();
		this.refuse(503, reason, retryAfter);
	}

	/**
	 * Ends a request that was not executed.
	 *
	 * @param status - The status for the client.
	 * @param reason - Why it is refused.
	 * @param retryAfter - When the client may try again; `undefined` if that is unknown or useless.
	 */
	refuse(status: number, reason: string, retryAfter: Milliseconds | undefined): void {
		this.#finish('refused', status, reason, retryAfter);
		this.#options.request.received.responseWriter.sendError(status, reason, retryAfter);
	}

	/**
	 * Ends a request whose client has disconnected. It is not charged if it was never executed.
	 *
	 * @param stage - What had become of the request, for the metrics.
	 */
	abandon(stage: AbandonedStage): void {
		this.#options.context.metrics.incrementCounter('clients_gone', {stage});
		if (stage === 'waiting' && (this.#attempts?.executions ?? 0) === 0) {
			this.#options.quotaCharge.refund();
		}

		this.#finish(clientGone, 0, stage);
	}

	#finish(outcome: string, status: number, cause?: string, retryAfter?: Milliseconds): void {
		if (this.#isFinished) {
			return;
		}

		const {context, request, response, onFinished} = this.#options;
		this.#isFinished = true;
		onFinished(outcome === clientGone || cause === outOfTime);
		reportRequest(context, {
			received: request.received,
			longestReadDelay: request.longestReadDelay,
			route: request.route,
			workspace: request.workspace,
			service: request.service,
			fingerprint: request.fingerprint,
			outcome,
			status,
			cause,
			retryAfter,
			firstByteAt: this.#attempts?.firstByteAt,
			firstSentAt: this.#attempts?.firstSentAt,
			weightsVersion: response.weightsVersion,
			attempts: this.#attempts?.records ?? [],
		});
		context.onRequestFinished();
	}
}
