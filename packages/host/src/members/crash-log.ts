import type {SuspectCrash} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {RecordedCrash} from './gossip-events.js';

/** Known crashes are repeated in full messages for this long, because datagrams get lost. */
const repeatTime: Milliseconds = 3000;

/** Limit on the repeated crashes of a message, which keeps it from being fragmented. */
const maximumRepeatedCrashes = 24;

/** Limit on the remembered crashes, whatever peers report; the oldest are forgotten first. */
const maximumCrashes = 4096;

type LoggedCrash = RecordedCrash & {readonly source: string; readonly key: string};

/** The recent crashes of servers and the peers that reported them. */
export class CrashLog {
	/** In the order of their times. */
	readonly #crashes: LoggedCrash[] = [];
	readonly #known = new Set<string>();

	/**
	 * Adds crashes.
	 *
	 * @param crashes - One entry for each request that was in flight.
	 * @param source - The host that reported them.
	 * @param now - Current monotonic time.
	 * @returns The crashes that were not known yet.
	 */
	add(crashes: readonly SuspectCrash[], source: string, now: Milliseconds): RecordedCrash[] {
		const expired = this.#crashes.findIndex(({recordedAt}) => now - recordedAt < repeatTime);
		this.#forget(expired === -1 ? this.#crashes.length : expired);
		const added = crashes
			.map(crash => ({
				crash, recordedAt: now, source, key: createKey(crash),
			}))
			.filter(({key}) => !this.#known.has(key));
		for (const logged of added) {
			this.#crashes.push(logged);
			this.#known.add(logged.key);
		}

		this.#forget(Math.max(this.#crashes.length - maximumCrashes, 0));
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

	#forget(count: number): void {
		for (const {key} of this.#crashes.splice(0, count)) {
			this.#known.delete(key);
		}
	}
}

function createKey({fingerprint, server, incarnation}: SuspectCrash): string {
	return `${fingerprint} ${server} ${incarnation}`;
}
