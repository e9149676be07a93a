import type {Milliseconds} from '@lacewingpoint/shared';

/** Knows until when the cluster state is known to have contained all changes in the store, by the monotonic clock. */
export class StateConfirmation {
	#confirmedUntil = Number.NEGATIVE_INFINITY;
	/** While a watch is open. */
	#earliestArrival: (() => Milliseconds) | undefined;
	#isStoreLost = false;

	/**
	 * Records that all changes made until a time have been applied.
	 *
	 * @param until - The time.
	 */
	record(until: Milliseconds): void {
		this.#confirmedUntil = Math.max(this.#confirmedUntil, until);
	}

	/**
	 * Records that the store would report a change at once, because a watch is open at which it has responded before.
	 *
	 * @param earliestArrival - Returns the earliest time at which data that is read now may have reached this machine.
	 */
	openWatch(earliestArrival: () => Milliseconds): void {
		this.#earliestArrival = earliestArrival;
	}

	/** Records that no watch is open. */
	closeWatch(): void {
		this.#earliestArrival = undefined;
	}

	/**
	 * Records whether the store, which this host reads itself, has stopped to respond.
	 *
	 * @param isStoreLost - Whether it has.
	 */
	setStoreLost(isStoreLost: boolean): void {
		this.#isStoreLost = isStoreLost;
	}

	/**
	 * Returns how old the state may be.
	 *
	 * @param now - Current monotonic time.
	 * @returns Time since the state was known to be complete; `undefined` if the store does not respond.
	 */
	age(now: Milliseconds): Milliseconds | undefined {
		return this.#isStoreLost ? undefined : now - Math.max(this.#confirmedUntil, this.#earliestArrival?.() ?? Number.NEGATIVE_INFINITY);
	}
}
