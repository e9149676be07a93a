/** A source of random draws that callers pass into decision code. */
export type RandomSource = {
	/** @returns A number from 0 inclusive to 1 exclusive. */
	next(): number;
};

/**
 * Makes a repeatable random source (mulberry32).
 *
 * @param seed - Any integer; equal seeds give equal draws.
 * @returns The source.
 */
export function createSeededRandom(seed: number): RandomSource {
	let state = Math.trunc(seed);
	return {
		next() {
			state = Math.trunc(state + 0x6D_2B_79_F5);
			let mixed = Math.imul(state ^ (state >>> 15), state | 1);
			mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
			return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
		},
	};
}
