import {
	type EngineCandidate, type EngineProfile, type ServerEntry, EnginePlacer, defaultSampleSize, findPartOwners, sampleServers,
} from '@lacewingpoint/routing';
import {
	type Milliseconds, type RandomSource, type Tokens, millisecondsPerSecond,
} from '@lacewingpoint/shared';
import type {ClientRequest} from '../ports.js';
import type {ClusterState} from '../state/cluster-state.js';
import type {PlacementRequest, PlacementResult} from './placement-request.js';

/**
 * A response on outdated weights loses part of its value 1.5 s after a newer target version was published. Servers count as outdated a
 * little earlier, so that requests move to updated servers before then.
 */
const outdatedWeightsGrace: Milliseconds = 1100;

/**
 * Subtracted from the allowed staleness of weights: a server may queue a request this long, and the weights must still be allowed when
 * the request begins.
 */
const serverQueueMargin: Milliseconds = 1500;

/** The share of a link's bandwidth that one fetch reaches, since fetches of other servers share the link. */
const fetchBandwidthShare = 0.6;

/** A server is used only as a last resort after this many times the silence from which its requests are given up. */
const stalledServerFactor = 2;

export type GenerationPlacementOptions = {
	readonly failureDomain: string;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	/** @returns How long weights may have been outdated when a request begins on them. */
	maxWeightsStaleness(): Milliseconds;
};

/** Places generations on model servers by what this host knows of their weights, load and prompt caches. */
export class GenerationPlacement {
	readonly #clusterState: ClusterState;
	readonly #enginePlacer: EnginePlacer;
	readonly #options: GenerationPlacementOptions;

	/**
	 * @param clusterState - The configuration, servers and loads as this host knows them.
	 * @param options - This host's failure domain, its clock and the limit on outdated weights.
	 */
	constructor(clusterState: ClusterState, options: GenerationPlacementOptions) {
		this.#clusterState = clusterState;
		this.#enginePlacer = new EnginePlacer(clusterState.promptCache);
		this.#options = options;
	}

	/**
	 * Chooses one of the servers.
	 *
	 * @param placementRequest - A generation.
	 * @param profile - What the model servers of its service have in common.
	 * @param usableEntries - The servers with a free slot.
	 * @param queuedTokens - Prompt tokens of the requests that are queued before this one.
	 * @returns The chosen server, or why there is none.
	 */
	place(placementRequest: PlacementRequest, profile: EngineProfile, usableEntries: readonly ServerEntry[], queuedTokens: Tokens): PlacementResult {
		const now = this.#options.now();
		const {engineObservations} = this.#clusterState;
		const stallTimeout = engineObservations.silenceLimit(placementRequest.service) * stalledServerFactor;
		const speed = engineObservations.speed(placementRequest.service);
		const generation = placementRequest.request.generation!;
		const entries = sampleServers(usableEntries, this.#findOwners(usableEntries, generation), this.#options.random);
		const candidates: EngineCandidate[] = [];
		for (const entry of entries) {
			const weightsVersion = this.#clusterState.observedVersion(entry, generation.model);
			const outdatedTime = this.#clusterState.weightsTracker.outdatedTime(generation.model, weightsVersion, now);
			if (weightsVersion > 0 && outdatedTime < this.#options.maxWeightsStaleness() - serverQueueMargin) {
				candidates.push({
					id: entry.id,
					address: entry.address,
					failureDomain: entry.failureDomain,
					weightsVersion,
					isOutdated: outdatedTime >= outdatedWeightsGrace,
					slots: entry.slots,
					memoryTokens: profile.memoryTokens,
					load: this.#clusterState.loads.totalLoad(entry.id, now),
					slowness: engineObservations.slowness(placementRequest.service, entry.id, now),
					isRolloutDraining: this.#clusterState.weightsTracker.isRolloutDraining(entry.id, now),
					isFailing: this.#clusterState.health.evaluateStatus(entry.id, now, stallTimeout) === 'failing',
				});
			}
		}

		if (candidates.length === 0) {
			return {type: 'none'};
		}

		const stores = (this.#clusterState.configuration?.services ?? []).flatMap(({promptStore}) => promptStore ?? []);
		const cacheSalt = placementRequest.isIsolated ? `${generation.model} ${placementRequest.workspace ?? ''}` : generation.model;
		const placement = this.#enginePlacer.choosePlacement({
			parts: generation.parts,
			promptTokens: generation.promptTokens,
			outputTokens: Math.min(generation.expectedOutputTokens ?? generation.outputTokens, generation.outputTokens),
			objective: placementRequest.route.objective,
			cacheSaltFor: version => `${cacheSalt} ${version}`,
		}, candidates, {
			failureDomain: this.#options.failureDomain,
			stores,
			now,
			speed,
			prefillBacklogLimit: engineObservations.prefillBacklogLimit(placementRequest.service, now),
			fetchTokensPerMillisecond: estimateFetchRate(profile),
		});
		if (placement === undefined) {
			return {type: 'full', estimatedWait: (queuedTokens + generation.promptTokens) * speed.prefillTimePerToken / candidates.length};
		}

		if (placement.dispatchNotBefore > now) {
			return {type: 'full', estimatedWait: placement.dispatchNotBefore - now, isPromptPending: true};
		}

		const entry = entries.find(({id}) => id === placement.server)!;
		return {type: 'chosen', chosen: {entry, engine: placement, outdatedTime: this.#clusterState.weightsTracker.outdatedTime(generation.model, placement.weightsVersion, now)}};
	}

	// Parts are owned by servers with the newest weights, which the others will have soon.
	#findOwners(entries: readonly ServerEntry[], {model, parts}: NonNullable<ClientRequest['generation']>): Set<string> {
		if (entries.length <= defaultSampleSize) {
			return new Set();
		}

		const versions = new Map(entries.map(entry => [entry, this.#clusterState.observedVersion(entry, model)]));
		const newest = Math.max(...versions.values());
		return findPartOwners(parts.slice(0, -1), entries.filter(entry => versions.get(entry) === newest));
	}
}

function estimateFetchRate({linkMegabits, bytesPerToken}: EngineProfile): number {
	const bytesPerMillisecond = linkMegabits * 1_000_000 / 8 / millisecondsPerSecond;
	return bytesPerMillisecond * fetchBandwidthShare / bytesPerToken;
}
