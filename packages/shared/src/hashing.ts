const prime1 = 0x9E_37_79_B1;
const prime2 = 0x85_EB_CA_77;
const prime3 = 0xC2_B2_AE_3D;
const prime4 = 0x27_D4_EB_2F;
const prime5 = 0x16_56_67_B1;
const stripeLength = 16;
const wordLength = 4;

/** Longer texts are rare, and get a buffer of their own. */
const sharedBufferLength = 4096;
const sharedBuffer = Buffer.allocUnsafeSlow(sharedBufferLength);

/** Bytes that UTF-8 needs for a UTF-16 code unit, at most. */
const maxBytesPerUnit = 3;

function rotateLeft(value: number, bits: number): number {
	return (value << bits) | (value >>> (32 - bits));
}

function mixStripe(accumulator: number, word: number): number {
	return Math.imul(rotateLeft(accumulator + Math.imul(word, prime2), 13), prime1);
}

function readWord(bytes: Uint8Array, offset: number): number {
	return bytes[offset]! | (bytes[offset + 1]! << 8) | (bytes[offset + 2]! << 16) | (bytes[offset + 3]! << 24);
}

function hashBytes(bytes: Uint8Array, length: number, seed: number): number {
	let offset = 0;
	let hash = seed + prime5;
	if (length >= stripeLength) {
		let first = seed + prime1 + prime2;
		let second = seed + prime2;
		let third = seed;
		let fourth = seed - prime1;
		for (; offset <= length - stripeLength; offset += stripeLength) {
			first = mixStripe(first, readWord(bytes, offset));
			second = mixStripe(second, readWord(bytes, offset + wordLength));
			third = mixStripe(third, readWord(bytes, offset + (2 * wordLength)));
			fourth = mixStripe(fourth, readWord(bytes, offset + (3 * wordLength)));
		}

		hash = rotateLeft(first, 1) + rotateLeft(second, 7) + rotateLeft(third, 12) + rotateLeft(fourth, 18);
	}

	hash += length;
	for (; offset <= length - wordLength; offset += wordLength) {
		hash = Math.imul(rotateLeft(hash + Math.imul(readWord(bytes, offset), prime3), 17), prime4);
	}

	for (; offset < length; offset++) {
		hash = Math.imul(rotateLeft(hash + Math.imul(bytes[offset]!, prime5), 11), prime1);
	}

	hash = Math.imul(hash ^ (hash >>> 15), prime2);
	hash = Math.imul(hash ^ (hash >>> 13), prime3);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Computes a 32-bit hash of a text with xxHash32, which is not a cryptographic hash.
 *
 * @param text - The text to hash.
 * @param seed - Seed of the hash; to hash a sequence, pass the hash of the preceding elements.
 * @returns An unsigned 32-bit integer, the same on every host.
 */
export function hashText(text: string, seed = 0): number {
	const buffer = text.length * maxBytesPerUnit <= sharedBufferLength ? sharedBuffer : Buffer.allocUnsafe(text.length * maxBytesPerUnit);
	for (let index = 0; index < text.length; index++) {
		const unit = text.codePointAt(index)!;
		if (unit >= 0x80) {
			return hashBytes(buffer, buffer.write(text, 'utf8'), seed);
		}

		buffer[index] = unit;
	}

	return hashBytes(buffer, text.length, seed);
}

/**
 * Computes the weight of a member for a key in rendezvous (highest random weight) hashing.
 *
 * @param keyHash - Hash of the key.
 * @param member - Name of the member.
 * @returns The weight, an unsigned 32-bit integer; the member with the highest weight owns the key.
 */
export function rendezvousWeight(keyHash: number, member: string): number {
	return hashText(member, keyHash);
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
