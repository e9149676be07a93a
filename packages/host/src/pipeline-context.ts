import type {Quarantine, RetryBudget} from '@lacewingpoint/routing';
import type {
	Logger, Metrics, Milliseconds, RandomSource,
} from '@lacewingpoint/shared';
import type {BackendConnectionPool} from './backend-connection-pool.js';
import type {ClusterState} from './cluster-state.js';
import type {ChosenServer, Dispatcher} from './dispatcher.js';
import type {BackendProtocol, ReceivedRequest} from './ports.js';

/** What requests need of their host. */
export type PipelineContext = {
	readonly clusterState: ClusterState;
	readonly dispatcher: Dispatcher;
	readonly connections: BackendConnectionPool;
	readonly backend: BackendProtocol;
	readonly quarantine: Quarantine;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	/** The retry budget of a service. */
	retryBudget(service: string): RetryBudget;
	/** @returns The hosts that share quotas and budgets, this one included. */
	hostCount(): number;
	/** Tells the peers at once what was placed. */
	onRequestPlaced(chosen: ChosenServer, run: ReceivedRequest): void;
	/** Tells the peers that a prompt has been read, or that it will not be. */
	onPrefillEnded(chosen: ChosenServer, run: ReceivedRequest, isRead: boolean): void;
	/** Notes that a server broke off a request that it may have run. */
	onAttemptFailed(server: string, fingerprint: number): void;
	/** Notes that a server could not be reached. */
	onServerUnreachable(server: string): void;
	/** Called when a request has had its last word. */
	onRequestFinished(): void;
};
