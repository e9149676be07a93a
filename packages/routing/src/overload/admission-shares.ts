/** The share of each rank's requests that is admitted whatever the other ranks send, relative to the share of all requests. */
const guaranteedShare = 0.5;

/** Recent arrivals lose this part of their count at each update. */
const decay = 0.2;

/** The requests of one workspace at one rank: how many arrived lately, and which part of them is admitted. */
type RequestClass = {
	recentArrivals: number;
	share: number;
	/** Admits requests one by one in proportion to the share. */
	credit: number;
};

/**
 * Divides a limited number of requests among ranks and workspaces. Designed for demand above what a host can do: urgent ranks are served
 * first, no rank is left without service, and within a rank a workspace with little demand is served before one that sends many times more.
 */
export class AdmissionShares {
	readonly #classes = new Map<number, Map<string, RequestClass>>();

	/**
	 * Counts an arrival, and decides whether the share of its rank and workspace admits it.
	 *
	 * @param rank - Priority of the request; 0 is the highest.
	 * @param workspace - Name of the workspace; empty without one.
	 * @returns Whether the request is admitted.
	 */
	admit(rank: number, workspace: string): boolean {
		const workspaces = this.#classes.get(rank) ?? new Map<string, RequestClass>();
		this.#classes.set(rank, workspaces);
		const requestClass = workspaces.get(workspace) ?? {recentArrivals: 0, share: 1, credit: 0};
		workspaces.set(workspace, requestClass);
		requestClass.recentArrivals++;
		requestClass.credit += requestClass.share;
		if (requestClass.credit < 1) {
			return false;
		}

		requestClass.credit--;
		return true;
	}

	/**
	 * Divides the requests that can be admitted among the ranks and workspaces that have sent some lately.
	 *
	 * @param updatesPerSecond - How often this is called.
	 * @param rate - The requests that can be admitted in a second.
	 */
	update(updatesPerSecond: number, rate: number): void {
		// Decayed counts add up to the arrivals of this many seconds.
		const window = 1 / (decay * updatesPerSecond);
		const ranks = [...this.#classes].toSorted(([left], [right]) => left - right);
		const total = ranks.reduce((sum, [, workspaces]) => sum + sumArrivals(workspaces), 0);
		const overallShare = total === 0 ? 1 : Math.min(rate * window / total, 1);
		let remaining = total * overallShare * (1 - guaranteedShare);
		for (const [, workspaces] of ranks) {
			const arrivals = sumArrivals(workspaces);
			const guaranteed = arrivals * overallShare * guaranteedShare;
			const additional = Math.min(arrivals - guaranteed, remaining);
			remaining -= additional;
			shareFairly(workspaces, guaranteed + additional);
		}

		for (const [rank, workspaces] of ranks) {
			for (const [workspace, requestClass] of workspaces) {
				requestClass.recentArrivals *= 1 - decay;
				if (requestClass.recentArrivals < 0.01) {
					workspaces.delete(workspace);
				}
			}

			if (workspaces.size === 0) {
				this.#classes.delete(rank);
			}
		}
	}

	/** Forgets all arrivals. */
	clear(): void {
		this.#classes.clear();
	}
}

function sumArrivals(workspaces: ReadonlyMap<string, RequestClass>): number {
	let sum = 0;
	for (const {recentArrivals} of workspaces.values()) {
		sum += recentArrivals;
	}

	return sum;
}

// Max-min fairness: a workspace gets what it sends up to a level that is the same for all.
function shareFairly(workspaces: ReadonlyMap<string, RequestClass>, budget: number): void {
	let remaining = budget;
	let remainingWorkspaces = workspaces.size;
	for (const requestClass of [...workspaces.values()].toSorted((left, right) => left.recentArrivals - right.recentArrivals)) {
		const granted = Math.min(requestClass.recentArrivals, remaining / remainingWorkspaces);
		requestClass.share = requestClass.recentArrivals === 0 ? 1 : granted / requestClass.recentArrivals;
		remaining -= granted;
		remainingWorkspaces--;
	}
}
