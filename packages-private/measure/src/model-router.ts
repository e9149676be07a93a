import {type Epoch, CreditTable, LenderEstimates} from '@lacewingpoint/coordination';
import {
	type AdmissionOutcome, type Placement, type PlacementRequest, Admission, PrefixIndex, ServerTable, tokensPerBlock, uncachedTokens,
} from '@lacewingpoint/routing';
import type {EventQueue} from './event-queue.js';
import type {CachePublication, ModelServer} from './model-server.js';
import {type PolicyName, createPolicy} from './policies.js';
import type {WorkRequest, WorkloadShape} from './workload.js';

const model = 'model';
const weightsVersion = 'v1';
const networkDelay = 0.5;
const loanLifetime = 400;
const loanMargin = 200;

/** A request under way at a router. */
export type RouterWork = {
	readonly request: WorkRequest;
	readonly arrivedAt: number;
	readonly avoided: Set<string>;
	readonly onFirstToken: (cachedBlocks: number) => void;
	/** Called when the request is refused; the engines have not run it. */
	readonly onRefused: () => void;
};

/** What a router of the model runs with. */
export type ModelRouterOptions = {
	readonly id: string;
	readonly policy: PolicyName;
	readonly shape: WorkloadShape;
	readonly epoch: Epoch;
	readonly limits: ReadonlyMap<string, number>;
	readonly burstSeconds: number;
};

/** A router in event time: the same tables and decisions as the daemon's. */
export class ModelRouter {
	readonly id: string;
	readonly credit: CreditTable;
	readonly lenders = new LenderEstimates();
	readonly #servers = new ServerTable({
		cellSize: 16, initialTokensPerSecond: 20_000, firstBackoff: 500, longestBackoff: 8000,
	});

	readonly #prefixes: PrefixIndex;
	readonly #admission: Admission<RouterWork>;
	readonly #events: EventQueue;
	readonly #models: ReadonlyMap<string, ModelServer>;

	constructor(options: ModelRouterOptions, models: ReadonlyMap<string, ModelServer>, events: EventQueue) {
		this.id = options.id;
		this.#models = models;
		this.#events = events;
		this.#prefixes = new PrefixIndex({blocksPerServer: options.shape.cacheBlocks, lifetime: 60_000});
		const isOurs = ['lacewingpoint', 'with events', 'oracle'].includes(options.policy);
		this.#admission = new Admission(this.#servers, createPolicy(options.policy, this.#prefixes, models), {
			// The baselines send at once; only this router lets requests wait in fair order.
			backlog: isOurs ? 400 : Number.POSITIVE_INFINITY,
			longestWait: 2000,
		});
		this.credit = new CreditTable({
			self: options.id, homeHosts: 9, loanLifetime, loanMargin, longestGap: 1000,
		}, events.now);
		this.credit.setEpoch(options.epoch);
		for (const [workspace, rate] of options.limits) {
			this.credit.setLimit(workspace, {tokensPerSecond: rate, burstTokens: rate * options.burstSeconds});
		}

		this.#servers.configure([...models.keys()].map(id => ({
			id, address: id, failureDomain: `domain-${Number(id.slice(1)) % 3}`, serves: model, isDrained: false,
		})));
		this.pollStates();
	}

	/** The cell that serves a workspace. */
	cellOf(workspace: string): string {
		return this.#servers.cells(model).rank(workspace)[0]!;
	}

	/** Reads every server's state, as the daemon does every other second. */
	pollStates(): void {
		for (const server of this.#models.values()) {
			if (server.isUp) {
				this.#takeReport(server);
			} else {
				this.#servers.noteFailure(server.id, this.#events.now);
			}
		}
	}

	applyEvent(server: string, change: CachePublication): void {
		this.#prefixes.apply(server, change, this.#events.now);
	}

	submit(work: RouterWork): void {
		const outcome = this.#admission.offer(work, {
			workspace: work.request.workspace, weight: 1, priority: work.request.isHigh ? 'high' : 'normal', model, placement: placementRequest(work),
		}, this.#events.now);
		if (outcome !== undefined) {
			this.#follow(work, outcome);
		}
	}

	/** Places what waits, as the daemon does each tick. */
	pump(): void {
		for (const {item, outcome} of this.#admission.pump(this.#events.now, () => false)) {
			this.#follow(item, outcome);
		}
	}

	#follow(work: RouterWork, outcome: AdmissionOutcome): void {
		if (outcome.type === 'placed') {
			this.#dispatch(work, outcome.placement);
		} else {
			work.onRefused();
		}
	}

	#dispatch(work: RouterWork, placement: Placement): void {
		const server = this.#models.get(placement.server)!;
		const request = placementRequest(work);
		const reserved = uncachedTokens(request, placement);
		const sentAt = this.#events.now;
		this.#prefixes.learn(server.id, String(server.incarnation), work.request.blocks, sentAt);
		this.#events.after(networkDelay, () => {
			server.submit({
				request: work.request,
				onFirstToken: cached => {
					this.#events.after(networkDelay, () => {
						this.#servers.notePrefilled(server.id, reserved);
						this.#servers.noteSpeed(server.id, placement.queuedTokens, (work.request.blocks.length - cached) * tokensPerBlock, this.#events.now - sentAt);
						this.#takeReport(server);
						work.onFirstToken(cached);
						this.pump();
					});
				},
				onLost: () => {
					this.#events.after(networkDelay, () => {
						this.#retry(work, server, reserved);
					});
				},
			});
		});
	}

	#retry(work: RouterWork, server: ModelServer, reserved: number): void {
		this.#servers.notePrefilled(server.id, reserved);
		this.#servers.noteFailure(server.id, this.#events.now);
		this.#prefixes.forget(server.id);
		work.avoided.add(server.id);
		this.submit(work);
	}

	#takeReport(server: ModelServer): void {
		const incarnation = String(server.incarnation);
		this.#servers.report(server.id, {
			incarnation, weightsVersion, queuedTokens: server.queuedTokens, runningRequests: 0,
		}, this.#events.now);
		this.#prefixes.observe(server.id, incarnation, weightsVersion);
	}
}

function placementRequest({request, avoided}: RouterWork): PlacementRequest {
	return {
		promptTokens: request.blocks.length * tokensPerBlock, homeKey: request.homeKey, avoided, blocksFor: () => request.blocks,
	};
}
