import {
	type Milliseconds, type Tokens, millisecondsPerSecond, rankByRendezvous,
} from '@lacewingpoint/shared';
import {
	type Charge, type CreditAccount, type CreditLimit, noteSpending, spend, sumOf,
} from './credit-account.js';
import type {Epoch} from './epoch.js';

export type CreditOptions = {
	readonly self: string;
	/** How many hosts mint a workspace's refill. */
	readonly homeHosts: number;
	/** Borrowed credit that is unspent this long after it was asked for is dropped. */
	readonly loanLifetime: Milliseconds;
	/** Added to the loan's lifetime before the lender's capacity comes back. */
	readonly loanMargin: Milliseconds;
	/** After a longer gap between ticks the refill of the gap is dropped. */
	readonly longestGap: Milliseconds;
};

/** How a request for credit went. */
export type ChargeOutcome
	= | {readonly type: 'charged'; readonly charge: Charge}
		| {readonly type: 'short'; readonly missing: Tokens}
		| {readonly type: 'exceeds-burst'};

/**
 * A host's part of every workspace's token bucket.
 * Each workspace's refill is minted once in the fleet, since the shares of its home hosts add up to at most one;
 * credit moves between hosts as loans that are deducted before they are sent. While a loan may be unspent, its lender's cap
 * stays lowered, so the stock of all hosts and messages together never exceeds the burst.
 */
export class CreditTable {
	readonly #options: CreditOptions;
	readonly #accounts = new Map<string, CreditAccount>();
	readonly #startedAt: Milliseconds;
	readonly #shares = new Map<string, number>();
	#epoch: Epoch | undefined;
	#tickedAt: Milliseconds;

	constructor(options: CreditOptions, startedAt: Milliseconds) {
		this.#options = options;
		this.#startedAt = startedAt;
		this.#tickedAt = startedAt;
	}

