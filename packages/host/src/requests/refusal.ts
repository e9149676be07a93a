import type {Metrics, Milliseconds} from '@lacewingpoint/shared';
import type {ResponseHead} from '../ports.js';
import type {Attempt} from './attempt.js';
import type {PipelineContext} from './pipeline-context.js';
import type {RoutedRequest} from './routed-request.js';

/**
 * A model server that rejects a request while a newer target version of its weights is known is assumed to be loading that version.
 * It gets no requests for this long, unless the holder of the weights lease announces its state earlier.
 */
const assumedLoadingTime: Milliseconds = 300;

/** Status of a server that has no capacity for a request. */
const rejectedStatus = 503;

/** The request that a refusal names: that of the attempt, none, or another one. */
export type RefusalSubject = 'own' | 'none' | 'other';

/**
 * Tells which request a server's refusal names.
 *
 * @param head - The response head.
 * @param requestId - Id of the request that was sent.
 * @returns The subject.
 */
export function identifyRefusal({requestId: named}: ResponseHead, requestId: string): RefusalSubject {
	if (named === undefined) {
		return 'none';
	}

	return named === requestId ? 'own' : 'other';
}

/**
 * Decides whether a refusal shows that the server has not executed the request, and counts it. Designed for servers that write a refusal of
 * an earlier request where the response to this one is due. One that names no request may belong to an earlier one on the same connection;
 * for a request that may be executed twice, a false refusal does no harm.
 *
 * @param head - The response head.
 * @param attempt - The attempt that got it.
 * @param request - The client's request.
 * @param metrics - Counts the refusal.
 * @returns Whether it does.
 */
export function isCredibleRefusal(head: ResponseHead, {exchange, status}: Attempt, {received, isRetryable}: RoutedRequest, metrics: Metrics): boolean {
	const isReused = exchange?.isReused === true;
	const subject = identifyRefusal(head, received.request.id);
	metrics.incrementCounter('refusals', {status: String(status), id: subject, connection: isReused ? 'reused' : 'new'});
	return subject === 'own' || (subject === 'none' && (isRetryable || !isReused));
}

/**
 * Records what a refusal tells of its server.
 *
 * @param head - The response head.
 * @param attempt - The attempt that got it.
 * @param context - The components of the host that all requests share.
 * @param model - The model of the request; `undefined` for requests other than generations.
 */
export function recordRefusal(head: ResponseHead, attempt: Attempt, {clusterState, now}: PipelineContext, model: string | undefined): void {
	const {entry, engine} = attempt.chosen;
	if (attempt.status === rejectedStatus) {
		clusterState.health.recordRejection(entry.id, now());
	}

	if (head.isMisdirected && head.instanceId !== undefined && head.instanceId !== entry.id) {
		clusterState.health.recordUnreachable(entry.id, now());
	}

	if (engine !== undefined && model !== undefined && clusterState.weightsTracker.outdatedTime(model, engine.weightsVersion, now()) > 0) {
		clusterState.weightsTracker.recordLoading(entry.id, now() + assumedLoadingTime, now());
	}
}
