import type {PromptPlacement} from './host-messages.js';

/** Amounts beyond this limit are errors; sums of amounts within it stay exact and finite. */
const maximumAmount = 1e12;

/** The limit on the hosts that a peer reports, far above any fleet. */
const maximumHostCount = 1_000_000;

/**
 * Limits an amount that a peer reports. A sum with infinite amounts may not be a number, and this host's own messages that report it
 * would be unreadable.
 *
 * @param amount - A charge or a load.
 * @returns The amount, or the nearest accepted one.
 */
export function limitAmount(amount: number): number {
	return Math.min(Math.max(amount, -maximumAmount), maximumAmount);
}

/**
 * Limits the number of hosts that a peer reports.
 *
 * @param count - The reported number.
 * @returns A finite number, at least 1.
 */
export function limitHostCount(count: number): number {
	return Math.min(Math.max(count, 1), maximumHostCount);
}

/**
 * Tells whether the amounts of a placement can be recorded. One with a negative or infinite count would void the limit on the recorded
 * prompts of a server.
 *
 * @param placement - A placement that a peer reports.
 * @returns Whether they can.
 */
export function isRecordable({parts, places}: PromptPlacement): boolean {
	return parts.every(([, tokens]) => tokens >= 0 && tokens <= maximumAmount)
		&& places.every(([, availableAfter]) => availableAfter === null || Number.isFinite(availableAfter));
}
