import type {Milliseconds} from '@lacewingpoint/shared';
import type {ResponseHead} from '../ports.js';
import {type Attempt, isEventStream} from './attempt.js';
import type {PipelineContext} from './pipeline-context.js';
import {sharedPartIds} from './request-admission.js';
import type {RoutedRequest} from './routed-request.js';

/** A server that has sent anything, in any response, this long after a request was written has received the request. */
const deliveryTime: Milliseconds = 50;

/**
 * Records that a server could not be reached or has stalled.
 *
 * @param context - The components of the host that all requests share.
 * @param server - The server's id.
 */
export function recordUnreachable({clusterState, now, onServerUnreachable}: PipelineContext, server: string): void {
	clusterState.health.recordUnreachable(server, now());
	onServerUnreachable(server);
}

/**
 * Records that an attempt failed after its server may have begun to execute the request.
 *
 * @param context - The components of the host that all requests share.
 * @param request - The client's request.
 * @param attempt - The attempt.
 * @param isServerStalled - Whether the server has sent nothing for any request.
 */
export function recordFailedExecution(context: PipelineContext, {received, fingerprint}: RoutedRequest, attempt: Attempt, isServerStalled: boolean): void {
	const {id: server} = attempt.chosen.entry;
	context.clusterState.health.recordOutcome(server, true, context.now());
	context.onAttemptFailed(server, {
		id: received.request.id, fingerprint, sharedParts: sharedPartIds(received.request), hasSurvivedResponse: attempt.hasSurvivedResponse,
	});
	if (isServerStalled) {
		recordUnreachable(context, server);
	}
}

/**
 * Records the head of a response, and what it tells of the server.
 *
 * @param context - The components of the host that all requests share.
 * @param request - The client's request.
 * @param attempt - The attempt, which keeps the head.
 * @param status - The status of the response.
 * @param headers - Its headers.
 * @returns What the head states.
 */
export function recordHead(context: PipelineContext, {received, isStream}: RoutedRequest, attempt: Attempt, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): ResponseHead {
	const {backend, clusterState} = context;
	const head = backend.parseResponseHead(status, headers);
	const {id} = attempt.chosen.entry;
	attempt.head = head;
	attempt.status = status;
	attempt.isEventStream = isStream && status === 200 && isEventStream(headers);
	const {generation} = received.request;
	if (head.weightsVersion !== undefined && generation !== undefined && (head.instanceId ?? id) === id) {
		clusterState.recordObservedVersion(id, generation.model, head.weightsVersion);
	}

	return head;
}

/**
 * Closes the connection of an attempt that is given up.
 *
 * @param context - The components of the host that all requests share.
 * @param attempt - The attempt, whose request may have been written.
 */
export function abortExchange({clusterState, now}: PipelineContext, attempt: Attempt): void {
	const {id} = attempt.chosen.entry;
	attempt.silentTime = clusterState.health.stallDuration(id, now());
	attempt.exchange?.abort({isDelivered: clusterState.health.hasSentSince(id, attempt.sentAt + deliveryTime)});
}
