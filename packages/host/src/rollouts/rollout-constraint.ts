import type {RolloutTraffic, ServerEntry} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {PlacementRequest} from '../placement/placement-request.js';
import type {ServerConstraint} from '../placement/server-filter.js';
import type {ClusterState} from '../state/cluster-state.js';

/** Keeps requests to the software versions that rollouts allow. Without a rollout of a service, servers of all its versions serve. */
export class RolloutConstraint implements ServerConstraint {
	readonly #clusterState: ClusterState;
	readonly #now: () => Milliseconds;
	/** The request checked last: the servers of one request are checked one after the other. */
	#latest: {readonly placementRequest: PlacementRequest; readonly traffic: RolloutTraffic} | undefined;

	/**
	 * @param clusterState - The rollouts and servers as this host knows them.
	 * @param now - Monotonic clock.
	 */
	constructor(clusterState: ClusterState, now: () => Milliseconds) {
		this.#clusterState = clusterState;
		this.#now = now;
	}

	permits(entry: ServerEntry, placementRequest: PlacementRequest): boolean {
		const {rollouts} = this.#clusterState;
		return !rollouts.list().has(entry.service) || rollouts.permits(entry.service, entry.softwareVersion, this.#describe(placementRequest), this.#now());
	}

	#describe(placementRequest: PlacementRequest): RolloutTraffic {
		if (this.#latest?.placementRequest !== placementRequest) {
			const {servers, rollouts} = this.#clusterState;
			const {service, request, requiredVersion, excludedServers} = placementRequest;
			const versions = new Set(servers.listAvailable(service).map(({softwareVersion}) => softwareVersion ?? ''));
			const target = rollouts.list().get(service)?.request.target;
			this.#latest = {
				placementRequest,
				traffic: {
					requestId: request.id,
					requiredVersion,
					hasTriedTarget: [...excludedServers].some(id => servers.findEntry(id)?.softwareVersion === target),
					hasServer: condition => [...versions].some(version => condition(version)),
				},
			};
		}

		return this.#latest.traffic;
	}
}
