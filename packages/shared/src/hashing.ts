import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/**
 * Hashes text to 32 bits (xxHash32). Not for secrets.
 *
 * @param text - The text to hash.
 * @param seed - Chains hashes: pass the previous hash of a sequence.
 * @returns An unsigned 32-bit integer, equal on every host.
 */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}

/**
 * Weighs a pair for rendezvous hashing.
 *
 * @param keyHash - The hash of the key that is placed.
 * @param member - The member that competes for the key.
 * @returns A weight; the member with the highest weight owns the key.
 */
export function rendezvousWeight(keyHash: number, member: string): number {
	return h32(member, keyHash);
}

/**
 * Orders members for a key by rendezvous hashing.
 *
 * @param key - The key that is placed.
 * @param members - The competing members.
 * @returns The members, the owner first.
 */
export function rankByRendezvous(key: string, members: readonly string[]): string[] {
	const keyHash = hashText(key);
	return members
		.map(member => ({member, weight: rendezvousWeight(keyHash, member)}))
		.toSorted((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
		.map(entry => entry.member);
}
