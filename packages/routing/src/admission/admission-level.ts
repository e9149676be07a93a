import {type Milliseconds, millisecondsPerSecond} from '@lacewingpoint/shared';
import type {ServiceDemand} from './demand.js';
import type {ReturnState} from './returning-clients.js';

/**
 * The order of admission within a rank.
 *
 * - `overdue`: larger than others of its rank, which have passed it for a long time.
 * - `returning`: was refused and has come back after the retry-after.
 * - `timely`: can still be answered within its objective.
 * - `late`: waits for longer than its objective allows.
 * - `excess`: of a workspace that gets more than its fair share, or repeated before its retry-after.
 */
const steps = ['overdue', 'returning', 'timely', 'late', 'excess'] as const;

export type AdmissionStep = (typeof steps)[number];

/** Every request is admitted while no other one waits. */
export const openLevel = Number.POSITIVE_INFINITY;

/** A workspace counts as exceeding its share from this multiple of it, so that one near its share does not change sides all the time. */
const excessFactor = 1.05;

/** Requests that wait for this part of their queue time are overdue if smaller ones pass them. */
const overdueShare = 0.5;

/** A request is large compared with those admitted from this multiple of their mean size. */
const largeFactor = 1.5;

/** A request that waits, as far as its order depends on it. */
export type WaitingRequest = {
	readonly rank: number;
	readonly size: number;
	readonly enqueuedAt: Milliseconds;
	readonly expiresAt: Milliseconds;
	/** When its response ceases to be on time. */
	readonly timelyUntil: Milliseconds;
	readonly returnState: ReturnState;
};

/**
 * Combines a rank and a step of the order within it.
 *
 * @param rank - The rank; 0 is served first.
 * @param step - The step.
 * @returns The admission level; lower ones are served first.
 */
export function toLevel(rank: number, step: AdmissionStep): number {
	return (rank * steps.length) + steps.indexOf(step);
}

/**
 * Names an admission level for logs.
 *
 * @param level - The level.
 * @returns Its rank and step.
 */
export function describeLevel(level: number): string {
	return level === openLevel ? 'open' : `${Math.floor(level / steps.length)} ${steps[level % steps.length]!}`;
}

/**
 * Returns the rank of an admission level.
 *
 * @param level - The level.
 * @returns The rank.
 */
export function rankOf(level: number): number {
	return Math.floor(level / steps.length);
}

/**
 * Determines the place of a request in the order of waiting that all hosts share.
 *
 * @param request - The request.
 * @param isExcess - Whether its workspace gets more than its fair share.
 * @param meanSize - The mean size of the requests of its rank that are admitted; 0 if none are.
 * @param now - Current monotonic time.
 * @returns The admission level.
 */
export function classifyRequest(request: WaitingRequest, isExcess: boolean, meanSize: number, now: Milliseconds): number {
	const {rank, size, enqueuedAt, expiresAt} = request;
	if (isExcess || request.returnState === 'early') {
		return toLevel(rank, 'excess');
	}

	if (meanSize > 0 && size >= meanSize * largeFactor && now - enqueuedAt >= (expiresAt - enqueuedAt) * overdueShare) {
		return toLevel(rank, 'overdue');
	}

	if (request.returnState === 'returning') {
		return toLevel(rank, 'returning');
	}

	return toLevel(rank, now < request.timelyUntil ? 'timely' : 'late');
}

/**
 * Tells whether a workspace exceeds its share.
 *
 * @param admitted - What servers have taken of its requests, per second.
 * @param share - Its fair share per second; `undefined` if it is not known.
 * @returns Whether its requests yield to those of other workspaces.
 */
export function exceedsShare(admitted: number, share: number | undefined): boolean {
	return share !== undefined && admitted > share * excessFactor;
}

/**
 * Computes the admission level: the lowest one at which a request waits on any host. Meant for load in which some hosts have queues
 * while others would still admit what is less urgent.
 *
 * @param demand - The demand of all hosts.
 * @returns Requests up to this level are admitted.
 */
export function computeAdmissionLevel({waiting}: ServiceDemand): number {
	let lowest = openLevel;
	for (const [level, {requests}] of waiting) {
		if (requests >= 0.5 && level < lowest) {
			lowest = level;
		}
	}

	return lowest;
}

/**
 * Estimates the wait of a request from what waits before it on all hosts.
 *
 * @param demand - The demand of all hosts.
 * @param level - The request's level.
 * @param size - The request's size.
 * @param capacity - The size that servers take per second.
 * @returns The expected wait; `undefined` while servers take nothing, so that it cannot be told.
 */
export function estimateWait({waiting}: ServiceDemand, level: number, size: number, capacity: number): Milliseconds | undefined {
	let ahead = size;
	for (const [otherLevel, demand] of waiting) {
		ahead += otherLevel <= level ? demand.size : 0;
	}

	return capacity > 0 ? ahead * millisecondsPerSecond / capacity : undefined;
}
