import type {PromptPart} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ChosenServer} from '../placement/placement-request.js';
import type {HostGossip} from '../members/host-gossip.js';
import type {ReceivedRequest} from '../ports.js';
import type {ClusterState} from './cluster-state.js';

/** Until the first token arrives, the prefill of a prompt is assumed to take this many times the predicted time. */
const prefillTimeMargin = 1.3;

/** Time from the first token of a response until the prompt store has the parts of the prompt. */
const storeSaveTime: Milliseconds = 60;

/** Time until a location holds prompt parts; undefined if it will not hold them. */
type AvailabilityDelay = Milliseconds | undefined;

/** Tracks which prompt parts are or will be cached by servers and the prompt store, and announces them to the peers. */
export class PromptPlacementTracker {
	readonly #clusterState: ClusterState;
	readonly #hostGossip: HostGossip;
	readonly #now: () => Milliseconds;

	constructor(clusterState: ClusterState, hostGossip: HostGossip, now: () => Milliseconds) {
		this.#clusterState = clusterState;
		this.#hostGossip = hostGossip;
		this.#now = now;
	}

	/**
	 * Records that a request is sent to a server, which will prefill its prompt.
	 *
	 * @param chosen - The server and the placement on its engine.
	 * @param received - The request whose prompt is tracked; ignored if it is not a generation request.
	 */
	recordPlacement({engine, entry}: ChosenServer, received: ReceivedRequest): void {
		const {generation} = received.request;
		if (engine !== undefined && generation !== undefined) {
			const availableAfter = engine.predictedTimeToFirstToken * prefillTimeMargin;
			const storeAvailability = engine.saveTo === undefined ? [] : [[engine.saveTo, availableAfter + storeSaveTime] as const];
			this.#recordAvailability(engine.cacheSalt, generation.parts, new Map([[entry.id, availableAfter], ...storeAvailability]));
		}
	}

	/**
	 * Records that a server has prefilled a prompt, or that it will not do so.
	 *
	 * @param chosen - The server and the placement on its engine.
	 * @param received - The request whose prompt is tracked; ignored if it is not a generation request.
	 * @param isPrefilled - Whether the prompt has been prefilled.
	 */
	recordPrefillResult({engine, entry}: ChosenServer, received: ReceivedRequest, isPrefilled: boolean): void {
		const {generation} = received.request;
		if (engine === undefined || generation === undefined) {
			return;
		}

		if (!isPrefilled) {
			const locations = engine.saveTo === undefined ? [entry.id] : [entry.id, engine.saveTo];
			// The server still holds the parts that it had cached before; the others were not prefilled.
			this.#recordAvailability(engine.cacheSalt, partsBeyondTokens(generation.parts, engine.cachedTokens), new Map(locations.map(location => [location, undefined])));
		} else if (engine.saveTo !== undefined) {
			// Recorded and announced only for prompts that are saved to the prompt store: other requests may be waiting for their shared parts.
			this.#recordAvailability(engine.cacheSalt, generation.parts, new Map([[entry.id, 0]]));
		}
	}

	#recordAvailability(cacheSalt: string, parts: readonly PromptPart[], locations: ReadonlyMap<string, AvailabilityDelay>): void {
		const {promptCache} = this.#clusterState;
		for (const [location, availableAfter] of locations) {
			if (availableAfter === undefined) {
				promptCache.removeParts(location, cacheSalt, parts);
			} else {
				promptCache.recordParts(location, cacheSalt, parts, this.#now() + availableAfter);
			}
		}

		this.#hostGossip.announcePlacement({
			salt: cacheSalt,
			parts: parts.map(({id, tokens}) => [id, tokens]),
			places: [...locations].map(([location, availableAfter]) => [location, availableAfter === undefined ? null : Math.round(availableAfter)]),
		});
	}
}

function partsBeyondTokens(parts: readonly PromptPart[], tokens: number): PromptPart[] {
	let cumulativeTokens = 0;
	return parts.filter(part => {
		cumulativeTokens += part.tokens;
		return cumulativeTokens > tokens;
	});
}
