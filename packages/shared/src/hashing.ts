import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/**
 * Computes a 32-bit hash of a text with xxHash32, which is not a cryptographic hash.
 *
 * @param text - The text to hash.
 * @param seed - Seed of the hash; to hash a sequence, pass the hash of the preceding elements.
 * @returns An unsigned 32-bit integer, the same on every host.
 */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}

/**
 * Computes the weight of a member for a key in rendezvous (highest random weight) hashing.
 *
 * @param keyHash - Hash of the key.
 * @param member - Name of the member.
 * @returns The weight, an unsigned 32-bit integer; the member with the highest weight owns the key.
 */
export function rendezvousWeight(keyHash: number, member: string): number {
	return h32(member, keyHash);
}

/**
 * Ranks members for a key by rendezvous hashing.
 *
 * @param key - The key to assign.
 * @param members - Names of the members.
 * @returns The members by descending weight: the owner first.
 */
export function rankByRendezvous(key: string, members: readonly string[]): string[] {
	const keyHash = hashText(key);
	return members
		.map(member => ({member, weight: rendezvousWeight(keyHash, member)}))
		.toSorted((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
		.map(candidate => candidate.member);
}
