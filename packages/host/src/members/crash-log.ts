import type {SuspectCrash} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {RecordedCrash} from './gossip-events.js';

/** Known crashes are repeated in full messages for this long, because datagrams get lost. */
const repeatTime: Milliseconds = 3000;

/** Limit on the repeated crashes of a message, which keeps it from being fragmented. */
const maximumRepeatedCrashes = 24;

/** The recent crashes of servers and the peers that reported them. */
export class CrashLog {
	#crashes: Array<RecordedCrash & {readonly source: string}> = [];

	/**
	 * Adds crashes.
	 *
	 * @param crashes - One entry for each request that was in flight.
	 * @param source - The host that reported them.
	 * @param now - Current monotonic time.
	 * @returns The crashes that were not known yet.
	 */
	add(crashes: readonly SuspectCrash[], source: string, now: Milliseconds): RecordedCrash[] {
		this.#crashes = this.#crashes.filter(({recordedAt}) => now - recordedAt < repeatTime);
		const known = new Set(this.#crashes.map(({crash}) => createKey(crash)));
		const added = crashes.filter(crash => !known.has(createKey(crash))).map(crash => ({crash, recordedAt: now, source}));
		this.#crashes.push(...added);
		return added;
	}

	/**
	 * Lists the crashes to be repeated.
	 *
	 * @param isIncluded - Whether the crashes that a host reported are included.
	 * @param now - Current monotonic time.
	 * @returns The latest crashes with their current ages.
	 */
	listRepeated(isIncluded: (source: string) => boolean, now: Milliseconds): SuspectCrash[] {
		return this.#crashes
			.filter(({recordedAt, source}) => now - recordedAt < repeatTime && isIncluded(source))
			.slice(-maximumRepeatedCrashes)
			.map(({crash, recordedAt}) => ({...crash, age: crash.age + now - recordedAt}));
	}
}

function createKey({fingerprint, server, incarnation}: SuspectCrash): string {
	return `${fingerprint} ${server} ${incarnation}`;
}
