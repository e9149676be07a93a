import type {Milliseconds} from '@lacewingpoint/shared';
import type {BackendProtocol} from '../ports.js';
import type {ChosenServer} from '../placement/placement-request.js';
import type {OutgoingRequest} from './backend-connection-pool.js';
import type {RoutedRequest} from './routed-request.js';

/** Subtracted from the deadline sent to the server, so that the response still reaches the client in time. */
const responseTransitTime: Milliseconds = 10;

/**
 * Creates the request that is written to a server.
 *
 * @param backend - Encodes the headers.
 * @param routedRequest - The client's request; its deadline is what remains of it now.
 * @param chosen - The server and, for a generation, the placement on its engine.
 * @param relayedEventId - Id of the last event that the client has received from another server; `undefined` before the first.
 * @returns The request.
 */
export function createServerRequest(backend: BackendProtocol, routedRequest: RoutedRequest, {entry, engine}: ChosenServer, relayedEventId: string | undefined): OutgoingRequest {
	const {received: {request, body}, workspace, rank} = routedRequest;
	const headers = backend.requestHeaders(request, {
		server: entry.id,
		workspace: workspace?.name,
		remainingTime: Math.max(Math.floor(routedRequest.remainingTime() - responseTransitTime), 1),
		urgency: engine === undefined ? undefined : Math.min(rank, 9),
		lastEventId: relayedEventId ?? request.lastEventId,
		cacheSalt: engine?.cacheSalt,
		weightsVersion: engine?.weightsVersion,
		fetchFrom: engine?.fetchFrom,
		saveTo: engine?.saveTo,
	});
	return {
		method: request.method, target: request.target, headers, body,
	};
}
