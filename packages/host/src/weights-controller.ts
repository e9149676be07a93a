import {setTimeout as pause} from 'node:timers/promises';
import {type RolloutServer, type ServerEntry, WeightsRollout} from '@lacewingpoint/routing';
import type {Disposable, Logger, Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from './cluster-state.js';
import type {HostGossip} from './host-gossip.js';
import type {ModelServerClient} from './model-server-client.js';
import type {WeightsLease} from './weights-lease.js';

const tickInterval: Milliseconds = 100;

/** An order without effect is given again after this long: unanswered ones may act for some ten seconds. */
const orderExpiry: Milliseconds = 8000;

/** Time for the peers to stop sending to a server that is about to load weights. */
const noticeTime: Milliseconds = 30;

/** How often a server that loads weights is asked whether it has them. */
const pollInterval: Milliseconds = 100;

/** A server that has not begun to load after this long has not taken the order; its reports lag by some hundred milliseconds. */
const idleTime: Milliseconds = 1200;

/** A server that did not answer a call of the roll-out is left alone this long. */
const failurePause: Milliseconds = 500;

/** A server and the weights that it is to load, now or next. */
type RolloutStep = {
	readonly entry: ServerEntry;
	readonly row: RolloutServer;
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

/** Brings the model servers to the named weights, while this host holds the lease that allows it to give orders. */
export class WeightsController implements Disposable {
	readonly #options: WeightsControllerOptions;
	readonly #rollout = new WeightsRollout({concurrentShare: 0.25, orderExpiry});
	readonly #underway = new Set<string>();
	readonly #loading = new Set<string>();
	readonly #pausedUntil = new Map<string, Milliseconds>();
	#isStopped = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: WeightsControllerOptions) {
		this.#options = options;
	}

	/** Whether this host has servers still to bring to the named weights. */
	get hasPendingUpdates(): boolean {
		return this.#options.weightsLease.term !== undefined && (this.#underway.size > 0 || this.#loading.size > 0 || this.#steps().some(step => step.isDue));
	}

	/** Starts the rounds. */
	start(): void {
		const {weightsLease: lease} = this.#options;
		this.#timer = setInterval(() => {
			lease.renewOrExpire();
			if (lease.mayGiveOrders) {
				this.#orderDue();
			}
		}, tickInterval);
	}

	/** Stops, and gives the lease back. */
	async release(): Promise<void> {
		this.dispose();
		await this.#options.weightsLease.release();
	}

	dispose(): void {
		this.#isStopped = true;
		clearInterval(this.#timer);
	}

	#orderDue(): void {
		for (const step of this.#steps()) {
			if (step.isDue) {
				void this.#order(step);
			} else {
				this.#options.clusterState.weightsTracker.recordRolloutDraining(step.entry.id, this.#options.now());
				this.#options.hostGossip.announceRolloutDraining(step.entry.id);
			}
		}
	}

	#steps(): RolloutStep[] {
		const {clusterState: beliefs, now} = this.#options;
		return [...beliefs.weightsTracker.targetVersions().keys()].flatMap(model => {
			const wanted = beliefs.weightsTracker.latestTarget(model)?.version ?? 0;
			const entries = beliefs.servers.listEntries().map(({entry}) => entry).filter(entry => model in entry.weights && !entry.isDraining);
			const rows = entries.map(entry => this.#row(entry, model));
			const {due, upcoming} = this.#rollout.plan(wanted, rows, now());
			return [...due, ...upcoming].map(row => ({
				entry: entries.find(candidate => candidate.id === row.server)!, row, model, version: wanted, isDue: due.includes(row),
			}));
		});
	}

	#row(entry: ServerEntry, model: string): RolloutServer {
		const {clusterState: beliefs, now} = this.#options;
		return {
			server: entry.id,
			incarnation: entry.incarnation,
			weightsVersion: beliefs.observedVersion(entry, model),
			requests: beliefs.loads.totalLoad(entry.id, now()).requests,
			isLoadingWeights: this.#loading.has(entry.id),
			isRolloutDraining: beliefs.weightsTracker.isRolloutDraining(entry.id, now()),
			isAvailable: !this.#underway.has(entry.id) && beliefs.health.evaluateStatus(entry.id, now()) !== 'paused' && now() >= (this.#pausedUntil.get(entry.id) ?? 0),
		};
	}

	async #order(step: RolloutStep): Promise<void> {
		const {entry, row, model, version} = step;
		const {clusterState: beliefs, hostGossip: links, weightsLease: lease, modelServerClient: calls, hostName: name, log, now} = this.#options;
		this.#underway.add(entry.id);
		this.#rollout.recordOrder(row, version, now());
		beliefs.weightsTracker.recordLoading(entry.id, now() + orderExpiry, now());
		links.announceLoading(entry.id, orderExpiry);
		await pause(noticeTime);
		const report = await calls.fetchReport(entry);
		const term = lease.term;
		if (report === undefined || term === undefined || !lease.mayGiveOrders || this.#isStopped) {
			// Others take its turn: a silent server must not hold up the roll-out.
			this.#rollout.clearOrder(entry.id);
			if (report === undefined) {
				beliefs.health.recordUnreachable(entry.id, now());
			}

			this.#orderFailed(entry, report === undefined ? 'no report' : 'the lease is not held for certain');
			return;
		}

		if ((report.weights[model] ?? 0) >= version) {
			this.#underway.delete(entry.id);
			this.#noteWeights(entry, model, report.weights[model]!);
			return;
		}

		if (report.isLoading) {
			this.#underway.delete(entry.id);
			void this.#poll(entry, model, version);
			return;
		}

		lease.recordOrder();
		const status = await calls.sendOrder(entry, {
			model, version, holder: name, fencingToken: term, expectedOrders: report.orders,
		});
		this.#underway.delete(entry.id);
		log.info('order', {
			server: entry.id, model, version, term, expected: report.orders, status: status ?? 'none', requests: row.requests, age: Math.round(beliefs.weightsTracker.outdatedTime(model, version - 1, now())),
		});
		if (status !== undefined && status !== 202 && status !== 200) {
			this.#rollout.clearOrder(entry.id);
			this.#orderFailed(entry, `status ${status}`);
			return;
		}

		void this.#poll(entry, model, version);
	}

	#orderFailed(entry: ServerEntry, reason: string): void {
		const {clusterState: beliefs, now, log} = this.#options;
		this.#underway.delete(entry.id);
		this.#pausedUntil.set(entry.id, now() + failurePause);
		beliefs.weightsTracker.recordLoading(entry.id, 0, now());
		this.#options.hostGossip.announceLoading(entry.id, 0);
		log.info('order-failed', {server: entry.id, reason});
	}

	async #poll(entry: ServerEntry, model: string, version: number): Promise<void> {
		if (this.#loading.has(entry.id)) {
			return;
		}

		const {clusterState: beliefs, modelServerClient: calls, now} = this.#options;
		const until = now() + orderExpiry;
		this.#loading.add(entry.id);
		let idleSince: Milliseconds | undefined;
		while (now() < until && !this.#isStopped && beliefs.servers.findEntry(entry.id)?.incarnation === entry.incarnation) {
			await pause(pollInterval);
			const report = await calls.fetchReport(entry);
			const seen = report?.weights[model] ?? 0;
			if (seen >= version) {
				this.#loading.delete(entry.id);
				this.#noteWeights(entry, model, seen);
				return;
			}

			idleSince = report === undefined || report.isLoading ? undefined : idleSince ?? now();
			if (idleSince !== undefined && now() - idleSince > idleTime) {
				break;
			}
		}

		this.#loading.delete(entry.id);
		// A host that stops leaves the servers that load to the next holder.
		if (!this.#isStopped) {
			this.#rollout.clearOrder(entry.id);
			this.#orderFailed(entry, 'the order had no effect');
		}
	}

	#noteWeights(entry: ServerEntry, model: string, version: number): void {
		this.#rollout.clearOrder(entry.id);
		this.#options.clusterState.recordObservedVersion(entry.id, model, version);
		this.#options.clusterState.weightsTracker.recordLoading(entry.id, 0, this.#options.now());
		this.#options.hostGossip.announceObservedVersion(entry.id, model, version);
		this.#options.hostGossip.announceLoading(entry.id, 0);
	}
}
