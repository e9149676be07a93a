import {RetryBudget, type RetryBudgetOptions} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';

/** The retry budgets of a host, one for each service. */
export class RetryBudgets {
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #startedAt: Milliseconds;
	#options: RetryBudgetOptions;

	/**
	 * @param options - The limits of each budget.
	 * @param startedAt - Monotonic time at which the host started.
	 */
	constructor(options: RetryBudgetOptions, startedAt: Milliseconds) {
		this.#options = options;
		this.#startedAt = startedAt;
	}

	/**
	 * Returns the budget of a service.
	 *
	 * @param service - The service's name.
	 * @returns The budget, a new one for a service without requests so far.
	 */
	forService(service: string): RetryBudget {
		const known = this.#budgets.get(service);
		if (known !== undefined) {
			return known;
		}

		const budget = new RetryBudget(this.#options, this.#startedAt);
		this.#budgets.set(service, budget);
		return budget;
	}

	/**
	 * Applies changed limits; all budgets start anew.
	 *
	 * @param options - The limits from now on.
	 */
	applyOptions(options: RetryBudgetOptions): void {
		this.#options = options;
		this.#budgets.clear();
	}
}
