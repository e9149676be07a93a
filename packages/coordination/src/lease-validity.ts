import type {Milliseconds} from '@lacewingpoint/shared';

/** A moment on both clocks: the steady one stands still while a machine is suspended, the time of day may be set. */
export type ClockReading = {readonly steady: Milliseconds; readonly wall: Milliseconds};

/** When holders of one lease may act, so that acts of two holders never come close to each other. */
export type LeaseTiming = {
	/** The least time between the last act of one holder and the first of the next. */
	readonly handoverGap: Milliseconds;
	/** How long the lease lasts in the store without a renewal. */
	readonly timeToLive: Milliseconds;
	/** Acts are begun for this long after a renewal was sent. */
	readonly validityWindow: Milliseconds;
	/** An act reaches its server within this time after it was begun, or never. */
	readonly operationTimeout: Milliseconds;
	readonly renewalInterval: Milliseconds;
};

/** A shorter lease is lost sooner when its holder dies, a longer one survives a slow store: two thirds of the gap serve both. */
const timeToLiveShare = 2 / 3;
const actWindowShare = 1 / 2;
const renewalsPerLife = 5;

/** Added to each pause between holders: suspensions too short to be noticed, and clocks that run at slightly different rates. */
const turnMargin: Milliseconds = 300;

/** Clocks that differ by more than this since the last renewal tell of a suspension or of a set clock. */
const clockTolerance: Milliseconds = 250;

/**
 * Works out the bounds of a lease.
 *
 * @param turnGap - The least time between acts of two holders.
 * @param shortestLife - The shortest time to live that the store grants.
 * @param actTime - How long an act may be on its way.
 * @returns The bounds.
 */
export function createLeaseTiming(turnGap: Milliseconds, shortestLife: Milliseconds, actTime: Milliseconds): LeaseTiming {
	const timeToLive = Math.max(turnGap * timeToLiveShare, shortestLife);
	return {
		handoverGap: turnGap, timeToLive, validityWindow: timeToLive * actWindowShare, operationTimeout: actTime, renewalInterval: timeToLive / renewalsPerLife,
	};
}

/**
 * Works out how long a new holder waits before its first act.
 *
 * @param bounds - The bounds, the same for all holders.
 * @param quiet - How long ago the holder before acted last, where it gave the lease back and said so.
 * @returns The wait from the moment at which the lease was obtained.
 */
export function computeHandoverDelay(bounds: LeaseTiming, quiet: Milliseconds | undefined): Milliseconds {
	const {handoverGap: turnGap, timeToLive, validityWindow: actWindow, operationTimeout: actTime} = bounds;
	// A lease that ran out was renewed at least its whole life ago, and its holder has not acted since the window after that.
	const elapsed = quiet ?? timeToLive - actWindow - actTime;
	return Math.max(turnGap - elapsed, 0) + turnMargin;
}

/** One holder's turn: whether it may act now. */
export class LeaseValidity {
	readonly #bounds: LeaseTiming;
	readonly #actsFrom: Milliseconds;
	#renewedAt: ClockReading;

	/**
	 * @param bounds - The bounds.
	 * @param grantedAt - When the call was sent that obtained the lease.
	 * @param actsFrom - The first moment, on the steady clock, at which it may act.
	 */
	constructor(bounds: LeaseTiming, grantedAt: ClockReading, actsFrom: Milliseconds) {
		this.#bounds = bounds;
		this.#renewedAt = grantedAt;
		this.#actsFrom = actsFrom;
	}

	/**
	 * Notes that the lease was renewed.
	 *
	 * @param sentAt - When the call was sent.
	 */
	recordRenewal(sentAt: ClockReading): void {
		this.#renewedAt = sentAt;
	}

	/**
	 * Tells whether the lease has run out for certain.
	 *
	 * @param now - The present moment.
	 * @returns Whether it was not renewed for its whole life.
	 */
	isExpired(now: ClockReading): boolean {
		return now.steady - this.#renewedAt.steady > this.#bounds.timeToLive;
	}

	/**
	 * Tells whether an act may be begun. After a suspension only a new renewal shows that the lease is still held.
	 *
	 * @param now - The present moment.
	 * @returns Whether it may.
	 */
	allowsOperation(now: ClockReading): boolean {
		const steady = now.steady - this.#renewedAt.steady;
		const wall = now.wall - this.#renewedAt.wall;
		return now.steady >= this.#actsFrom && steady < this.#bounds.validityWindow && Math.abs(wall - steady) <= clockTolerance;
	}
}
