import type {Milliseconds} from '@lacewingpoint/shared';
import {type AnswerCount, type RolloutState, decodeOutcome} from './rollout.js';
import {type VersionComparisonOptions, VersionComparison, defaultVersionComparisonOptions} from './version-comparison.js';

export type RolloutDecisionOptions = {
	/** The largest share of the service's requests that a bad version may get within the time budget, in addition to `exposureSlack`. */
	readonly exposureShare: number;
	readonly exposureSlack: number;
	/** Time after which every host has the latest share, or has fallen to none. */
	readonly grantLifetime: Milliseconds;
	readonly comparison?: VersionComparisonOptions;
};

/** How far a rollout has got. `beganAt` is the time from the request until servers of the target version were there. */
export type ReachedStep = {readonly step: number; readonly beganAt: Milliseconds | undefined};

/** What the decision is made from, over all hosts. */
export type RolloutObservation = {
	readonly now: Milliseconds;
	/** Time since the request. */
	readonly elapsed: Milliseconds;
	readonly timeBudget: Milliseconds;
	/** Slots of the available servers of the target version, and of the others. */
	readonly targetSlots: number;
	readonly baselineSlots: number;
	/** Requests that run at servers of other versions, draining ones included. */
	readonly baselineRequests: number;
	/** The answers since the last observation. */
	readonly answers: readonly AnswerCount[];
};

export type RolloutVerdict = {
	readonly state: RolloutState;
	/** Share of the requests that go to the target version. */
	readonly share: number;
	readonly step: number;
	/** What the state or a lower share is due to, for the log. */
	readonly reason: string;
};

/** When each step begins, as a share of the time that was left when the first server of the target version was there. The rest is for the end of running requests. */
const stepBegins = [0, 0.52, 0.6, 0.68] as const;

/** Share of each step, as a multiple of the exposure share; all requests from the last step on. */
const stepExposures = [0.4, 2, 4] as const;

const largestTrialShare = 0.5;

/** The rate of requests is known after this time. */
const shortestObservation: Milliseconds = 500;

/** How long late answers may follow after requests are no longer sent. */
const slowTailTime: Milliseconds = 3000;

/** Part of the exposure slack that is used on purpose; the rest is for what hosts send before they learn of a lower share. */
const usedSlack = 0.5;

/** A successor that is late makes up for it by shorter steps, down to this share of the time. */
const shortestStep = 0.04;

/** Answers on each busy route without which a step is not left early. */
const fewestAnswers = 12;

/** A route with at least this share of the requests is busy. */
const busyShare = 0.05;

/** From this share of the time on, too few answers no longer hold a version back that has shown no fault. */
const patience = 0.65;

/** The other versions have to be without requests for this long before they are given up. */
const emptyTime: Milliseconds = 500;

/** Slots of the target version that suffice for all requests, as a share of those of the others. */
const sufficientSlots = 0.9;

/** The index of the step at which all requests go to the target version. */
export const finalStep = stepBegins.length - 1;

/**
 * Decides how a rollout goes on: few requests for half of the time, so that faults that show late, under load or on one route are seen
 * while the exposure limit holds; then two steps of load within that limit; then all requests, and `completed` once the other servers have
 * none left. `reverted` as soon as the target is worse than the others at the same time.
 */
export class RolloutDecision {
	readonly #options: RolloutDecisionOptions;
	readonly #comparison: VersionComparison;
	readonly #requestsByRoute = new Map<string, number>();
	#step: number;
	#requests = 0;
	#targetRequests = 0;
	/** `elapsed` when servers of the target version were first there. */
	#beganAt: Milliseconds | undefined;
	#stepBeganAt: Milliseconds | undefined;
	#emptySince: Milliseconds | undefined;
	/** The first observation, which may sum up what an earlier decider has seen. */
	#first: {readonly elapsed: Milliseconds; readonly requests: number} | undefined;
	#lastShare = 0;
	/** After the share has fallen, the answers that are still to come are the slow ones. */
	#onlySlowUntil = Number.NEGATIVE_INFINITY;
	#verdict: RolloutVerdict | undefined;

	/**
	 * @param options - The exposure limit.
	 * @param reached - How far an earlier decider has got; absent for a new rollout.
	 */
	constructor(options: RolloutDecisionOptions, reached?: ReachedStep) {
		this.#options = options;
		this.#step = Math.min(reached?.step ?? 0, finalStep);
		this.#beganAt = reached?.beganAt;
		this.#comparison = new VersionComparison(options.comparison ?? defaultVersionComparisonOptions);
	}

