import type {
	Quarantine, RetryBudget, SecondTryPolicy,
} from '@lacewingpoint/routing';
import type {
	Logger, Metrics, Milliseconds, RandomSource,
} from '@lacewingpoint/shared';
import type {ClusterState} from '../state/cluster-state.js';
import type {PromptPartGuard} from '../state/prompt-part-guard.js';
import type {BrokenRequest} from '../state/server-crash-detector.js';
import type {BackendProtocol, ReceivedRequest} from '../ports.js';
import type {ChosenServer} from '../placement/placement-request.js';
import type {PlannedStop} from '../stopping/planned-stop.js';
import type {ArrivalBarrier} from './arrival-barrier.js';
import type {BackendConnectionPool} from './backend-connection-pool.js';
import type {Dispatcher} from './dispatcher.js';
import type {PeerForwarder} from './peer-forwarder.js';
import type {RunningRequests} from './running-requests.js';

/** The components of a host that all its requests share, and callbacks to the host. */
export type PipelineContext = {
	readonly hostName: string;
	readonly runningRequests: RunningRequests;
	readonly plannedStop: PlannedStop;
	readonly clusterState: ClusterState;
	readonly dispatcher: Dispatcher;
	readonly connections: BackendConnectionPool;
	readonly arrivals: ArrivalBarrier;
	readonly backend: BackendProtocol;
	readonly forwarder: PeerForwarder;
	readonly quarantine: Quarantine;
	readonly promptPartGuard: PromptPartGuard;
	/** Decides on second tries; `undefined` if the operators have set no limit for them. */
	readonly secondTries: SecondTryPolicy | undefined;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	/** @returns The earliest monotonic time at which data that is read now may have reached this machine; early if the host was held up. */
	earliestArrival(): Milliseconds;
	/** @returns Whether this host has lost its links to all servers. */
	isDetached(): boolean;
	/** @returns Whether this host is behind with its work. */
	isOverloaded(): boolean;
	/** @returns The retry budget of a service. */
	retryBudget(service: string): RetryBudget;
	/** @returns The number of hosts that share the retry budgets, including this one. */
	hostCount(): number;
	/** Called before a request is sent to a server, so that peers learn of the added load and of the prompt parts that the server will cache. */
	onRequestPlaced(chosen: ChosenServer, received: ReceivedRequest): void;
	/** Called when a server has prefilled a prompt (`isPrefilled`) or will not do so because the attempt has ended, so that peers learn of it. */
	onPrefillEnded(chosen: ChosenServer, received: ReceivedRequest, isPrefilled: boolean): void;
	/** Called when an attempt failed that the server may have executed. */
	onAttemptFailed(server: string, request: BrokenRequest): void;
	/**
	 * Called with the first event of a stream, so that other hosts learn of its origin while servers of several software versions serve.
	 *
	 * @param service - Name of the service.
	 * @param requestId - Id of the request that brought the first event.
	 * @param version - The software version of its server.
	 */
	onStreamBegun(service: string, requestId: string, version: string): void;
	/**
	 * Finds the software version that began a stream that a client takes up.
	 *
	 * @param service - Name of the service.
	 * @param requestId - Id of the request that brought the first event; `undefined` if the client does not name it.
	 * @returns The version; `undefined` if no host knows it.
	 */
	findStreamOrigin(service: string, requestId: string | undefined): Promise<string | undefined>;
	/** Called when a server could not be reached or has stalled. */
	onServerUnreachable(server: string): void;
	/** Called once the outcome of a request is final. */
	onRequestFinished(): void;
};
