import type {Route, Workspace} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ReceivedRequest} from '../ports.js';
import {type AttemptRecord, roundTime} from './attempt.js';
import type {PipelineContext} from './pipeline-context.js';
import {sharedPartIds} from './request-admission.js';

/** A shorter delay until a request was read is not logged: the bound on it is checked each 100 ms. */
const loggedReadDelay: Milliseconds = 300;

/** The final outcome of a request, with what decided it. */
export type RequestOutcome = {
	readonly received: ReceivedRequest;
	/** How long the request may have waited in the operating system until it was read. */
	readonly longestReadDelay: Milliseconds;
	readonly route: Route | undefined;
	readonly workspace: Workspace | undefined;
	readonly service: string;
	/** Hash of the request's content and workspace; 0 if it was refused before. */
	readonly fingerprint: number;
	readonly outcome: string;
	/** Status sent to the client; 0 for none. */
	readonly status: number;
	readonly cause: string | undefined;
	readonly retryAfter: Milliseconds | undefined;
	readonly firstByteAt: Milliseconds | undefined;
	readonly firstSentAt: Milliseconds | undefined;
	/** Version of the weights that the response began on. */
	readonly weightsVersion: number | undefined;
	readonly attempts: readonly AttemptRecord[];
};

/**
 * Writes the log line and the metrics of a request that has ended.
 *
 * @param context - The components of the host.
 * @param result - The outcome.
 */
export function reportRequest({clusterState, log, metrics, now}: PipelineContext, result: RequestOutcome): void {
	const {request, receivedAt} = result.received;
	const sinceReceived = (time: Milliseconds | undefined) => time === undefined ? undefined : time - receivedAt;
	const took = now() - receivedAt;
	const route = result.route?.name ?? 'none';
	metrics.incrementCounter('requests', {route, outcome: result.outcome, status: String(result.status)});
	metrics.recordDuration('request', took, {route});
	const waited = sinceReceived(result.firstSentAt);
	if (waited !== undefined) {
		metrics.recordDuration('wait', waited, {route});
	}

	log.info('request', {
		id: request.id,
		forwardedBy: result.received.forwarding?.origin,
		resumes: request.resumedRequestId,
		lastEvent: request.lastEventId,
		route,
		workspace: result.workspace?.name,
		service: result.service,
		fingerprint: result.fingerprint === 0 ? undefined : result.fingerprint.toString(16),
		parts: request.generation === undefined ? undefined : sharedPartIds(request),
		outcome: result.outcome,
		status: result.status,
		cause: result.cause,
		retryAfter: roundTime(result.retryAfter),
		ahead: result.received.requestsAhead === 0 ? undefined : result.received.requestsAhead,
		readDelay: result.longestReadDelay < loggedReadDelay ? undefined : roundTime(result.longestReadDelay),
		took: roundTime(took),
		firstByte: roundTime(sinceReceived(result.firstByteAt)),
		waited: roundTime(waited),
		deadline: request.deadline,
		configuration: clusterState.configuration?.version,
		configurationAge: roundTime(clusterState.configurationAge()),
		revision: clusterState.revision,
		weights: result.weightsVersion,
		sends: result.attempts,
	});
}
