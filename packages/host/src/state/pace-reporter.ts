import type {PaceReport} from '@lacewingpoint/routing';
import {type Milliseconds, millisecondsPerSecond} from '@lacewingpoint/shared';
import {noEvents} from '../members/gossip-events.js';
import type {HostGossip} from '../members/host-gossip.js';
import type {ClusterState} from './cluster-state.js';

/** The number of servers in one report. */
const reportedServers = 4;

/** The number of servers that all hosts together report in a second, so that the bytes received by a host do not depend on the size of the fleet. */
const reportsPerSecond = 10;

/** Reports to the peers what this host has observed of the paces of model servers, the less often the more hosts there are. */
export class PaceReporter {
	readonly #clusterState: ClusterState;
	readonly #gossip: HostGossip;
	readonly #hostName: string;
	#reportedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	/**
	 * @param clusterState - What this host has observed.
	 * @param gossip - Announces the reports.
	 * @param hostName - This host's name.
	 */
	constructor(clusterState: ClusterState, gossip: HostGossip, hostName: string) {
		this.#hostName = hostName;
		this.#clusterState = clusterState;
		this.#gossip = gossip;
	}

	/**
	 * Reports what has been observed, if it is time to.
	 *
	 * @param now - Current monotonic time.
	 */
	review(now: Milliseconds): void {
		const interval = this.#gossip.hostCount * reportedServers * millisecondsPerSecond / reportsPerSecond;
		if (now - this.#reportedAt >= interval) {
			this.#reportedAt = now;
			this.#gossip.forwardEvents({...noEvents, paces: this.#clusterState.engineObservations.takePaceReports(reportedServers)}, this.#hostName, 'all');
		}
	}
}

/**
 * Merges reports of another host.
 *
 * @param clusterState - The servers, and what has been observed of them.
 * @param reports - One summary for each server.
 * @param now - Current monotonic time.
 * @returns The reports on servers that this host knows, to be forwarded.
 */
export function mergePaces(clusterState: ClusterState, reports: readonly PaceReport[], now: Milliseconds): PaceReport[] {
	return reports.filter(report => {
		const entry = clusterState.servers.findEntry(report.server);
		return entry !== undefined && clusterState.engineObservations.mergePaceReport(entry.service, report, now);
	});
}
