import type {HostState} from '@lacewingpoint/coordination';
import {type Disposable, DisposableStore} from '@lacewingpoint/shared';
import {serveInterfaces} from './client-interfaces.js';
import {type HostEndpointsOptions, serveEndpoints} from './host-endpoints.js';
import type {HostDependencies} from './host-dependencies.js';
import type {Inbound} from './inbound/index.js';
import type {ReceivedRequest} from './ports.js';
import type {ClientListener} from './requests/client-listener.js';
import type {ForwardedRequestListener} from './requests/forwarded-request-listener.js';
import {findRoute} from './requests/request-admission.js';
import {allowedTime} from './requests/routed-request.js';
import type {ClusterState} from './state/cluster-state.js';
import {type SnapshotSource, serveSnapshots} from './state/peer-snapshots.js';
import type {PlannedStop, StopGuard} from './stopping/index.js';

export type HostListenersOptions = Pick<HostEndpointsOptions, 'offeredHosts' | 'formatMetrics'> & {
	readonly dependencies: HostDependencies;
	readonly inbound: Inbound;
	readonly clusterState: ClusterState;
	readonly plannedStop: PlannedStop;
	readonly guard: StopGuard;
	readonly snapshotSource: SnapshotSource;
	/** Takes the requests that peers forward. */
	readonly forwardedRequests: ForwardedRequestListener;
	hostState(): HostState;
	onRequest(received: ReceivedRequest): void;
};

/** The listening servers of a host. */
export type HostListeners = Disposable & {
	/** Those for clients. They are stopped before the others. */
	readonly clients: readonly ClientListener[];
};

/**
 * Listens at all addresses of a host.
 *
 * @param options - The addresses, what is served there, and the limits that all listeners share.
 * @returns The listening servers. Rejects if the address for clients or peers cannot be used.
 */
export async function serveHost(options: HostListenersOptions): Promise<HostListeners> {
	const {dependencies, inbound, clusterState, plannedStop, guard, hostState} = options;
	const {settings, adapter, log, random} = dependencies;
	const disposables = new DisposableStore();
	const clients = await serveInterfaces(dependencies, {
		inbound,
		limits: () => clusterState.configuration?.limits,
		allowedTime({host, target, deadline}) {
			return allowedTime(deadline, clusterState.routes === undefined ? undefined : findRoute(clusterState.routes, host, target)?.timeout);
		},
		isStopping: () => plannedStop.isStopping,
		guard,
		onRequest(received) {
			options.onRequest(received);
		},
	});
	disposables.add(await serveSnapshots({
		address: settings.snapshotAddress, inbound, source: options.snapshotSource, onForwarded(exchange) {
			options.forwardedRequests.handle(exchange);
		},
	}));
	disposables.add(await serveEndpoints({
		settings,
		inbound,
		directoryProtocol: adapter.directory,
		ownTimeToLive: () => plannedStop.ownTimeToLive(),
		log,
		random,
		hostState,
		offeredHosts: () => options.offeredHosts(),
		formatMetrics: () => options.formatMetrics(),
	}));
	return {
		clients,
		async dispose() {
			for (const listener of clients) {
				await listener.dispose();
			}

			await disposables.dispose();
		},
	};
}
