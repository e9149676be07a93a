import type {Logger, Milliseconds} from '@lacewingpoint/shared';

/**
 * If the monotonic clock advances by more than this between two checks, which are made every 100 ms, or the wall clock deviates from it by more than this,
 * the process was suspended or the wall clock was set.
 */
const clockJumpThreshold: Milliseconds = 700;

/**
 * A suspension cannot be told from a wall clock that was set forward. Of a longer step, only this much is counted as a suspension; the
 * rest is assumed to come from setting the clock.
 */
const maximumSuspension: Milliseconds = 20_000;

export type ClockMonitorOptions = {
	readonly log: Logger;
	readonly now: () => Milliseconds;
	readonly wallClock: () => Milliseconds;
	/**
	 * Called when the process was suspended or the wall clock was set.
	 *
	 * @param uncountedTime - The time by which the wall clock advanced further than the monotonic clock, at most `maximumSuspension`; 0 if the monotonic clock counted all of it.
	 */
	onClockJump(uncountedTime: Milliseconds): void;
};

/** Notices suspensions of the process, and bounds how long data may have waited in the operating system before the process read it. */
export class ClockMonitor {
	readonly #options: ClockMonitorOptions;
	#lastCheck: {readonly monotonic: Milliseconds; readonly wall: Milliseconds};
	/** Monotonic time of the check before the last one. */
	#previousCheckAt: Milliseconds;

	constructor(options: ClockMonitorOptions) {
		this.#options = options;
		this.#lastCheck = {monotonic: options.now(), wall: options.wallClock()};
		this.#previousCheckAt = this.#lastCheck.monotonic;
	}

	/** Checks the clocks. Called by a timer, so that the event loop has read all data that had arrived between two calls. */
	check(): void {
		const {now, wallClock, log, onClockJump} = this.#options;
		const previous = this.#lastCheck;
		this.#lastCheck = {monotonic: now(), wall: wallClock()};
		this.#previousCheckAt = previous.monotonic;
		const monotonicElapsed = this.#lastCheck.monotonic - previous.monotonic;
		const wallElapsed = this.#lastCheck.wall - previous.wall;
		if (monotonicElapsed > clockJumpThreshold || Math.abs(wallElapsed - monotonicElapsed) > clockJumpThreshold) {
			log.info('clock-jump', {steady: monotonicElapsed, wall: wallElapsed});
			const uncountedTime = Math.min(Math.max(wallElapsed - monotonicElapsed, 0), maximumSuspension);
			this.#previousCheckAt -= uncountedTime;
			onClockJump(uncountedTime);
		}
	}

	/**
	 * Returns the earliest time at which data that is read now may have reached this machine. After a suspension, that is before it: data
	 * that arrived meanwhile is read before or after the first check that follows.
	 *
	 * @returns The monotonic time of the check before the last one.
	 */
	earliestArrival(): Milliseconds {
		return this.#previousCheckAt;
	}
}
