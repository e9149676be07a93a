/** A request without a final response. */
export type RunningRequest = {
	/** Whether it waits for a server. */
	readonly isQueued: boolean;
	/** Ends the request now: with a final response, unless a part of the response was forwarded already. */
	endForStop(): void;
};

/** The requests of a host that have no final response. */
export class RunningRequests {
	readonly #requests = new Set<RunningRequest>();
	/** Without those whose clients have not waited for the outcome. */
	#finishedCount = 0;

	get count(): number {
		return this.#requests.size;
	}

	/** The number of requests that have ended and whose clients have waited for it. */
	get finishedCount(): number {
		return this.#finishedCount;
	}

	/** @param request - A request that has begun. */
	add(request: RunningRequest): void {
		this.#requests.add(request);
	}

	/**
	 * Removes a request whose outcome is final.
	 *
	 * @param request - The request.
	 * @param isAbandoned - Whether its client has not waited for the outcome.
	 */
	remove(request: RunningRequest, isAbandoned: boolean): void {
		if (this.#requests.delete(request) && !isAbandoned) {
			this.#finishedCount++;
		}
	}

	/** Ends all requests that can still get a final response. */
	endAll(): void {
		// Those that wait first: they would be sent to the servers that the others leave.
		for (const request of [...this.#requests].toSorted((left, right) => Number(right.isQueued) - Number(left.isQueued))) {
			request.endForStop();
		}
	}
}
