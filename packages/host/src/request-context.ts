import {type Quarantine, SecondTryPolicy, defaultSecondTryOptions} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {Forwarding} from './forwarding.js';
import type {HostDependencies} from './host-dependencies.js';
import type {Fleet} from './members/fleet.js';
import {ArrivalBarrier} from './requests/arrival-barrier.js';
import type {BackendConnectionPool} from './requests/backend-connection-pool.js';
import type {Dispatcher} from './requests/dispatcher.js';
import type {PipelineContext} from './requests/pipeline-context.js';
import type {RunningRequests} from './requests/running-requests.js';
import type {RetryBudgets} from './requests/retry-budgets.js';
import type {ClusterState} from './state/cluster-state.js';
import type {PromptPlacementTracker} from './state/prompt-placement-tracker.js';
import type {ServerCrashDetector} from './state/server-crash-detector.js';
import type {PlannedStop} from './stopping/index.js';

/** The components of a host that its requests use. */
export type RequestComponents = {
	readonly dependencies: HostDependencies;
	readonly clusterState: ClusterState;
	readonly dispatcher: Dispatcher;
	readonly connections: BackendConnectionPool;
	readonly forwarding: Forwarding;
	readonly fleet: Fleet;
	readonly quarantine: Quarantine;
	readonly retryBudgets: RetryBudgets;
	readonly placementTracker: PromptPlacementTracker;
	readonly crashDetector: ServerCrashDetector;
	readonly runningRequests: RunningRequests;
	readonly plannedStop: PlannedStop;
	/** @returns Whether this host is behind with its work. */
	isOverloaded(): boolean;
	/** @returns The earliest monotonic time at which data that is read now may have reached this machine. */
	earliestArrival(): Milliseconds;
};

/**
 * Connects the request pipeline to the components of the host.
 *
 * @param components - The components.
 * @returns What all requests of the host share.
 */
export function createPipelineContext(components: RequestComponents): PipelineContext {
	const {
		dependencies, clusterState, forwarding, fleet, quarantine, retryBudgets, placementTracker, crashDetector,
	} = components;
	const {settings, adapter, log, metrics, random, now} = dependencies;
	return {
		hostName: settings.description.name,
		runningRequests: components.runningRequests,
		plannedStop: components.plannedStop,
		clusterState,
		dispatcher: components.dispatcher,
		connections: components.connections,
		arrivals: new ArrivalBarrier(),
		forwarder: forwarding.forwarder,
		backend: adapter.backend,
		quarantine,
		promptPartGuard: fleet.promptPartGuard,
		secondTries: settings.secondTryShare > 0 ? new SecondTryPolicy({...defaultSecondTryOptions, maximumShare: settings.secondTryShare}, random.next()) : undefined,
		random,
		log,
		metrics,
		now,
		earliestArrival: () => components.earliestArrival(),
		isOverloaded: () => components.isOverloaded(),
		isDetached: () => forwarding.serverLinks.isDetached,
		retryBudget: service => retryBudgets.forService(service),
		hostCount: () => fleet.gossip.hostCount,
		onRequestPlaced(chosen, received) {
			placementTracker.recordPlacement(chosen, received);
			fleet.gossip.recordTotalsChanged('all');
		},
		onPrefillEnded(chosen, received, isPrefilled) {
			placementTracker.recordPrefillResult(chosen, received, isPrefilled);
		},
		onAttemptFailed(server, request) {
			crashDetector.recordBrokenRequest(server, request);
		},
		onStreamBegun(service, requestId, version) {
			const origin = clusterState.streamOrigins.record(service, requestId, version, now());
			if (origin !== undefined) {
				fleet.gossip.announceOrigins([origin]);
			}
		},
		findStreamOrigin: async (service, requestId) => fleet.streamOriginFinder.findVersion(service, requestId),
		onServerUnreachable(server) {
			crashDetector.recordUnreachable(server);
		},
		onRequestFinished() {
			fleet.gossip.recordTotalsChanged('all');
		},
	};
}
