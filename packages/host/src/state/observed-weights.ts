import type {ServerEntry} from '@lacewingpoint/routing';
import type {StateChange} from '../ports.js';

type ObservedWeights = StateChange & {readonly type: 'observed-weights'};

/** What is known of the weights of servers: the part of the cluster state that is used here. */
export type WeightsKnowledge = {
	readonly servers: {findEntry(id: string): ServerEntry | undefined};
	/** @returns The newest version that a server is known to run; 0 when none is known. */
	observedVersion(entry: ServerEntry, model: string): number;
	recordObservedVersion(id: string, model: string, version: number): void;
};

/**
 * Lists what is known of the weights of servers beyond their entries. An entry lags behind the orders, and is not written again while
 * its server is cut off from the store.
 *
 * @param knowledge - What is known of the servers.
 * @param servers - The registered servers.
 * @returns One change for each server that runs newer weights than its entry lists.
 */
export function listObservedWeights(knowledge: WeightsKnowledge, servers: ReadonlyArray<{readonly entry: ServerEntry}>): ObservedWeights[] {
	return servers.flatMap(({entry}) => {
		const observed = Object.keys(entry.weights).map(model => [model, knowledge.observedVersion(entry, model)] as const);
		const newer = observed.filter(([model, version]) => version > entry.weights[model]!);
		return newer.length === 0
			? []
			: [{
				type: 'observed-weights', revision: 0, server: entry.id, incarnation: entry.incarnation, weights: Object.fromEntries(newer),
			}];
	});
}

/**
 * Applies what a peer has observed of the weights of a server, unless the server has another incarnation by now.
 *
 * @param knowledge - What is known of the servers.
 * @param change - The observed versions.
 */
export function applyObservedWeights(knowledge: WeightsKnowledge, change: ObservedWeights): void {
	if (knowledge.servers.findEntry(change.server)?.incarnation !== change.incarnation) {
		return;
	}

	for (const [model, version] of Object.entries(change.weights)) {
		knowledge.recordObservedVersion(change.server, model, version);
	}
}
