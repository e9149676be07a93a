import type {Milliseconds} from '@lacewingpoint/shared';

/** A reading of two clocks: the monotonic one (`steady`) stops while the machine is suspended, the wall clock may be set. */
export type ClockReading = {readonly steady: Milliseconds; readonly wall: Milliseconds};

/** The timing of a lease, which keeps the protected operations of two successive holders apart. */
export type LeaseTiming = {
	/** The minimum time between the last operation of one holder and the first of the next. */
	readonly handoverGap: Milliseconds;
	/** How long the lease remains in the store after its last renewal. */
	readonly timeToLive: Milliseconds;
	/** How long after a renewal was sent operations may be started. */
	readonly validityWindow: Milliseconds;
	/** An operation reaches its server within this time after its start, or never. */
	readonly operationTimeout: Milliseconds;
	/** The time between two renewals. */
	readonly renewalInterval: Milliseconds;
};

/**
 * The time to live as a share of the handover gap: a shorter lease is free sooner after its holder crashes, a longer one survives a slow
 * store.
 */
const timeToLiveShare = 2 / 3;

/** The validity window as a share of the time to live. */
const validityWindowShare = 1 / 2;
const renewalsPerTimeToLive = 5;

/** Added to each handover delay, for suspensions too short to be detected and for clocks that run at slightly different rates. */
const handoverMargin: Milliseconds = 300;

/** A larger difference between the two clocks since the last renewal means that the machine was suspended or the wall clock set. */
const clockTolerance: Milliseconds = 250;

/**
 * Computes the timing of a lease.
 *
 * @param handoverGap - The minimum time between operations of two holders.
 * @param minimumTimeToLive - The shortest time to live that the store grants.
 * @param operationTimeout - How long an operation may take to reach its server.
 * @returns The timing, to be used by all holders alike.
 */
export function createLeaseTiming(handoverGap: Milliseconds, minimumTimeToLive: Milliseconds, operationTimeout: Milliseconds): LeaseTiming {
	const timeToLive = Math.max(handoverGap * timeToLiveShare, minimumTimeToLive);
	return {
		handoverGap, timeToLive, validityWindow: timeToLive * validityWindowShare, operationTimeout, renewalInterval: timeToLive / renewalsPerTimeToLive,
	};
}

/**
 * Computes how long a new holder waits before its first operation.
 *
 * @param timing - The timing of the lease, the same for all holders.
 * @param sinceLastOperation - The time since the last operation of the previous holder, as it recorded when it released the lease;
 * `undefined` when the lease expired.
 * @returns The delay, counted from the acquisition of the lease.
 */
export function computeHandoverDelay(timing: LeaseTiming, sinceLastOperation: Milliseconds | undefined): Milliseconds {
	const {handoverGap, timeToLive, validityWindow, operationTimeout} = timing;
	// An expired lease was last renewed at least its time to live ago, and its holder started no operation after the window that followed.
	const elapsed = sinceLastOperation ?? timeToLive - validityWindow - operationTimeout;
	return Math.max(handoverGap - elapsed, 0) + handoverMargin;
}

/**
 * Computes how long a new holder waits before its first operation if the store was restored from a copy. The last holder may be another
 * one than the copy says, and may have renewed its lease just before.
 *
 * @param timing - The timing of the lease, the same for all holders.
 * @returns The delay, counted from the acquisition of the lease.
 */
export function computeRestoreDelay(timing: LeaseTiming): Milliseconds {
	return computeHandoverDelay(timing, -(timing.validityWindow + timing.operationTimeout));
}

/** Tells the holder of a lease whether it may start a protected operation. */
export class LeaseValidity {
	readonly #timing: LeaseTiming;
	readonly #validFrom: Milliseconds;
	#renewedAt: ClockReading;

	/**
	 * @param timing - The timing of the lease.
	 * @param grantedAt - When the call that acquired the lease was sent.
	 * @param validFrom - The monotonic time from which operations may be started.
	 */
	constructor(timing: LeaseTiming, grantedAt: ClockReading, validFrom: Milliseconds) {
		this.#timing = timing;
		this.#renewedAt = grantedAt;
		this.#validFrom = validFrom;
	}

	/**
	 * Records that the lease was renewed.
	 *
	 * @param sentAt - When the renewal was sent.
	 */
	recordRenewal(sentAt: ClockReading): void {
		this.#renewedAt = sentAt;
	}

	/**
	 * Tells whether the lease has to be treated as expired.
	 *
	 * @param now - The current reading of both clocks.
	 * @returns Whether its last renewal was sent longer ago than its time to live.
	 */
	isExpired(now: ClockReading): boolean {
		return now.steady - this.#renewedAt.steady > this.#timing.timeToLive;
	}

	/**
	 * Tells whether an operation may be started. After a suspension of the machine only a new renewal shows that the lease is still held.
	 *
	 * @param now - The current reading of both clocks.
	 * @returns Whether the handover delay is over and the lease is certainly still held.
	 */
	allowsOperation(now: ClockReading): boolean {
		const monotonicElapsed = now.steady - this.#renewedAt.steady;
		const wallClockElapsed = now.wall - this.#renewedAt.wall;
		return now.steady >= this.#validFrom && monotonicElapsed < this.#timing.validityWindow && Math.abs(wallClockElapsed - monotonicElapsed) <= clockTolerance;
	}
}
