/**
 * Attempts allowed beyond the route's `maxServers`, which bounds the servers that may execute a request: some attempts are rejected
 * without being executed.
 */
const extraAttempts = 2;

/** Attempts allowed beyond these when a server could not be reached. */
const extraAttemptsWhenUnreachable = 2;

/** Counts the attempts of a request and decides whether another one is allowed. */
export class RetryAllowance {
	/** Attempts that a server has executed or may have executed. */
	executions = 0;
	attempts = 0;
	/** The number of servers that may execute the request. */
	readonly maxServers: number;
	readonly #acquireBudget: () => boolean;

	/**
	 * @param maxServers - The number of servers that may execute the request.
	 * @param acquireBudget - Takes a retry from the budget that the hosts share; false if there is none left.
	 */
	constructor(maxServers: number, acquireBudget: () => boolean) {
		this.maxServers = maxServers;
		this.#acquireBudget = acquireBudget;
	}

	/** Whether a further execution would be the last one allowed. */
	get isLastExecution(): boolean {
		return this.executions + 1 >= this.maxServers;
	}

	/** Whether an attempt is allowed after a server could not be reached, which needs no budget. */
	get mayRetryUnreachable(): boolean {
		return this.attempts < this.maxServers + extraAttempts + extraAttemptsWhenUnreachable;
	}

	/** Whether two servers may execute the request at the same time. */
	get mayTryTwice(): boolean {
		return this.executions + 2 <= this.maxServers && this.attempts < this.maxServers + extraAttempts;
	}

	/** @returns Whether another attempt is allowed beside the running one; if so, it is counted and taken from the budget. */
	claimSecondTry(): boolean {
		if (!this.mayTryTwice || !this.#acquireBudget()) {
			return false;
		}

		this.attempts++;
		return true;
	}

	/** @returns Whether an attempt is allowed after a server rejected the request without executing it; if so, it is taken from the budget. */
	claimAfterRejection(): boolean {
		return this.attempts < this.maxServers + extraAttempts && this.#acquireBudget();
	}

	/** @returns Whether an attempt is allowed after a server may have executed the request; if so, it is taken from the budget. */
	claimAfterFailure(): boolean {
		return this.executions < this.maxServers && this.claimAfterRejection();
	}
}
