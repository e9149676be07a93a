import {
	type Milliseconds, type Tokens, millisecondsPerSecond, rendezvousWeight,
} from '@lacewingpoint/shared';
import type {PrefixIndex} from './prefix-index.js';
import {tokensPerBlock} from './prompt.js';
import {type ServerRow, queuedTokens} from './server-table.js';

/** A request as placement sees it. */
export type PlacementRequest = {
	/** The hash by which routers that know nothing agree on a server. */
	readonly homeKey: number | undefined;
	readonly promptTokens: Tokens;
	/** Servers that have failed this request or would meet another suspect there. */
	readonly avoided: ReadonlySet<string>;
	/** The hashes of the prompt's blocks under some weights; engines may run different ones while weights change. */
	blocksFor(weightsVersion: string | undefined): readonly number[];
};

/** Where a request goes and what is expected there. */
export type Placement = {
	readonly server: string;
	readonly cachedTokens: Tokens;
	readonly queuedTokens: Tokens;
	/** The predicted time to the first token. */
	readonly predicted: Milliseconds;
};

/** Chooses a server for a request. */
export type PlacementPolicy = {
	/**
	 * Chooses among usable servers.
	 *
	 * @param request - The request.
	 * @param servers - The servers that may receive it.
	 * @param now - The present moment.
	 * @returns The placement, or nothing when there is no server.
	 */
	choose(request: PlacementRequest, servers: readonly ServerRow[], now: Milliseconds): Placement | undefined;
};

export type PredictedTimeOptions = {
	/** The level of the prompt, in blocks, by which routers that know nothing agree on a server. */
	readonly homeBlocks: number;
	/** How much of the home level's prefill a detour to the home may cost. */
	readonly homeShare: number;
	/** How much work at one server outweighs keeping a prefix in one place: the price of a copy, as a share of its prefill. */
	readonly copyShare: number;
};

/** The options that the daemons run with and that the measurements are made with. */
export const placementOptions: PredictedTimeOptions = {homeBlocks: 16, homeShare: 1, copyShare: 1};

/**
 * Sends a request where its first token is predicted soonest: queue plus uncached prefill.
 * A prefix that nobody is known to have is drawn to its home by rendezvous hashing, so that routers agree without messages.
 */
export class PredictedTimePlacement implements PlacementPolicy {
	readonly #index: PrefixIndex;
	readonly #options: PredictedTimeOptions;

	constructor(index: PrefixIndex, options: PredictedTimeOptions) {
		this.#index = index;
		this.#options = options;
	}

	choose(request: PlacementRequest, servers: readonly ServerRow[], now: Milliseconds): Placement | undefined {
		const wanted = servers.filter(row => !request.avoided.has(row.description.id));
		const candidates = wanted.length > 0 ? wanted : servers;
		const home = this.#home(request, candidates);
		let best: Placement | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		for (const row of candidates) {
			const placement = this.#predict(request, row, now);
			const cost = this.#cost(request, placement, row, row.description.id === home);
			if (cost < bestCost) {
				best = placement;
				bestCost = cost;
			}
		}

		return best;
	}

	#predict(request: PlacementRequest, row: ServerRow, now: Milliseconds): Placement {
		const server = row.description.id;
		const cachedTokens = Math.min(this.#index.match(server, request.blocksFor(row.weightsVersion), now) * tokensPerBlock, request.promptTokens);
		const queued = queuedTokens(row, now);
		const predicted = (queued + request.promptTokens - cachedTokens) * millisecondsPerSecond / row.tokensPerSecond;
		return {
			server, cachedTokens, queuedTokens: queued, predicted,
		};
	}

	// Recomputing a prefix also takes room and time from others, so it costs more than its own delay.
	#cost(request: PlacementRequest, placement: Placement, row: ServerRow, isHome: boolean): Milliseconds {
		const uncached = request.promptTokens - placement.cachedTokens;
		const copyCost = this.#options.copyShare * uncached;
		const homeTokens = Math.min(this.#options.homeBlocks * tokensPerBlock, request.promptTokens);
		const homeGain = isHome && placement.cachedTokens < homeTokens ? this.#options.homeShare * (homeTokens - placement.cachedTokens) : 0;
		const congestion = row.runningRequests * runningRequestCost;
		return placement.predicted + congestion + ((copyCost - homeGain) * millisecondsPerSecond / row.tokensPerSecond);
	}

	#home(request: PlacementRequest, candidates: readonly ServerRow[]): string | undefined {
		const key = request.homeKey;
		if (key === undefined) {
			return undefined;
		}

		let home: string | undefined;
		let highest = -1;
		for (const {description} of candidates) {
			const weight = rendezvousWeight(key, description.id);
			if (weight > highest) {
				highest = weight;
				home = description.id;
			}
		}

		return home;
	}
}

/** What one running stream adds to the cost of a server: it breaks ties in favour of short batches. */
const runningRequestCost: Milliseconds = 0.1;
