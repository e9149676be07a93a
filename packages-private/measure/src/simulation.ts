import {
	type Charge, type Epoch, amountToBorrow, longestCreditWait, refillTime,
} from '@lacewingpoint/coordination';
import {placementOptions, rankEntryHosts, tokensPerBlock} from '@lacewingpoint/routing';
import {type RandomSource, createSeededRandom} from '@lacewingpoint/shared';
import {EventQueue} from './event-queue.js';
import {ModelRouter} from './model-router.js';
import {type CachePublication, ModelServer} from './model-server.js';
import type {PolicyName} from './policies.js';
import {type RunResult, RunRecord} from './run-record.js';
import {type WorkRequest, type WorkloadShape, Workload} from './workload.js';

/** What goes wrong half-way through a run. */
export const disturbances = ['none', 'hot shift', 'greedy workspace', 'engine crash', 'herd restart'] as const;

export type Disturbance = (typeof disturbances)[number];

export type RunOptions = {
	readonly shape: WorkloadShape;
	readonly policy: PolicyName;
	readonly requestsPerSecond: number;
	readonly disturbance: Disturbance;
	readonly seed: number;
	readonly seconds: number;
	/** Requests that arrive before this are not counted. */
	readonly warmUpSeconds: number;
};

const routerCount = 9;
const burstSeconds = 4;
/** A workspace's rate over what it usually sends. */
const rateHeadroom = 1.5;
const greedyFactor = 5;
const greedyWorkspace = 1;
const eventLag = 150;
const eventLossShare = 0.002;
const pollInterval = 2000;
const tickInterval = 20;
const askDelay = 2;
const creditWait = {longestWait: 1000, longestWaitAfterStart: 5000};
const crashTime = 5000;
const restartTime = 1000;
const millisecondsPerAnswerToken = 20;

/** One run of a workload under one policy, in event time. */
export class Simulation {
	readonly #options: RunOptions;
	readonly #events = new EventQueue();
	readonly #arrivals: RandomSource;
	readonly #losses: RandomSource;
	readonly #workload: Workload;
	readonly #servers = new Map<string, ModelServer>();
	readonly #routers: ModelRouter[] = [];
	readonly #epoch: Epoch;
	readonly #limits: ReadonlyMap<string, number>;
	readonly #record: RunRecord;
	readonly #fulfilled = new Set<number>();
	#areRoutersUp = true;
	#isGreedy = false;
	#routersStartedAt = 0;
	readonly #deferred: Array<() => void> = [];

