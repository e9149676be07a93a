import type {LayerError, Milliseconds} from '@lacewingpoint/shared';
import type {Result} from 'true-myth';

/** Why a call to the platform failed. After `unavailable` a write may or may not have taken effect. */
export type PlatformError = LayerError<'unavailable' | 'malformed' | 'too-large' | 'lease-lost'>;

/** One key as the service holds it. */
export type KeyValueEntry = {
	readonly key: string;
	readonly value: string;
	/** The revision of the last write of this key; a fencing number for whoever wrote it. */
	readonly revision: number;
	/** The revision that created it. */
	readonly createdRevision: number;
};

/** Entries together with the revision of the whole service at which they were read. */
export type KeyValueReading = {
	readonly revision: number;
	readonly entries: readonly KeyValueEntry[];
};

/** One write of a group; `expected` is the revision last seen of the key, 0 when it must not exist. */
export type KeyValueWrite = {
	readonly key: string;
	readonly value: string;
	readonly expected: number;
	readonly lease?: string;
};

/** The outcome of compare-and-swap over a group: all writes or none. */
export type SwapOutcome
	= | {readonly type: 'written'; readonly revision: number}
		| {readonly type: 'conflict'; readonly found: readonly KeyValueEntry[]};

/** A watch that reports changes until it is disposed. */
export type KeyValueWatch = {
	/** Ends the watch. */
	dispose(): void;
};

/** The platform's small key-value service. Every call counts against its rate, a waiting watch as one. */
export type KeyValueService = {
	/**
	 * Reads keys by prefix.
	 *
	 * @param prefix - The common beginning of the keys.
	 * @param sinceRevision - Leaves out keys last written before this revision.
	 * @returns The entries and the revision at which they were read.
	 */
	list(prefix: string, sinceRevision?: number): Promise<Result<KeyValueReading, PlatformError>>;

	/**
	 * Writes a group of keys if each still has its expected revision.
	 *
	 * @param writes - The writes; values are at most 1 MiB.
	 * @returns Written, or the entries found under the keys.
	 */
	compareAndSwap(writes: readonly KeyValueWrite[]): Promise<Result<SwapOutcome, PlatformError>>;

	/**
	 * Opens a lease; keys written with it vanish when it lapses.
	 *
	 * @param timeToLive - How long it lives after its last renewal, in milliseconds.
	 * @returns The lease's id.
	 */
	grantLease(timeToLive: Milliseconds): Promise<Result<string, PlatformError>>;

	/**
	 * Renews a lease.
	 *
	 * @param lease - The id from {@link grantLease}.
	 * @returns An error of code `lease-lost` when it has lapsed.
	 */
	renewLease(lease: string): Promise<Result<void, PlatformError>>;

	/**
	 * Ends a lease and the keys written with it.
	 *
	 * @param lease - The id from {@link grantLease}.
	 */
	revokeLease(lease: string): Promise<Result<void, PlatformError>>;

	/**
	 * Watches keys by prefix. A watch only says that something changed; the reader lists to learn what.
	 *
	 * @param prefix - The common beginning of the keys.
	 * @param onChange - Called after a change.
	 * @param onEnd - Called when the watch breaks; it is not reopened.
	 * @returns The watch.
	 */
	watch(prefix: string, onChange: () => void, onEnd: () => void): KeyValueWatch;
};

/** The largest value that the service holds, in bytes. */
export const largestValueBytes = 1_048_576;

/** Where things are kept in the service. */
export const keyPrefixes = {
	configuration: 'lacewingpoint/configuration/',
	tickets: 'lacewingpoint/configuration/tickets/',
	epoch: 'lacewingpoint/configuration/epoch',
	hosts: 'lacewingpoint/configuration/hosts/',
	claims: 'lacewingpoint/claims/',
	audit: 'lacewingpoint/audit/',
	controllers: 'lacewingpoint/controllers/',
	draining: 'lacewingpoint/configuration/draining/',
} as const;

/**
 * Names the key of a ticket.
 *
 * @param number - The ticket's number.
 * @returns A key that sorts by number.
 */
export function ticketKey(number: number): string {
	return `${keyPrefixes.tickets}${String(number).padStart(16, '0')}`;
}
