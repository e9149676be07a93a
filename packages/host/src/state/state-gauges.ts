import type {Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from './cluster-state.js';

/** A model server counts as slow from this multiple of the time that is expected of its service. */
const slowServer = 1.5;

/**
 * Reads the metrics that describe what a host knows of the fleet.
 *
 * @param clusterState - The cluster state.
 * @param now - Current monotonic time.
 * @returns The values by metric.
 */
export function readStateGauges(clusterState: ClusterState, now: Milliseconds): Readonly<Record<string, number>> {
	const entries = clusterState.servers.listEntries().map(({entry}) => entry);
	return {
		configuration_version: clusterState.configuration?.version ?? 0,
		configuration_age_milliseconds: Math.round(clusterState.configurationAge()),
		store_revision: clusterState.revision,
		unreadable_entries: clusterState.unreadableEntries,
		hosts_serving: clusterState.hosts.listServing(now).length,
		servers: entries.length,
		servers_leaving: entries.filter(entry => clusterState.serverNotices.isLeaving(entry)).length,
		servers_limited: entries.filter(entry => clusterState.serverLimits.findRequestsPerSecond(entry) !== undefined).length,
		servers_slow: entries.filter(entry => clusterState.engineObservations.slowness(entry.service, entry.id, now) >= slowServer).length,
		servers_paused: entries.filter(entry => clusterState.serverNotices.pausedUntil(entry, now) !== undefined).length,
	};
}