	/**
	 * Sets the limit of a workspace; without one it is forgotten.
	 *
	 * @param workspace - The workspace.
	 * @param limit - Its new limit.
	 */
	setLimit(workspace: string, limit: CreditLimit | undefined): void {
		const account = this.#accounts.get(workspace);
		if (limit === undefined) {
			this.#accounts.delete(workspace);
		} else if (account === undefined) {
			this.#accounts.set(workspace, {
				limit, level: 0, loans: [], lent: [], spentPerSecond: 0, spentSinceTick: 0, mintedAt: this.#tickedAt, averagedAt: this.#tickedAt, charges: new Set(),
			});
		} else {
			account.limit = limit;
			account.level = Math.min(account.level, this.#capacity(workspace, account, this.#tickedAt));
		}
	}

	/**
	 * Takes a new membership; shares follow from it.
	 *
	 * @param epoch - The membership.
	 */
	setEpoch(epoch: Epoch): void {
		this.#epoch = epoch;
		this.#shares.clear();
		for (const [workspace, account] of this.#accounts) {
			account.level = Math.min(account.level, this.#capacity(workspace, account, this.#tickedAt));
		}
	}

	/**
	 * Mints every workspace's refill since it was last minted.
	 *
	 * @param now - The moment of the tick.
	 * @param hasContact - Whether the contact rule holds; without it this host's share may have been given away.
	 */
	tick(now: Milliseconds, hasContact: boolean): void {
		this.#tickedAt = now;
		for (const [workspace, account] of this.#accounts) {
			noteSpending(account, now);
			this.#refill(workspace, account, now, hasContact);
		}
	}

	/**
	 * Mints one workspace's refill, so that a decision between two ticks sees what is there.
	 *
	 * @param workspace - The workspace.
	 * @param now - The moment of the decision.
	 * @param hasContact - Whether the contact rule holds.
	 */
	refresh(workspace: string, now: Milliseconds, hasContact: boolean): void {
		const account = this.#accounts.get(workspace);
		if (account !== undefined) {
			this.#refill(workspace, account, now, hasContact);
		}
	}

	/**
	 * Charges a request before it runs.
	 *
	 * @param workspace - The workspace that pays.
	 * @param amount - Its prompt and its largest answer.
	 * @param now - The moment of the charge.
	 * @returns The charge, or what is missing here.
	 */
	charge(workspace: string, amount: Tokens, now: Milliseconds): ChargeOutcome {
		const account = this.#accounts.get(workspace);
		if (account === undefined || amount > account.limit.burstTokens) {
			return {type: 'exceeds-burst'};
		}

		this.#dropExpired(account, now);
		const available = this.available(workspace, now);
		if (available < amount) {
			return {type: 'short', missing: amount - available};
		}

		spend(account, amount);
		account.spentSinceTick += amount;
		const charge: Charge = {workspace, amount, refundable: amount};
		account.charges.add(charge);
		this.#noteHeadroom(workspace, account, now);
		return {type: 'charged', charge};
	}

	/**
	 * Settles a charge by what ran. The refund is what a bucket charged so from the start would hold more today.
	 *
	 * @param charge - The charge.
	 * @param used - The tokens that ran; the whole amount when that is unknown.
	 * @param now - The moment of settlement.
	 */
	settle(charge: Charge, used: Tokens, now: Milliseconds): void {
		const account = this.#accounts.get(charge.workspace);
		if (!account?.charges.delete(charge)) {
			return;
		}

		this.#noteHeadroom(charge.workspace, account, now);
		const refund = Math.min(Math.max(charge.amount - used, 0), charge.refundable);
		const headroom = Math.max(this.#capacity(charge.workspace, account, now) - account.level, 0);
		account.level += Math.min(refund, headroom);
		this.#noteHeadroom(charge.workspace, account, now);
	}

	/**
	 * Gives credit to a peer. It is deducted here and now; if the answer is lost, so is the credit.
	 *
	 * @param workspace - The workspace.
	 * @param wanted - What the peer is short of.
	 * @param now - The moment of the gift.
	 * @returns What was given, possibly nothing.
	 */
	lend(workspace: string, wanted: Tokens, now: Milliseconds): Tokens {
		const account = this.#accounts.get(workspace);
		if (account === undefined || wanted <= 0) {
			return 0;
		}

		const amount = Math.min(account.level, wanted);
		if (amount <= 0) {
			return 0;
		}

		account.level -= amount;
		account.lent.push({amount, until: now + this.#options.loanLifetime + this.#options.loanMargin});
		return amount;
	}

	/**
	 * Takes in a loan. Its lifetime counts from the request, which was sent before the lender deducted it.
	 *
	 * @param workspace - The workspace.
	 * @param amount - What the peer gave.
	 * @param askedAt - When the request for it was sent.
	 */
	receive(workspace: string, amount: Tokens, askedAt: Milliseconds): void {
		if (amount > 0) {
			this.#accounts.get(workspace)?.loans.push({amount, expiresAt: askedAt + this.#options.loanLifetime});
		}
	}

	/**
	 * Tells what this host could spend for a workspace.
	 *
	 * @param workspace - The workspace.
	 * @param now - The moment of the question.
	 * @returns Own credit and unexpired loans.
	 */
	available(workspace: string, now: Milliseconds): Tokens {
		const account = this.#accounts.get(workspace);
		if (account === undefined) {
			return 0;
		}

		return account.level + sumOf(account.loans.filter(loan => loan.expiresAt > now));
	}

	/**
	 * Tells what the hosts that mint for a workspace are.
	 *
	 * @param workspace - The workspace.
	 * @returns The ids of its home hosts, by rendezvous rank.
	 */
	homesOf(workspace: string): string[] {
		return this.#epoch === undefined ? [] : this.#homes(workspace, this.#epoch.hosts);
	}

	/**
	 * Tells what is spent here for a workspace.
	 *
	 * @param workspace - The workspace.
	 * @returns Tokens a second, averaged over the last seconds.
	 */
	spendingOf(workspace: string): Tokens {
		return this.#accounts.get(workspace)?.spentPerSecond ?? 0;
	}

	/**
	 * Tells a workspace's limit.
	 *
	 * @param workspace - The workspace.
	 * @returns The limit, or nothing when the workspace is unknown.
	 */
	limitOf(workspace: string): CreditLimit | undefined {
		return this.#accounts.get(workspace)?.limit;
	}

	/** @returns The levels of all workspaces, for peers and metrics. */
	levels(): Array<{readonly workspace: string; readonly level: Tokens}> {
		return [...this.#accounts].map(([workspace, account]) => ({workspace, level: Math.floor(account.level)}));
	}

	#homes(workspace: string, hosts: ReadonlyArray<{readonly id: string}>): string[] {
		return rankByRendezvous(workspace, hosts.map(host => host.id)).slice(0, this.#options.homeHosts);
	}

	#shareIn(workspace: string, hosts: ReadonlyArray<{readonly id: string}>): number {
		const homes = this.#homes(workspace, hosts);
		return homes.includes(this.#options.self) ? 1 / homes.length : 0;
	}

	#share(workspace: string): number {
		const held = this.#shares.get(workspace) ?? this.#computeShare(workspace);
		this.#shares.set(workspace, held);
		return held;
	}

	// In a joint epoch the smaller share counts: what shrinks does so at once, what grows waits until the epoch settles.
	#computeShare(workspace: string): number {
		const epoch = this.#epoch;
		if (epoch === undefined) {
			return 0;
		}

		const share = this.#shareIn(workspace, epoch.hosts);
		return epoch.previousHosts === undefined ? share : Math.min(share, this.#shareIn(workspace, epoch.previousHosts));
	}

	// Loans that an earlier incarnation of this host gave may be unspent until their lifetime is over.
	#capacity(workspace: string, account: CreditAccount, now: Milliseconds): Tokens {
		if (now - this.#startedAt < this.#options.loanLifetime + this.#options.loanMargin) {
			return 0;
		}

		account.lent = account.lent.filter(lent => lent.until > now);
		return Math.max((this.#share(workspace) * account.limit.burstTokens) - sumOf(account.lent), 0);
	}

	#refill(workspace: string, account: CreditAccount, now: Milliseconds, hasContact: boolean): void {
		this.#dropExpired(account, now);
		const elapsed = now - account.mintedAt;
		account.mintedAt = now;
		const isDue = hasContact && elapsed <= this.#options.longestGap;
		const minted = isDue ? this.#share(workspace) * account.limit.tokensPerSecond * elapsed / millisecondsPerSecond : 0;
		account.level = Math.min(account.level + minted, this.#capacity(workspace, account, now));
		this.#noteHeadroom(workspace, account, now);
	}

	#noteHeadroom(workspace: string, account: CreditAccount, now: Milliseconds): void {
		if (account.charges.size === 0) {
			return;
		}

		const headroom = this.#capacity(workspace, account, now) - account.level;
		for (const charge of account.charges) {
			charge.refundable = Math.min(charge.refundable, headroom);
		}
	}

	#dropExpired(account: CreditAccount, now: Milliseconds): void {
		account.loans = account.loans.filter(loan => loan.expiresAt > now);
	}
}
