import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers, passed in as a dependency so that decisions are reproducible in tests. */
export type RandomSource = {
	/** @returns A number from 0 inclusive to 1 exclusive. */
	next(): number;
};

/**
 * Creates a deterministic random source.
 *
 * @param seed - Any integer; equal seeds produce equal sequences.
 * @returns The random source.
 */
export function createSeededRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return {
		next: () => uniformFloat64(generator),
	};
}
