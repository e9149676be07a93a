import {type RandomSource, hashText, rendezvousWeight} from '@lacewingpoint/shared';
import type {PromptPart} from './prompt-cache-index.js';

/** The number of servers among which one request is placed. */
export const defaultSampleSize = 16;

/**
 * Selects the servers among which a request is placed: the owners of its shared prompt parts, and others at random. Meant for many hosts
 * that place requests at the same time: what each knows of the servers' loads is some time old, and if all of them compared all servers,
 * they would send their requests to the same one. It also bounds the time that a placement takes.
 *
 * @param servers - The usable servers.
 * @param owners - Ids of servers that have to be included.
 * @param random - Source of the selection.
 * @param size - The number of servers to select, owners included.
 * @returns The selected servers; all if there are no more than `size`.
 */
export function sampleServers<Server extends {readonly id: string}>(servers: readonly Server[], owners: ReadonlySet<string>, random: RandomSource, size = defaultSampleSize): readonly Server[] {
	if (servers.length <= size) {
		return servers;
	}

	const selected = servers.filter(server => owners.has(server.id));
	const others = servers.filter(server => !owners.has(server.id));
	// A partial Fisher-Yates shuffle.
	for (let index = 0; selected.length < size; index++) {
		const chosen = index + Math.floor(random.next() * (others.length - index));
		[others[index], others[chosen]] = [others[chosen]!, others[index]!];
		selected.push(others[index]!);
	}

	return selected;
}

/**
 * Selects servers that match a condition, at random and with equal chances if there are more than `size`. It checks no more servers than
 * it has to, so that a placement takes as long in a large deployment as in a small one.
 *
 * @param servers - All servers.
 * @param matches - Checks one server.
 * @param random - Source of the selection.
 * @param size - The number of servers to select.
 * @returns The selected servers; all that match, in their order, if there are no more than `size` servers.
 */
export function sampleMatchingServers<Server>(servers: readonly Server[], matches: (server: Server) => boolean, random: RandomSource, size = defaultSampleSize): Server[] {
	if (servers.length <= size) {
		return servers.filter(server => matches(server));
	}

	const remaining = [...servers];
	const selected: Server[] = [];
	for (let count = remaining.length; count > 0 && selected.length < size; count--) {
		const index = Math.floor(random.next() * count);
		const server = remaining[index]!;
		remaining[index] = remaining[count - 1]!;
		if (matches(server)) {
			selected.push(server);
		}
	}

	return selected;
}

/**
 * Finds the servers that own prompt parts by rendezvous hashing: every host sends a prompt that no server has cached to the same one.
 *
 * @param parts - Prompt parts that requests share.
 * @param servers - The servers that can own parts.
 * @returns Ids of the owners.
 */
export function findPartOwners(parts: readonly PromptPart[], servers: ReadonlyArray<{readonly id: string}>): Set<string> {
	const owners = new Set<string>();
	for (const part of parts) {
		const key = hashText(part.id);
		let owner: string | undefined;
		let highest = -1;
		for (const {id} of servers) {
			const weight = rendezvousWeight(key, id);
			if (weight > highest) {
				highest = weight;
				owner = id;
			}
		}

		if (owner !== undefined) {
			owners.add(owner);
		}
	}

	return owners;
}
