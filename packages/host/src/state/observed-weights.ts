import type {ServerEntry} from '@lacewingpoint/routing';
import type {StateChange} from '../ports.js';
import type {ClusterState} from './cluster-state.js';

type ObservedWeights = StateChange & {readonly type: 'observed-weights'};

/**
 * Lists what is known of the weights of servers beyond their entries. An entry lags behind the orders, and is not written again while
 * its server is cut off from the store.
 *
 * @param clusterState - The cluster state.
 * @param servers - The registered servers.
 * @returns One change for each server that runs newer weights than its entry lists.
 */
export function listObservedWeights(clusterState: ClusterState, servers: ReadonlyArray<{readonly entry: ServerEntry}>): ObservedWeights[] {
	return servers.flatMap(({entry}) => {
		const observed = Object.keys(entry.weights).map(model => [model, clusterState.observedVersion(entry, model)] as const);
		const newer = observed.filter(([model, version]) => version > entry.weights[model]!);
		return newer.length === 0
			? []
			: [{
				type: 'observed-weights', revision: 0, server: entry.id, incarnation: entry.incarnation, weights: Object.fromEntries(newer),
			}];
	});
}

/**
 * Applies what a peer has observed of the weights of a server, unless the server has another incarnation by now.
 *
 * @param clusterState - The cluster state.
 * @param change - The observed versions.
 */
export function applyObservedWeights(clusterState: ClusterState, change: ObservedWeights): void {
	if (clusterState.servers.findEntry(change.server)?.incarnation !== change.incarnation) {
		return;
	}

	for (const [model, version] of Object.entries(change.weights)) {
		clusterState.recordObservedVersion(change.server, model, version);
	}
}
