import {type Milliseconds, type Tokens, millisecondsPerSecond} from '@lacewingpoint/shared';

/** A workspace's rate and burst over all hosts together. */
export type CreditLimit = {readonly tokensPerSecond: Tokens; readonly burstTokens: Tokens};

/** Credit that a peer gave; it carries its own deadline on the borrower's clock. */
export type Loan = {readonly amount: Tokens; readonly expiresAt: Milliseconds};

/** Credit that was given away; the cap stays lowered by it until it must have been spent or dropped. */
export type Lent = {readonly amount: Tokens; readonly until: Milliseconds};

/** What a request was charged and could still get back. */
export type Charge = {
	readonly workspace: string;
	readonly amount: Tokens;
	/** The least room below the cap since the charge: a bucket charged less would have overflowed beyond it. */
	refundable: Tokens;
};

/** One workspace's part of the bucket on this host. */
export type CreditAccount = {
	limit: CreditLimit;
	level: Tokens;
	loans: Loan[];
	lent: Lent[];
	/** What is spent here on average; says how much to borrow ahead. */
	spentPerSecond: Tokens;
	spentSinceTick: Tokens;
	mintedAt: Milliseconds;
	/** When spending was last averaged. */
	averagedAt: Milliseconds;
	readonly charges: Set<Charge>;
};

/** The time over which spending is averaged. */
const spendingMemory: Milliseconds = 2000;

/**
 * Takes an amount that is there; loans go first, since they expire.
 *
 * @param account - The account.
 * @param amount - The amount.
 */
export function spend(account: CreditAccount, amount: Tokens): void {
	let left = amount;
	const kept: Loan[] = [];
	for (const loan of account.loans) {
		const taken = Math.min(loan.amount, left);
		left -= taken;
		if (loan.amount > taken) {
			kept.push({...loan, amount: loan.amount - taken});
		}
	}

	account.loans = kept;
	account.level -= left;
}

/**
 * Averages what was spent since it was last averaged.
 *
 * @param account - The account.
 * @param now - The present moment.
 */
export function noteSpending(account: CreditAccount, now: Milliseconds): void {
	const elapsed = now - account.averagedAt;
	account.averagedAt = now;
	const weight = Math.min(elapsed / spendingMemory, 1);
	const current = elapsed > 0 ? account.spentSinceTick * millisecondsPerSecond / elapsed : 0;
	account.spentPerSecond += weight * (current - account.spentPerSecond);
	account.spentSinceTick = 0;
}

/**
 * Adds up amounts.
 *
 * @param items - What has an amount.
 * @returns Their sum.
 */
export function sumOf(items: ReadonlyArray<{readonly amount: Tokens}>): Tokens {
	let sum = 0;
	for (const item of items) {
		sum += item.amount;
	}

	return sum;
}
