import {setTimeout as pause} from 'node:timers/promises';
import {type RolloutServer, type ServerEntry, WeightsRollout} from '@lacewingpoint/routing';
import type {Disposable, Logger, Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from '../state/cluster-state.js';
import type {HostGossip} from '../members/host-gossip.js';
import type {ModelServerClient} from './model-server-client.js';
import type {WeightsLease} from './weights-lease.js';

/** Time between two checks of the lease and of the rollout's progress. */
const controlInterval: Milliseconds = 100;

/** An order without effect is repeated after this time. An order without a response may still take effect up to about ten seconds later. */
const orderExpiry: Milliseconds = 8000;

/** Time for the peers to receive that a server is about to load weights, and to stop sending requests to it. */
const gossipPropagationTime: Milliseconds = 30;

/** Time between fetches of the weights report from a server while it loads weights. */
const pollInterval: Milliseconds = 100;

/** A server that is not loading after this time has not accepted the order; its reports lag by a few hundred milliseconds. */
const loadStartTimeout: Milliseconds = 1200;

/** How long a server gets no further orders after a failed one. */
const failureBackoff: Milliseconds = 500;

/** A server and the version that it has to load, either now (`isDue`) or next. */
type RolloutStep = {
	readonly entry: ServerEntry;
	readonly rolloutServer: RolloutServer;
	readonly model: string;
	readonly version: number;
	readonly isDue: boolean;
};

export type WeightsControllerOptions = {
	readonly hostName: string;
	readonly weightsLease: WeightsLease;
	readonly modelServerClient: ModelServerClient;
	readonly clusterState: ClusterState;
	readonly hostGossip: HostGossip;
	readonly log: Logger;
	readonly now: () => Milliseconds;
};

/** Updates the model servers to the target versions of their weights while this host holds the weights lease. */
export class WeightsController implements Disposable {
	readonly #options: WeightsControllerOptions;
	readonly #rollout = new WeightsRollout({concurrentShare: 0.25, orderExpiry});
	readonly #pendingOrders = new Set<string>();
	readonly #loadingServers = new Set<string>();
	readonly #backoffUntil = new Map<string, Milliseconds>();
	#isStopped = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: WeightsControllerOptions) {
		this.#options = options;
	}

	/** Whether this host holds the lease and has servers to update now or updates in progress. */
	get hasPendingUpdates(): boolean {
		return this.#options.weightsLease.term !== undefined && (this.#pendingOrders.size > 0 || this.#loadingServers.size > 0 || this.#planSteps().some(step => step.isDue));
	}

	/** Starts the periodic check of the lease and the rollout. */
	start(): void {
		const {weightsLease} = this.#options;
		this.#timer = setInterval(() => {
			weightsLease.renewOrExpire();
			if (weightsLease.mayGiveOrders) {
				this.#processSteps();
			}
		}, controlInterval);
	}

	/** Stops giving orders and releases the lease. */
	async release(): Promise<void> {
		this.dispose();
		await this.#options.weightsLease.release();
	}

	dispose(): void {
		this.#isStopped = true;
		clearInterval(this.#timer);
	}

	#processSteps(): void {
		for (const step of this.#planSteps()) {
			if (step.isDue) {
				void this.#orderLoad(step);
			} else {
				this.#options.clusterState.weightsTracker.recordRolloutDraining(step.entry.id, this.#options.now());
				this.#options.hostGossip.announceRolloutDraining(step.entry.id);
			}
		}
	}

	#planSteps(): RolloutStep[] {
		const {clusterState, now} = this.#options;
		return [...clusterState.weightsTracker.targetVersions().keys()].flatMap(model => {
			const targetVersion = clusterState.weightsTracker.latestTarget(model)?.version ?? 0;
			const entries = clusterState.servers.listEntries().map(({entry}) => entry).filter(entry => model in entry.weights && !entry.isDraining && !clusterState.serverNotices.isLeaving(entry));
			const servers = entries.map(entry => this.#describeServer(entry, model));
			const {due, upcoming} = this.#rollout.plan(targetVersion, servers, now());
			return [...due, ...upcoming].map(rolloutServer => ({
				entry: entries.find(candidate => candidate.id === rolloutServer.server)!, rolloutServer, model, version: targetVersion, isDue: due.includes(rolloutServer),
			}));
		});
	}

	#describeServer(entry: ServerEntry, model: string): RolloutServer {
		const {clusterState, now} = this.#options;
		return {
			server: entry.id,
			incarnation: entry.incarnation,
			weightsVersion: clusterState.observedVersion(entry, model),
			requests: clusterState.loads.totalLoad(entry.id, now()).requests,
			isLoadingWeights: this.#loadingServers.has(entry.id),
			isRolloutDraining: clusterState.weightsTracker.isRolloutDraining(entry.id, now()),
			isAvailable: !this.#pendingOrders.has(entry.id) && clusterState.health.evaluateStatus(entry.id, now()) !== 'paused' && now() >= (this.#backoffUntil.get(entry.id) ?? 0),
		};
	}

	async #orderLoad(step: RolloutStep): Promise<void> {
		const {entry, rolloutServer, model, version} = step;
		const {
			clusterState, hostGossip, weightsLease, modelServerClient, hostName, log, now,
		} = this.#options;
		this.#pendingOrders.add(entry.id);
		this.#rollout.recordOrder(rolloutServer, version, now());
		clusterState.weightsTracker.recordLoading(entry.id, now() + orderExpiry, now());
		hostGossip.announceLoading(entry.id, orderExpiry);
		await pause(gossipPropagationTime);
		const report = await modelServerClient.fetchReport(entry);
		const term = weightsLease.term;
		if (report === undefined || term === undefined || !weightsLease.mayGiveOrders || this.#isStopped) {
			// Other servers go first, so that an unreachable one does not block the rollout.
			this.#rollout.clearOrder(entry.id);
			if (report === undefined) {
				clusterState.health.recordUnreachable(entry.id, now());
			}

			this.#handleOrderFailure(entry, report === undefined ? 'server returned no valid report' : 'lease not confirmed or controller stopped');
			return;
		}

		if ((report.weights[model] ?? 0) >= version) {
			this.#pendingOrders.delete(entry.id);
			this.#recordLoadedVersion(entry, model, report.weights[model]!);
			return;
		}

		if (report.isLoading) {
			this.#pendingOrders.delete(entry.id);
			void this.#awaitLoad(entry, model, version);
			return;
		}

		weightsLease.recordOrder();
		const status = await modelServerClient.sendOrder(entry, {
			model, version, holder: hostName, fencingToken: term, expectedOrders: report.acceptedOrders,
		});
		this.#pendingOrders.delete(entry.id);
		log.info('order', {
			server: entry.id, model, version, term, expected: report.acceptedOrders, status: status ?? 'none', requests: rolloutServer.requests,
			age: Math.round(clusterState.weightsTracker.outdatedTime(model, version - 1, now())),
		});
		if (status !== undefined && status !== 202 && status !== 200) {
			this.#rollout.clearOrder(entry.id);
			this.#handleOrderFailure(entry, `server refused the order with status ${status}`);
			return;
		}

		void this.#awaitLoad(entry, model, version);
	}

	#handleOrderFailure(entry: ServerEntry, reason: string): void {
		const {clusterState, now, log} = this.#options;
		this.#pendingOrders.delete(entry.id);
		this.#backoffUntil.set(entry.id, now() + failureBackoff);
		clusterState.weightsTracker.recordLoading(entry.id, 0, now());
		this.#options.hostGossip.announceLoading(entry.id, 0);
		log.info('order-failed', {server: entry.id, reason});
	}

	async #awaitLoad(entry: ServerEntry, model: string, version: number): Promise<void> {
		if (this.#loadingServers.has(entry.id)) {
			return;
		}

		const {clusterState, modelServerClient, now} = this.#options;
		const deadline = now() + orderExpiry;
		this.#loadingServers.add(entry.id);
		let notLoadingSince: Milliseconds | undefined;
		while (now() < deadline && !this.#isStopped && clusterState.servers.findEntry(entry.id)?.incarnation === entry.incarnation) {
			await pause(pollInterval);
			const report = await modelServerClient.fetchReport(entry);
			const observedVersion = report?.weights[model] ?? 0;
			if (observedVersion >= version) {
				this.#loadingServers.delete(entry.id);
				this.#recordLoadedVersion(entry, model, observedVersion);
				return;
			}

			notLoadingSince = report === undefined || report.isLoading ? undefined : notLoadingSince ?? now();
			if (notLoadingSince !== undefined && now() - notLoadingSince > loadStartTimeout) {
				break;
			}
		}

		this.#loadingServers.delete(entry.id);
		// A stopping host leaves the loading servers to the next lease holder.
		if (!this.#isStopped) {
			this.#rollout.clearOrder(entry.id);
			this.#handleOrderFailure(entry, `server did not load version ${version}`);
		}
	}

	#recordLoadedVersion(entry: ServerEntry, model: string, version: number): void {
		this.#rollout.clearOrder(entry.id);
		this.#options.clusterState.recordObservedVersion(entry.id, model, version);
		this.#options.clusterState.weightsTracker.recordLoading(entry.id, 0, this.#options.now());
		this.#options.hostGossip.announceObservedVersion(entry.id, model, version);
		this.#options.hostGossip.announceLoading(entry.id, 0);
	}
}
