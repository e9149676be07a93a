import {
	type Placement, type PlacementPolicy, type PlacementRequest, type PrefixIndex, type ServerRow, PredictedTimePlacement,
	placementOptions, queuedTokens, tokensPerBlock,
} from '@lacewingpoint/routing';
import {rendezvousWeight} from '@lacewingpoint/shared';
import type {ModelServer} from './model-server.js';

/** The policies that are compared. */
export const policyNames = ['lacewingpoint', 'with events', 'round robin', 'least loaded', 'rendezvous', 'oracle'] as const;

export type PolicyName = (typeof policyNames)[number];

function placementAt(row: ServerRow, now: number): Placement {
	return {
		server: row.description.id, cachedTokens: 0, queuedTokens: queuedTokens(row, now), predicted: 0,
	};
}

/** Servers in turn, as the F-SCP paper's front ends choose theirs. */
class RoundRobin implements PlacementPolicy {
	#turn = 0;

	choose(_request: PlacementRequest, servers: readonly ServerRow[], now: number): Placement | undefined {
		const row = servers[this.#turn++ % Math.max(servers.length, 1)];
		return row === undefined ? undefined : placementAt(row, now);
	}
}

/** The server with the least waiting tokens. */
class LeastLoaded implements PlacementPolicy {
	choose(_request: PlacementRequest, servers: readonly ServerRow[], now: number): Placement | undefined {
		const [row] = servers.toSorted((left, right) => queuedTokens(left, now) - queuedTokens(right, now));
		return row === undefined ? undefined : placementAt(row, now);
	}
}

/** Plain rendezvous hashing on the document. */
class Rendezvous implements PlacementPolicy {
	choose(request: PlacementRequest, servers: readonly ServerRow[], now: number): Placement | undefined {
		const weigh = (row: ServerRow) => rendezvousWeight(request.homeKey ?? 0, row.description.id);
		const [row] = servers.toSorted((left, right) => weigh(right) - weigh(left));
		return row === undefined ? undefined : placementAt(row, now);
	}
}

/** Knows every cache and every queue as they are. */
class Oracle implements PlacementPolicy {
	readonly #servers: ReadonlyMap<string, ModelServer>;

	constructor(servers: ReadonlyMap<string, ModelServer>) {
		this.#servers = servers;
	}

	choose(request: PlacementRequest, rows: readonly ServerRow[], now: number): Placement | undefined {
		const blocks = request.blocksFor(undefined);
		const cost = (row: ServerRow) => {
			const server = this.#servers.get(row.description.id)!;
			return server.queuedTokens + ((blocks.length - server.cache.match(blocks)) * tokensPerBlock * (1 + placementOptions.copyShare));
		};

		const [row] = rows.filter(candidate => this.#servers.get(candidate.description.id)!.isUp).toSorted((left, right) => cost(left) - cost(right));
		return row === undefined ? undefined : placementAt(row, now);
	}
}

/**
 * Makes the policy of one router.
 *
 * @param name - Which one.
 * @param index - The router's prefix index.
 * @param servers - The servers as they are, for the oracle.
 * @returns The policy.
 */
export function createPolicy(name: PolicyName, index: PrefixIndex, servers: ReadonlyMap<string, ModelServer>): PlacementPolicy {
	switch (name) {
		case 'lacewingpoint':
		case 'with events': {
			return new PredictedTimePlacement(index, placementOptions);
		}

		case 'round robin': {
			return new RoundRobin();
		}

		case 'least loaded': {
			return new LeastLoaded();
		}

		case 'rendezvous': {
			return new Rendezvous();
		}

		case 'oracle': {
			return new Oracle(servers);
		}
	}
}
