import type {Inbound} from './inbound/index.js';
import type {BackendConnectionPool} from './requests/backend-connection-pool.js';
import {defaultClientLimits} from './requests/client-listener.js';
import {ForwardedRequestListener} from './requests/forwarded-request-listener.js';
import {PeerForwarder} from './requests/peer-forwarder.js';
import type {ClusterState} from './state/cluster-state.js';
import {ServerLinkMonitor} from './state/server-link-monitor.js';
import type {HostDependencies} from './host-dependencies.js';
import type {ReceivedRequest} from './ports.js';

export type ForwardingOptions = {
	readonly dependencies: HostDependencies;
	readonly clusterState: ClusterState;
	readonly connections: BackendConnectionPool;
	readonly inbound: Inbound;
	/** @returns Whether this host serves with links of its own. */
	isServing(): boolean;
	/** Called when this host has lost its links to all servers, or has regained some. */
	onDetachedChanged(): void;
	onRequest(received: ReceivedRequest): void;
};

/** How a host without links to servers serves through its peers, and serves theirs. */
export type Forwarding = {
	readonly serverLinks: ServerLinkMonitor;
	readonly forwarder: PeerForwarder;
	readonly listener: ForwardedRequestListener;
};

/**
 * Creates the components with which hosts serve for each other.
 *
 * @param options - The host's dependencies, state and callbacks.
 * @returns The components.
 */
export function createForwarding(options: ForwardingOptions): Forwarding {
	const {clusterState, connections, dependencies: {settings, log, metrics, random, now}} = options;
	return {
		serverLinks: new ServerLinkMonitor({
			clusterState,
			log,
			metrics,
			random,
			now,
			canConnect: async (server, openTime) => connections.canConnect(server, openTime),
			onChanged(isDetached) {
				if (isDetached) {
					connections.closeAllIdle();
				}

				options.onDetachedChanged();
			},
		}),
		forwarder: new PeerForwarder({
			description: settings.description, random, metrics, now, listServing: () => clusterState.hosts.listServing(now()),
		}),
		listener: new ForwardedRequestListener({
			inbound: options.inbound,
			log,
			now,
			bodyLimit: () => clusterState.configuration?.limits.bodyBytes ?? defaultClientLimits.bodyBytes,
			isServing: () => options.isServing(),
			onRequest(received) {
				options.onRequest(received);
			},
		}),
	};
}
