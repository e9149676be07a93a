import type {ServerEntry, Service} from '@lacewingpoint/routing';
import type {Milliseconds, RandomSource} from '@lacewingpoint/shared';
import type {ClusterState} from '../state/cluster-state.js';
import type {PlacementRequest} from './placement-request.js';

/** A further condition on the servers that may get a request. */
export type ServerConstraint = {
	/**
	 * Tells whether a server may get a request.
	 *
	 * @param entry - The server.
	 * @param placementRequest - The request.
	 * @returns False if it must not be sent there.
	 */
	permits(entry: ServerEntry, placementRequest: PlacementRequest): boolean;
};

export type ServerFilterOptions = {
	readonly hostName: string;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	readonly constraints: readonly ServerConstraint[];
};

/** Tells which servers may get a request at present, and which of them have room. */
export class ServerFilter {
	readonly #clusterState: ClusterState;
	readonly #options: ServerFilterOptions;

	/**
	 * @param clusterState - The servers as this host knows them.
	 * @param options - This host's name and clock, and further conditions.
	 */
	constructor(clusterState: ClusterState, options: ServerFilterOptions) {
		this.#clusterState = clusterState;
		this.#options = options;
	}

	/**
	 * Tells whether a server may get a request, with or without room.
	 *
	 * @param entry - A server of the request's service that is not draining.
	 * @param placementRequest - The request.
	 * @param service - Its service; `undefined` if the configuration has none of this name.
	 * @returns Whether it may.
	 */
	isUsable(entry: ServerEntry, placementRequest: PlacementRequest, service: Service | undefined): boolean {
		const now = this.#options.now();
		return !placementRequest.excludedServers.has(entry.id)
			&& (placementRequest.requiredVersion === undefined || (entry.softwareVersion ?? '') === placementRequest.requiredVersion)
			&& !this.#clusterState.serverNotices.isLeaving(entry)
			&& this.#clusterState.health.evaluateStatus(entry.id, now) !== 'paused'
			&& (service?.engine === undefined || !this.#clusterState.weightsTracker.isLoading(entry.id, now))
			&& this.#options.constraints.every(constraint => constraint.permits(entry, placementRequest));
	}

	/**
	 * Tells whether a server has a slot for a request.
	 *
	 * @param entry - The server.
	 * @returns Whether the requests of all hosts leave room.
	 */
	hasCapacity(entry: ServerEntry): boolean {
		const {loads, learnedCapacity, brittleServers, hosts} = this.#clusterState;
		const {hostName} = this.#options;
		const now = this.#options.now();
		const totalRequests = loads.totalLoad(entry.id, now).requests;
		if (totalRequests >= learnedCapacity.limit(entry, now)) {
			return false;
		}

		return !brittleServers.isBrittle(entry, now) || brittleServers.mayTake({
			server: entry,
			ownRequests: loads.localLoad(entry.id).requests,
			totalRequests,
			hostName,
			peerNames: hosts.listServing(now).map(({name}) => name).filter(name => name !== hostName),
		}, now);
	}

	/**
	 * Tells how long a server wants no request, because it asked for a pause or named a limit.
	 *
	 * @param entry - The server.
	 * @returns The time; 0 if it takes requests.
	 */
	waitTime(entry: ServerEntry): Milliseconds {
		const now = this.#options.now();
		const pausedUntil = this.#clusterState.serverNotices.pausedUntil(entry, now);
		return pausedUntil === undefined ? this.#clusterState.serverLimits.waitTime(entry, now, this.#options.random) : pausedUntil - now;
	}

	/**
	 * Tells whether this host does not reach some servers of a service, so that a peer may have more of them.
	 *
	 * @param service - Name of the service.
	 * @returns Whether a server is paused because it could not be reached or has stalled.
	 */
	hasUnreachableServer(service: string): boolean {
		const {servers, health} = this.#clusterState;
		return servers.listAvailable(service).some(({id}) => health.evaluateStatus(id, this.#options.now()) === 'paused');
	}

	/**
	 * Tells whether a server may still get requests, after it was chosen.
	 *
	 * @param entry - The server.
	 * @returns False if the same process is no longer listed, is draining or has said that it is leaving.
	 */
	isAvailable(entry: ServerEntry): boolean {
		const {servers, serverNotices} = this.#clusterState;
		return servers.isAvailable(entry) && !serverNotices.isLeaving(entry);
	}
}
