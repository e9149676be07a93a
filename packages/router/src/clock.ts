import type {Milliseconds} from '@lacewingpoint/shared';

/** The clocks of a daemon; decisions get the monotonic one passed in. */
export type Clock = {
	/** @returns Monotonic time. */
	now(): Milliseconds;
	/** @returns The time of day, for logs and records. */
	wall(): Date;
};

/** The machine's clocks. */
export const systemClock: Clock = {
	now: () => performance.now(),
	wall: () => new Date(),
};
