import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random draws that callers pass into decision code. */
export type RandomSource = {
	/** @returns A number from 0 inclusive to 1 exclusive. */
	next(): number;
};

/**
 * Makes a repeatable random source.
 *
 * @param seed - Any integer; equal seeds give equal draws.
 * @returns The source.
 */
export function createSeededRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return {
		next: () => uniformFloat64(generator),
	};
}
