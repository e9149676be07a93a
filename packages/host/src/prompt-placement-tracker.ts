import type {PromptPart} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ClusterState} from './cluster-state.js';
import type {ChosenServer} from './dispatcher.js';
import type {HostGossip} from './host-gossip.js';
import type {ReceivedRequest} from './ports.js';

/** A prompt is taken to be read this much later than predicted, until its first token tells. */
const readingMargin = 1.3;

/** The time from a prompt's first token until the prompt store has its parts. */
const savingTime: Milliseconds = 60;

/** When a place will hold parts; nothing when it will not. */
type ReadyIn = Milliseconds | undefined;

/** Notes which prompt parts servers and the prompt store will hold, here and at the peers. */
export class PromptPlacementTracker {
	readonly #beliefs: ClusterState;
	readonly #links: HostGossip;
	readonly #now: () => Milliseconds;

	constructor(beliefs: ClusterState, links: HostGossip, now: () => Milliseconds) {
		this.#beliefs = beliefs;
		this.#links = links;
		this.#now = now;
	}

	/**
	 * Notes that a request goes to a server, which will read its prompt.
	 *
	 * @param chosen - The server.
	 * @param received - The request.
	 */
	recordPlacement({engine, entry}: ChosenServer, received: ReceivedRequest): void {
		const {generation} = received.request;
		if (engine !== undefined && generation !== undefined) {
			const readyIn = engine.predictedTimeToFirstToken * readingMargin;
			const stored = engine.saveTo === undefined ? [] : [[engine.saveTo, readyIn + savingTime] as const];
			this.#note(engine.cacheSalt, generation.parts, new Map([[entry.id, readyIn], ...stored]));
		}
	}

	/**
	 * Notes that a server has read a prompt, or that it will not.
	 *
	 * @param chosen - The server.
	 * @param received - The request.
	 * @param isRead - Whether it has.
	 */
	recordPrefillResult({engine, entry}: ChosenServer, received: ReceivedRequest, isRead: boolean): void {
		const {generation} = received.request;
		if (engine === undefined || generation === undefined) {
			return;
		}

		if (!isRead) {
			const places = engine.saveTo === undefined ? [entry.id] : [entry.id, engine.saveTo];
			// What the server held before it still holds; the rest was not read.
			this.#note(engine.cacheSalt, partsBeyond(generation.parts, engine.cachedTokens), new Map(places.map(place => [place, undefined])));
		} else if (engine.saveTo !== undefined) {
			// Peers need to hear it only where others may wait for shared parts.
			this.#note(engine.cacheSalt, generation.parts, new Map([[entry.id, 0]]));
		}
	}

	#note(salt: string, parts: readonly PromptPart[], places: ReadonlyMap<string, ReadyIn>): void {
		const {promptCache: prompts} = this.#beliefs;
		for (const [place, readyIn] of places) {
			if (readyIn === undefined) {
				prompts.removeParts(place, salt, parts);
			} else {
				prompts.recordParts(place, salt, parts, this.#now() + readyIn);
			}
		}

		this.#links.announcePlacement({
			salt,
			parts: parts.map(({id, tokens}) => [id, tokens]),
			places: [...places].map(([place, readyIn]) => [place, readyIn === undefined ? null : Math.round(readyIn)]),
		});
	}
}

function partsBeyond(parts: readonly PromptPart[], tokens: number): PromptPart[] {
	let sum = 0;
	return parts.filter(part => {
		sum += part.tokens;
		return sum > tokens;
	});
}