	/** Requests sent since the rollout began, as far as this decider knows. */
	get requests(): {readonly all: number; readonly target: number} {
		return {all: this.#requests, target: this.#targetRequests};
	}

	/** How far the rollout has got, for a successor. */
	get reached(): ReachedStep {
		return {step: this.#step, beganAt: this.#beganAt};
	}

	/** Answers of the target version, and the bad ones among them. */
	get answers(): {readonly answers: number; readonly bad: number} {
		return this.#comparison.targetTally;
	}

	/**
	 * Decides on the next share.
	 *
	 * @param observation - What has happened since the last call.
	 * @returns The verdict; a final one is returned by all later calls.
	 */
	decide(observation: RolloutObservation): RolloutVerdict {
		this.#count(observation.answers);
		this.#first ??= {elapsed: observation.elapsed, requests: this.#requests};
		this.#comparison.add(observation.answers, observation.now, observation.now < this.#onlySlowUntil);
		if (this.#verdict !== undefined) {
			return this.#verdict;
		}

		const worse = this.#comparison.findWorse();
		if (worse !== undefined) {
			this.#verdict = {
				state: 'reverted', share: 0, step: this.#step, reason: worse === 'all' ? 'worse than the other version' : `worse than the other version on route ${worse}`,
			};
			return this.#verdict;
		}

		if (observation.targetSlots === 0) {
			this.#stepBeganAt = undefined;
			this.#emptySince = undefined;
			return this.#running(0, 'no server of the target version');
		}

		this.#beganAt ??= observation.elapsed;
		this.#stepBeganAt ??= observation.now;
		this.#advance(observation);
		const verdict = this.#step === finalStep ? this.#finish(observation) : this.#try(observation);
		if (verdict.share < this.#lastShare / 2) {
			this.#onlySlowUntil = observation.now + slowTailTime;
		}

		this.#lastShare = verdict.share;
		return verdict;
	}

	#count(answers: readonly AnswerCount[]): void {
		for (const {route, side, outcome, count} of answers) {
			if (decodeOutcome(outcome).type === 'sent') {
				this.#requests += count;
				this.#targetRequests += side === 'target' ? count : 0;
				this.#requestsByRoute.set(route, (this.#requestsByRoute.get(route) ?? 0) + count);
			}
		}
	}

	#advance({now, elapsed, timeBudget, targetSlots, baselineSlots}: RolloutObservation): void {
		const next = this.#step + 1;
		if (next > finalStep) {
			return;
		}

		const longEnough = now - this.#stepBeganAt! >= shortestStep * this.#span(timeBudget);
		const isLate = elapsed >= this.#beganAt! + (patience * this.#span(timeBudget));
		const hasRoom = next < finalStep || targetSlots >= baselineSlots * sufficientSlots;
		const isDue = elapsed >= this.#beganAt! + (stepBegins[next]! * this.#span(timeBudget));
		if (isDue && longEnough && hasRoom && (isLate || this.#hasEnoughAnswers())) {
			this.#step = next;
			this.#stepBeganAt = now;
		}
	}

	#span(timeBudget: Milliseconds): Milliseconds {
		return Math.max(timeBudget - this.#beganAt!, timeBudget / 2);
	}

	#hasEnoughAnswers(): boolean {
		return [...this.#requestsByRoute].every(([route, requests]) => requests < busyShare * this.#requests || this.#comparison.routeTally(route).answers >= fewestAnswers);
	}

	#try({elapsed, timeBudget, targetSlots, baselineSlots}: RolloutObservation): RolloutVerdict {
		const {exposureShare, exposureSlack} = this.#options;
		const allowed = (exposureShare * this.#requests) + (usedSlack * exposureSlack);
		if (this.#targetRequests > allowed) {
			return this.#running(0, 'exposure limit reached');
		}

		const observedTime = elapsed - this.#first!.elapsed;
		const expected = Math.max((this.#requests - this.#first!.requests) * timeBudget / observedTime, 1);
		const ofSlack = observedTime < shortestObservation ? 0 : usedSlack * exposureSlack / expected;
		const planned = (stepExposures[this.#step]! * exposureShare) + ofSlack;
		const roomShare = targetSlots / Math.max(targetSlots + baselineSlots, 1);
		return this.#running(Math.min(planned, largestTrialShare, roomShare), 'trial');
	}

	#finish({now, baselineRequests}: RolloutObservation): RolloutVerdict {
		this.#emptySince = baselineRequests === 0 ? this.#emptySince ?? now : undefined;
		const isSettled = now - this.#stepBeganAt! >= this.#options.grantLifetime;
		if (isSettled && this.#emptySince !== undefined && now - this.#emptySince >= emptyTime) {
			this.#verdict = {
				state: 'completed', share: 1, step: finalStep, reason: 'as good as the other version',
			};
			return this.#verdict;
		}

		return this.#running(1, 'running requests end at the other version');
	}

	#running(share: number, reason: string): RolloutVerdict {
		return {
			state: 'running', share, step: this.#step, reason,
		};
	}
}
