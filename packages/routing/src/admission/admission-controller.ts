import type {Milliseconds} from '@lacewingpoint/shared';
import type {Configuration} from '../configuration.js';
import {
	type WaitingRequest, classifyRequest, computeAdmissionLevel, estimateWait, exceedsShare, openLevel, rankOf,
} from './admission-level.js';
import {
	type Demand, type ServiceDemand, type Usage, DecayingRate, noServiceDemand,
} from './demand.js';
import {divideCapacity} from './fair-share.js';

export type AdmissionControllerOptions = {
	/** Period of the decaying rates. */
	readonly ratePeriod: Milliseconds;
	/** How long a refused request counts as waiting: it would have used the next capacity. */
	readonly refusalTime: Milliseconds;
	/** The highest rate at which servers have taken requests counts as their capacity and is forgotten with this period. */
	readonly capacityPeriod: Milliseconds;
	/** Capacity that those ahead have left unused for this long is open to the others. */
	readonly unusedTime: Milliseconds;
};

/** A request, as far as its admission depends on it. */
export type AdmissionRequest = {readonly workspace: string; readonly rank: number; readonly size: number};

/** A request that waits for capacity. */
export type HeldRequest = AdmissionRequest & WaitingRequest;

type Rates = {readonly offered: DecayingRate; readonly admitted: DecayingRate; readonly requests: DecayingRate};

type Refusal = {readonly level: number; readonly until: Milliseconds};

/** What a host knows about one service. */
type ServiceState = {
	readonly rates: Map<number, Map<string, Rates>>;
	refusals: Refusal[];
	demand: ServiceDemand;
	shares: ReadonlyMap<number, ReadonlyMap<string, number>>;
	/** Mean size of the requests that this host has sent, by rank. */
	meanSizes: ReadonlyMap<number, number>;
	level: number;
	capacity: number;
	updatedAt: Milliseconds;
	/** Since when there has been capacity that no request up to the level has used. */
	unusedSince: Milliseconds | undefined;
};

/**
 * Computes from the demand of all hosts up to which admission level requests are sent to servers, so that all hosts keep one order
 * of waiting without a coordinator.
 */
export class AdmissionController {
	readonly #options: AdmissionControllerOptions;
	readonly #services = new Map<string, ServiceState>();

	constructor(options: AdmissionControllerOptions) {
		this.#options = options;
	}

	/**
	 * Counts a request that has arrived.
	 *
	 * @param service - Name of the service.
	 * @param request - The request.
	 * @param now - Current monotonic time.
	 */
	recordArrival(service: string, request: AdmissionRequest, now: Milliseconds): void {
		this.#ratesOf(service, request).offered.add(request.size, now);
	}

	/**
	 * Counts a request that was sent to a server.
	 *
	 * @param service - Name of the service.
	 * @param request - The request.
	 * @param now - Current monotonic time.
	 */
	recordAdmitted(service: string, request: AdmissionRequest, now: Milliseconds): void {
		const rates = this.#ratesOf(service, request);
		rates.admitted.add(request.size, now);
		rates.requests.add(1, now);
	}

	/**
	 * Counts a request that was refused for lack of capacity.
	 *
	 * @param service - Name of the service.
	 * @param level - Its admission level.
	 * @param now - Current monotonic time.
	 */
	recordRefused(service: string, level: number, now: Milliseconds): void {
		this.#stateOf(service).refusals.push({level, until: now + this.#options.refusalTime});
	}

