import {
	type HeldRequest, type ReturnState, type ServiceDemand, AdmissionController, describeLevel, otherWorkspaces, usesDifferentRanks,
} from '@lacewingpoint/routing';
import type {
	Logger, Metrics, Milliseconds, RandomSource,
} from '@lacewingpoint/shared';
import type {ClusterState} from '../state/cluster-state.js';
import {spreadRetryAfter} from './retry-after.js';

/** The levels are computed anew after this time: announcements of peers arrive at about this interval. */
const updateInterval: Milliseconds = 50;

/** Restrictions of a service are logged at most once in this time. */
const logInterval: Milliseconds = 1000;

const controllerOptions = {
	ratePeriod: 1000, refusalTime: 150, capacityPeriod: 10_000, unusedTime: 100,
};

export type HostAdmissionOptions = {
	/** Whether the deployment asks for one order of waiting. */
	readonly sharesWaitingOrder?: boolean | undefined;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	/** @returns The requests in this host's queues that wait for capacity, by service. */
	listWaiting(): ReadonlyMap<string, readonly HeldRequest[]>;
};

/**
 * Applies the order of waiting that all hosts share to the requests of this host. In force where the
 * deployment asks for it, while the configuration has requests of different ranks compete for a service.
 */
export class HostAdmission {
	readonly #clusterState: ClusterState;
	readonly #options: HostAdmissionOptions;
	readonly #controller = new AdmissionController(controllerOptions);
	#configurationVersion = -1;
	#isInForce = false;
	#weights: ReadonlyMap<string, number> = new Map();
	#otherWeight = 1;
	#serviceNames: ReadonlySet<string> = new Set();
	#updatedAt = Number.NEGATIVE_INFINITY;
	#loggedAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param clusterState - The configuration and the demand that peers have announced.
	 * @param options - Clock, logs, and the queues of this host.
	 */
	constructor(clusterState: ClusterState, options: HostAdmissionOptions) {
		this.#clusterState = clusterState;
		this.#options = options;
		clusterState.demand.setLocalSource(() => this.isInForce ? this.#controller.localDemand(options.listWaiting(), options.now()) : new Map<string, ServiceDemand>());
	}

	/** Whether the configuration calls for one order of waiting over all hosts. */
	get isInForce(): boolean {
		const {configuration} = this.#clusterState;
		if (configuration !== undefined && configuration.version !== this.#configurationVersion) {
			this.#configurationVersion = configuration.version;
			this.#isInForce = this.#options.sharesWaitingOrder === true && usesDifferentRanks(configuration);
			const limits = (configuration.workspaces ?? []).filter(({unitsPerSecond}) => unitsPerSecond > 0).map(({name, unitsPerSecond}) => [name, unitsPerSecond] as const);
			const sum = limits.reduce((total, [, limit]) => total + limit, 0);
			this.#weights = new Map([...limits, [otherWorkspaces, Math.max(sum, 1)]]);
			this.#serviceNames = new Set(configuration.services.map(({name}) => name));
			this.#otherWeight = limits.length > 0 ? sum / limits.length : 1;
		}

		return this.#isInForce;
	}

	/**
	 * Measures a request in the unit of its service's capacity.
	 *
	 * @param service - Name of its service.
	 * @param promptTokens - The tokens of its prompt; `undefined` if it is no generation.
	 * @returns Prompt tokens for model servers; one for other servers, whose work does not depend on them.
	 */
	sizeOf(service: string, promptTokens: number | undefined): number {
		const countsTokens = !this.isInForce || this.#clusterState.configuration?.services.some(({name, engine}) => name === service && engine !== undefined) === true;
		return countsTokens ? promptTokens ?? 1 : 1;
	}

	/**
	 * Records a request that has arrived.
	 *
	 * @param service - Name of its service.
	 * @param request - The request.
	 */
	recordArrival(service: string, request: HeldRequest): void {
		if (this.isInForce) {
			this.#controller.recordArrival(service, request, this.#options.now());
		}
	}

	/**
	 * Records a request that is sent to a server.
	 *
	 * @param service - Name of its service.
	 * @param request - The request.
	 * @param fingerprint - Hash of its content and workspace.
	 */
	recordSent(service: string, request: HeldRequest, fingerprint: number): void {
		if (this.isInForce) {
			this.#controller.recordAdmitted(service, request, this.#options.now());
			this.#clusterState.returningClients.forget(fingerprint);
		}
	}

	/**
	 * Tells whether a request was refused before, by any host.
	 *
	 * @param fingerprint - Hash of the request's content and workspace.
	 * @returns Whether its client has come back after the retry-after.
	 */
	returnStateOf(fingerprint: number): ReturnState {
		return this.isInForce ? this.#clusterState.returningClients.classify(fingerprint, this.#options.now()) : 'first';
	}

	/**
	 * Determines the place of a request in the order of waiting.
	 *
	 * @param service - Name of its service.
	 * @param request - The request.
	 * @returns The admission level; lower ones are served first.
	 */
	classify(service: string, request: HeldRequest): number {
		return this.#controller.classify(service, request, this.#options.now());
	}

	/**
	 * Tells whether a request may be sent to a server now.
	 *
	 * @param service - Name of its service.
	 * @param level - Its admission level.
	 * @returns Whether no request that goes before it waits on any host for the same capacity.
	 */
	admits(service: string, level: number): boolean {
		this.update();
		return this.#controller.admits(service, level, this.#options.now());
	}

	/**
	 * Estimates the wait from what waits on all hosts.
	 *
	 * @param service - Name of the service.
	 * @param request - The request.
	 * @returns The expected wait; `undefined` if it cannot be told.
	 */
	estimateWait(service: string, request: HeldRequest): Milliseconds | undefined {
		return this.isInForce ? this.#controller.estimateWait(service, this.classify(service, request), request.size) : undefined;
	}

	/**
	 * Records whether a server has capacity for a request that is held back.
	 *
	 * @param service - Name of the service.
	 * @param hasCapacity - Whether a server has capacity.
	 */
	recordHeldCapacity(service: string, hasCapacity: boolean): void {
		this.#controller.recordHeldCapacity(service, hasCapacity, this.#options.now());
	}

	/**
	 * Records a refusal for lack of capacity, so that more urgent requests that were turned away hold back others, and that the client
	 * goes first when it returns.
	 *
	 * @param service - Name of the service.
	 * @param request - The request.
	 * @param fingerprint - Hash of its content and workspace.
	 * @param wait - The expected wait.
	 * @param remainingTime - The remaining time of the request.
	 * @returns The retry-after, spread so that refused clients do not return at the same time.
	 */
	refuse(service: string, request: HeldRequest, fingerprint: number, wait: Milliseconds, remainingTime: Milliseconds): Milliseconds {
		const {metrics, random, now} = this.#options;
		const level = this.classify(service, request);
		const retryAfter = spreadRetryAfter(wait, remainingTime, random.next());
		this.#controller.recordRefused(service, level, now());
		this.#clusterState.returningClients.recordRefusal(fingerprint, retryAfter, now());
		metrics.incrementCounter('admission_refusals', {level: describeLevel(level)});
		return retryAfter;
	}

	/** Computes the levels anew from the demand of all hosts, if they are too old. */
	update(): void {
		const now = this.#options.now();
		if (!this.isInForce || now - this.#updatedAt < updateInterval) {
			return;
		}

		this.#updatedAt = now;
		const demand = new Map([...this.#clusterState.demand.sum(() => true, now)].filter(([service]) => this.#serviceNames.has(service)));
		this.#controller.update(demand, workspace => this.#weights.get(workspace) ?? this.#otherWeight, now);
		const [restricted] = this.#controller.listRestricted();
		if (restricted !== undefined && now - this.#loggedAt >= logInterval) {
			this.#loggedAt = now;
			const [service] = restricted;
			this.#options.log.info('admission', {service, level: this.describeLevel(service)});
		}
	}

	/**
	 * Names the admission level of a service.
	 *
	 * @param service - Name of the service.
	 * @returns The rank and the step within it; `open` while no request waits.
	 */
	describeLevel(service: string): string {
		return describeLevel(this.#controller.levelOf(service));
	}

	/** @returns The lowest rank that waits at any service, over all hosts; -1 if none waits. */
	waitingRank(): number {
		const ranks = [...this.#controller.listRestricted().values()];
		return ranks.length === 0 ? -1 : Math.min(...ranks);
	}

	/**
	 * Tells whether requests that go before another one wait on any host.
	 *
	 * @param service - Name of the service.
	 * @param level - The admission level of the request.
	 * @returns Whether it is admitted only to capacity that they leave unused.
	 */
	isHeldBack(service: string, level: number): boolean {
		return level > this.#controller.levelOf(service);
	}
}
