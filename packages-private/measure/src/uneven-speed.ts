import {type Milliseconds, createSeededRandom} from '@lacewingpoint/shared';

/** Differences between the speeds of the engines of one site. */
export type UnevenSpeed = {
	/** One in this many engines is slow. */
	readonly slowInterval: number;
	readonly slowSpeed: number;
	/** The speed of the others. */
	readonly fastSpeed: number;
	/** The share of the time in which an engine is disturbed by a neighbor, in pieces of `disturbanceTime`. */
	readonly disturbedShare: number;
	readonly disturbanceFactor: number;
	readonly disturbanceTime: Milliseconds;
};

/**
 * Creates the slowdown of one engine.
 *
 * @param speed - The differences; `undefined` for engines of equal speed.
 * @param index - The number of the engine.
 * @param seed - Seed of the disturbances.
 * @param now - The simulated time.
 * @returns A function that returns the factor on durations at the current time.
 */
export function createSlowdown(speed: UnevenSpeed | undefined, index: number, seed: number, now: () => Milliseconds): () => number {
	if (speed === undefined) {
		return () => 1;
	}

	const random = createSeededRandom(seed + (index * 1009));
	const lasting = 1 / (index % speed.slowInterval === 0 ? speed.slowSpeed : speed.fastSpeed);
	const disturbances: number[] = [];
	return () => {
		const piece = Math.floor(now() / speed.disturbanceTime);
		while (disturbances.length <= piece) {
			disturbances.push(random.next() < speed.disturbedShare ? speed.disturbanceFactor : 1);
		}

		return lasting * disturbances[piece]!;
	};
}