	/**
	 * Summarizes what this host announces.
	 *
	 * @param queues - The requests that wait for capacity, by service.
	 * @param now - Current monotonic time.
	 * @returns This host's demand.
	 */
	localDemand(queues: ReadonlyMap<string, readonly HeldRequest[]>, now: Milliseconds): Demand {
		const demand = new Map<string, ServiceDemand>();
		for (const [service, state] of this.#services) {
			const waiting = new Map<number, {requests: number; size: number}>();
			const add = (level: number, size: number) => {
				const known = waiting.get(level) ?? {requests: 0, size: 0};
				waiting.set(level, {requests: known.requests + 1, size: known.size + size});
			};

			for (const request of queues.get(service) ?? []) {
				add(this.classify(service, request, now), request.size);
			}

			state.refusals = state.refusals.filter(({until}) => until > now);
			for (const {level} of state.refusals) {
				add(level, 0);
			}

			demand.set(service, {waiting, usage: readUsage(state, now)});
		}

		return demand;
	}

	/**
	 * Computes the levels and shares anew.
	 *
	 * @param fleetDemand - The demand of all hosts, this one included.
	 * @param weightOf - Returns the weight of a workspace in the division of capacity.
	 * @param now - Current monotonic time.
	 */
	update(fleetDemand: Demand, weightOf: (workspace: string) => number, now: Milliseconds): void {
		for (const service of fleetDemand.keys()) {
			this.#stateOf(service);
		}

		for (const [service, state] of this.#services) {
			const demand = fleetDemand.get(service) ?? noServiceDemand;
			const admitted = sumAdmitted(demand);
			const decay = Math.exp(-Math.max(now - state.updatedAt, 0) / this.#options.capacityPeriod);
			state.capacity = Math.max(admitted, state.capacity * decay);
			state.updatedAt = now;
			state.demand = demand;
			state.level = computeAdmissionLevel(demand);
			state.meanSizes = new Map([...state.rates].map(([rank, rates]) => [rank, meanSize(rates, now)]));
			state.shares = new Map([...demand.usage].map(([rank, workspaces]) => [rank, divideRank(workspaces, weightOf)]));
			if (state.level === openLevel) {
				state.unusedSince = undefined;
			}
		}
	}

	/**
	 * Determines the place of a request in the order of waiting.
	 *
	 * @param service - Name of the service.
	 * @param request - The request.
	 * @param now - Current monotonic time.
	 * @returns The admission level.
	 */
	classify(service: string, request: HeldRequest, now: Milliseconds): number {
		const state = this.#stateOf(service);
		const usage = state.demand.usage.get(request.rank)?.get(request.workspace);
		const isExcess = usage !== undefined && exceedsShare(usage.admitted, state.shares.get(request.rank)?.get(request.workspace));
		return classifyRequest(request, isExcess, state.meanSizes.get(request.rank) ?? 0, now);
	}

	/**
	 * Tells whether a request may be sent to a server now.
	 *
	 * @param service - Name of the service.
	 * @param level - The request's admission level.
	 * @param now - Current monotonic time.
	 * @returns False if a request with a lower level waits on any host, and has not left capacity unused.
	 */
	admits(service: string, level: number, now: Milliseconds): boolean {
		const {level: admitted, unusedSince} = this.#stateOf(service);
		return level <= admitted || (unusedSince !== undefined && now - unusedSince >= this.#options.unusedTime);
	}

	/**
	 * Records whether a server has capacity for a request that is held back. Those ahead may wait for something else, or a peer may
	 * announce a demand that it does not have; capacity must not stay unused for it.
	 *
	 * @param service - Name of the service.
	 * @param hasCapacity - Whether a server has capacity.
	 * @param now - Current monotonic time.
	 */
	recordHeldCapacity(service: string, hasCapacity: boolean, now: Milliseconds): void {
		const state = this.#stateOf(service);
		state.unusedSince = hasCapacity ? state.unusedSince ?? now : undefined;
	}

	/**
	 * Returns the admission level.
	 *
	 * @param service - Name of the service.
	 * @returns The lowest level at which a request waits on any host; infinite if none waits.
	 */
	levelOf(service: string): number {
		return this.#stateOf(service).level;
	}

	/**
	 * Estimates the wait of a request from what waits before it on all hosts.
	 *
	 * @param service - Name of the service.
	 * @param level - The request's admission level.
	 * @param size - The request's size.
	 * @returns The expected wait; `undefined` if it cannot be told.
	 */
	estimateWait(service: string, level: number, size: number): Milliseconds | undefined {
		const {demand, capacity} = this.#stateOf(service);
		return estimateWait(demand, level, size, capacity);
	}

	/** @returns The names of the services with an admission level that holds requests back, and that level's rank. */
	listRestricted(): ReadonlyMap<string, number> {
		return new Map([...this.#services].filter(([, {level}]) => level !== openLevel).map(([service, {level}]) => [service, rankOf(level)]));
	}

	#ratesOf(service: string, {rank, workspace}: AdmissionRequest): Rates {
		const {rates} = this.#stateOf(service);
		const byWorkspace = rates.get(rank) ?? new Map<string, Rates>();
		rates.set(rank, byWorkspace);
		const known = byWorkspace.get(workspace);
		if (known !== undefined) {
			return known;
		}

		const {ratePeriod} = this.#options;
		const created = {offered: new DecayingRate(ratePeriod), admitted: new DecayingRate(ratePeriod), requests: new DecayingRate(ratePeriod)};
		byWorkspace.set(workspace, created);
		return created;
	}

	#stateOf(service: string): ServiceState {
		const known = this.#services.get(service);
		if (known !== undefined) {
			return known;
		}

		const created: ServiceState = {
			rates: new Map(), refusals: [], demand: noServiceDemand, shares: new Map(), meanSizes: new Map(), level: openLevel, capacity: 0, updatedAt: 0, unusedSince: undefined,
		};
		this.#services.set(service, created);
		return created;
	}
}

/**
 * Tells whether requests of different ranks may compete for a service, so that their order matters.
 *
 * @param configuration - The operators' configuration.
 * @returns Whether routes to one service differ in rank, or a workspace has a rank of its own.
 */
export function usesDifferentRanks({routes, workspaces}: Configuration): boolean {
	const ranks = new Map<string, number>();
	for (const {rank, services} of routes) {
		for (const {service} of services) {
			if ((ranks.get(service) ?? rank) !== rank) {
				return true;
			}

			ranks.set(service, rank);
		}
	}

	return workspaces?.some(workspace => workspace.rank !== undefined && routes.some(({rank}) => rank !== workspace.rank)) ?? false;
}

function readUsage({rates}: ServiceState, now: Milliseconds): ServiceDemand['usage'] {
	return new Map([...rates].map(([rank, workspaces]) => {
		const usage = new Map<string, Usage>();
		for (const [workspace, {offered, admitted}] of workspaces) {
			const entry = {offered: Math.round(offered.perSecond(now)), admitted: Math.round(admitted.perSecond(now))};
			if (entry.offered + entry.admitted > 0) {
				usage.set(workspace, entry);
			} else {
				workspaces.delete(workspace);
			}
		}

		return [rank, usage] as const;
	}));
}

function divideRank(workspaces: ReadonlyMap<string, Usage>, weightOf: (workspace: string) => number): ReadonlyMap<string, number> {
	let capacity = 0;
	const claims = new Map<string, {offered: number; weight: number}>();
	for (const [workspace, {offered, admitted}] of workspaces) {
		capacity += admitted;
		claims.set(workspace, {offered: Math.max(offered, admitted), weight: weightOf(workspace)});
	}

	return divideCapacity(claims, capacity);
}

function sumAdmitted({usage}: ServiceDemand): number {
	let sum = 0;
	for (const workspaces of usage.values()) {
		for (const {admitted} of workspaces.values()) {
			sum += admitted;
		}
	}

	return sum;
}

function meanSize(workspaces: ReadonlyMap<string, Rates>, now: Milliseconds): number {
	let size = 0;
	let requests = 0;
	for (const {admitted, requests: count} of workspaces.values()) {
		size += admitted.perSecond(now);
		requests += count.perSecond(now);
	}

	return requests > 0 ? size / requests : 0;
}