	constructor(options: RunOptions) {
		this.#options = options;
		// Arrivals have a source of their own, so that every policy meets the same requests.
		this.#arrivals = createSeededRandom(options.seed);
		this.#losses = createSeededRandom(options.seed + 2);
		this.#workload = new Workload(options.shape, createSeededRandom(options.seed + 1));
		this.#epoch = {
			number: 1,
			hosts: Array.from({length: routerCount}, (_, index) => ({
				id: `r${index}`, failureDomain: `domain-${index % 3}`, callersAddress: `r${index}`, peerAddress: `r${index}`,
			})),
		};
		this.#limits = this.#computeLimits();
		this.#record = new RunRecord(options.warmUpSeconds * 1000, this.#limits, burstSeconds);
		for (let index = 0; index < options.shape.servers; index++) {
			const id = `s${index}`;
			this.#servers.set(id, new ModelServer(id, options.shape, this.#events, (server, change) => {
				this.#publish(server, change);
			}));
		}

		this.#startRouters();
	}

	/** @returns What was measured. */
	run(): RunResult {
		const end = this.#options.seconds * 1000;
		this.#scheduleArrivals();
		this.#repeat(pollInterval, () => {
			for (const router of this.#routers) {
				router.pollStates();
			}
		});
		this.#repeat(tickInterval, () => {
			for (const router of this.#routers) {
				router.credit.tick(this.#events.now, true);
				router.pump();
			}
		});
		this.#events.after((this.#options.warmUpSeconds * 1000) + ((end - (this.#options.warmUpSeconds * 1000)) / 3), () => {
			this.#disturb();
		});
		this.#events.run(end);
		let computedTokens = 0;
		for (const server of this.#servers.values()) {
			computedTokens += server.computedTokens;
		}

		return this.#record.result(computedTokens);
	}

	#computeLimits(): ReadonlyMap<string, number> {
		const {shape, requestsPerSecond} = this.#options;
		const blocks = shape.instructionBlocks + ((shape.shortestDocument + shape.longestDocument) / 2) + shape.caseBlocks;
		const tokens = (blocks * tokensPerBlock) + shape.answerTokens;
		return new Map(shape.workspaceShares.map((share, index) => [`workspace-${index}`, share * requestsPerSecond * tokens * rateHeadroom]));
	}

	#startRouters(): void {
		this.#routersStartedAt = this.#events.now;
		this.#routers.splice(0);
		for (const host of this.#epoch.hosts) {
			this.#routers.push(new ModelRouter({
				id: host.id, policy: this.#options.policy, shape: this.#options.shape, epoch: this.#epoch, limits: this.#limits, burstSeconds,
			}, this.#servers, this.#events));
		}
	}

	#repeat(interval: number, run: () => void): void {
		this.#events.after(interval, () => {
			run();
			this.#repeat(interval, run);
		});
	}

	#scheduleArrivals(): void {
		for (const [index, share] of this.#options.shape.workspaceShares.entries()) {
			this.#scheduleNext(index, share * this.#options.requestsPerSecond);
		}
	}

	#scheduleNext(index: number, perSecond: number): void {
		const factor = this.#isGreedy && index === greedyWorkspace ? greedyFactor * rateHeadroom : 1;
		const pause = -Math.log(1 - this.#arrivals.next()) * 1000 / (perSecond * factor);
		this.#events.after(pause, () => {
			this.#arrive(this.#workload.draw(index, placementOptions.homeBlocks));
			this.#scheduleNext(index, perSecond);
		});
	}

	#amountOf(request: WorkRequest): number {
		return (request.blocks.length * tokensPerBlock) + this.#options.shape.answerTokens;
	}

	#arrive(request: WorkRequest): void {
		this.#record.noteArrival(request, this.#events.now, this.#amountOf(request));
		this.#send(request, this.#events.now);
	}

	#send(request: WorkRequest, arrivedAt: number): void {
		if (!this.#areRoutersUp) {
			this.#deferred.push(() => {
				this.#send(request, arrivedAt);
			});
			return;
		}

		this.#charge(request, arrivedAt, this.#routerFor(request), this.#events.now);
	}

	#routerFor(request: WorkRequest): ModelRouter {
		const cell = this.#routers[0]!.cellOf(request.workspace);
		const [host] = rankEntryHosts({cell, failureDomain: `domain-${request.id % 3}`}, this.#epoch.hosts);
		return this.#routers.find(router => router.id === host!.id)!;
	}

	#charge(request: WorkRequest, arrivedAt: number, router: ModelRouter, askedAt: number): void {
		const now = this.#events.now;
		const outcome = router.credit.charge(request.workspace, this.#amountOf(request), now);
		if (outcome.type === 'charged') {
			this.#submit(request, arrivedAt, router, outcome.charge);
			return;
		}

		if (outcome.type === 'exceeds-burst') {
			this.#record.noteRefusal(request);
			return;
		}

		const missing = this.#borrow(request.workspace, router, outcome.missing);
		const wait = refillTime(router.credit, request.workspace, missing);
		if (now - askedAt + wait > longestCreditWait(creditWait, now - this.#routersStartedAt)) {
			this.#record.noteRefusal(request);
			return;
		}

		this.#events.after(Math.max(wait, askDelay), () => {
			this.#charge(request, arrivedAt, router, askedAt);
		});
	}

	#borrow(workspace: string, router: ModelRouter, missing: number): number {
		const now = this.#events.now;
		let left = amountToBorrow(router.credit, workspace, missing);
		const enough = left - missing;
		const others = this.#routers.filter(other => other !== router).map(other => other.id);
		for (const id of router.lenders.order(workspace, others, router.credit.limitOf(workspace)!, now)) {
			const lender = this.#routers.find(other => other.id === id)!;
			const amount = lender.credit.lend(workspace, left, now);
			router.credit.receive(workspace, amount, now);
			router.lenders.note(workspace, id, lender.credit.available(workspace, now), now);
			left -= amount;
			if (left <= enough) {
				break;
			}
		}

		return Math.max(left - enough, 0);
	}

	#submit(request: WorkRequest, arrivedAt: number, router: ModelRouter, charge: Charge): void {
		this.#events.after(this.#options.shape.answerTokens * millisecondsPerAnswerToken, () => {
			router.credit.settle(charge, charge.amount, this.#events.now);
		});
		router.submit({
			request,
			arrivedAt,
			avoided: new Set(),
			onFirstToken: cached => {
				if (!this.#fulfilled.has(request.id)) {
					this.#fulfilled.add(request.id);
					this.#record.noteFirstToken(request, arrivedAt, this.#events.now, cached);
				}
			},
			onRefused: () => {
				this.#record.noteRefusal(request);
			},
		});
	}

	#publish(server: ModelServer, change: CachePublication): void {
		if (this.#options.policy !== 'with events' || this.#losses.next() < eventLossShare) {
			return;
		}

		// Constant lag keeps the order of one server's events, as its stream does.
		this.#events.after(eventLag, () => {
			for (const router of this.#routers) {
				router.applyEvent(server.id, change);
			}
		});
	}

	#disturb(): void {
		switch (this.#options.disturbance) {
			case 'hot shift': {
				this.#workload.shiftHotDocuments();
				break;
			}

			case 'greedy workspace': {
				this.#isGreedy = true;
				break;
			}

			case 'engine crash': {
				const server = this.#servers.get('s1')!;
				server.crash();
				this.#events.after(crashTime, () => {
					server.restart();
				});
				break;
			}

			case 'herd restart': {
				this.#restartRouters();
				break;
			}

			case 'none': {
				break;
			}
		}
	}

	// What waits in a router that stops is sent again by its caller once one answers.
	#restartRouters(): void {
		this.#areRoutersUp = false;
		this.#events.after(restartTime, () => {
			this.#startRouters();
			this.#areRoutersUp = true;
			for (const send of this.#deferred.splice(0)) {
				send();
			}
		});
	}
}
