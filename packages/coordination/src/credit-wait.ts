import {type Milliseconds, type Tokens, millisecondsPerSecond} from '@lacewingpoint/shared';
import type {CreditTable} from './credit-table.js';

export type CreditWaitOptions = {
	/** A request waits at most this long for refill; one that would wait longer is refused at once. */
	readonly longestWait: Milliseconds;
	/** The same while the buckets of a host that has just started are still filling. */
	readonly longestWaitAfterStart: Milliseconds;
};

/** Spending of this span is borrowed ahead, so that an active workspace is not asked for at every request. */
const borrowedAhead: Milliseconds = 150;

/** After this time a started host's buckets have had the time to fill. */
const fillingTime: Milliseconds = 10_000;

/**
 * Tells how long the refill of the whole fleet takes to bring an amount.
 *
 * @param credit - This host's credit.
 * @param workspace - The workspace.
 * @param missing - The amount.
 * @returns The time.
 */
export function refillTime(credit: CreditTable, workspace: string, missing: Tokens): Milliseconds {
	const rate = credit.limitOf(workspace)?.tokensPerSecond ?? 0;
	return Math.max(missing, 0) * millisecondsPerSecond / Math.max(rate, 1);
}

/**
 * Tells how much to ask peers for.
 *
 * @param credit - This host's credit.
 * @param workspace - The workspace.
 * @param missing - What the request at hand is short of.
 * @returns That and what is likely to be spent in the next moment.
 */
export function amountToBorrow(credit: CreditTable, workspace: string, missing: Tokens): Tokens {
	return missing + (credit.spendingOf(workspace) * borrowedAhead / millisecondsPerSecond);
}

/**
 * Tells how long a request may wait for refill. All hosts may have restarted together, their credit lost: then requests
 * within their rate wait for it rather than be refused.
 *
 * @param options - The limits.
 * @param sinceStart - The time since this host started.
 * @returns The longest wait.
 */
export function longestCreditWait(options: CreditWaitOptions, sinceStart: Milliseconds): Milliseconds {
	return sinceStart < fillingTime ? options.longestWaitAfterStart : options.longestWait;
}
