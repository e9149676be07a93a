import {type Milliseconds, type Tokens, millisecondsPerSecond} from '@lacewingpoint/shared';
import type {CreditLimit} from './credit-account.js';

type Estimate = {readonly left: Tokens; readonly at: Milliseconds};

/**
 * What is believed of the credit that lies with other hosts. The fullest are asked first: a full bucket mints nothing,
 * so taking from it loses the fleet least.
 */
export class LenderEstimates {
	readonly #estimates = new Map<string, Estimate>();

	/**
	 * Takes note of what a lender had left.
	 *
	 * @param workspace - The workspace.
	 * @param lender - The host that answered.
	 * @param left - What it said it had left.
	 * @param now - The moment of its answer.
	 */
	note(workspace: string, lender: string, left: Tokens, now: Milliseconds): void {
		this.#estimates.set(`${workspace} ${lender}`, {left, at: now});
	}

	/**
	 * Orders lenders for a request.
	 *
	 * @param workspace - The workspace.
	 * @param lenders - The hosts that could lend.
	 * @param limit - The workspace's limit over all hosts.
	 * @param now - The moment of the request.
	 * @returns The hosts, the one believed to have most first; unknown ones count as full.
	 */
	order(workspace: string, lenders: readonly string[], limit: CreditLimit, now: Milliseconds): string[] {
		const believed = (lender: string) => {
			const estimate = this.#estimates.get(`${workspace} ${lender}`);
			return estimate === undefined ? limit.burstTokens : this.#grown(estimate, lenders.length, limit, now);
		};

		return lenders.toSorted((left, right) => believed(right) - believed(left));
	}

	#grown(estimate: Estimate, lenders: number, limit: CreditLimit, now: Milliseconds): Tokens {
		const hosts = lenders + 1;
		const minted = limit.tokensPerSecond / hosts * (now - estimate.at) / millisecondsPerSecond;
		return Math.min(estimate.left + minted, limit.burstTokens / hosts);
	}
}
