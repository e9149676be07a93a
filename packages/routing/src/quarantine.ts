import type {Milliseconds} from '@lacewingpoint/shared';

export type QuarantineOptions = {
	/** The number of independent server crashes with a request in flight after which the request is quarantined. */
	readonly crashThreshold: number;
	/** Crashes in one failure domain within this time count as one failure of the domain. */
	readonly domainFailureWindow: Milliseconds;
	/** How long a crash counts against a request, whether the request is a suspect or quarantined. */
	readonly suspicionLifetime: Milliseconds;
};

/** A backend server that crashed with requests in flight. */
export type ServerCrash = {
	readonly server: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	/** Hashes of the content and workspace of the requests in flight. */
	readonly fingerprints: readonly number[];
};

/** A server crash during which a request was in flight, as hosts announce it to each other. */
export type SuspectCrash = {
	/** The hash of the request's content and workspace. */
	readonly fingerprint: number;
	/** Hashes of the prompt parts that other requests may share; empty if the server had begun to respond long before the crash. */
	readonly parts: readonly number[];
	readonly server: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	/** The time since the crash. */
	readonly age: Milliseconds;
};

type RecordedCrash = {readonly server: string; readonly incarnation: string; readonly failureDomain: string; readonly parts: readonly number[]; readonly at: Milliseconds};

/**
 * Detects requests that crash the servers that execute them. A request in flight during a crash is a suspect, and is quarantined once
 * it was in flight during `crashThreshold` independent crashes.
 */
export class Quarantine {
	readonly #options: QuarantineOptions;
	readonly #crashes = new Map<number, RecordedCrash[]>();

	constructor(options: QuarantineOptions) {
		this.#options = options;
	}

	/**
	 * Records a crash that this host observed.
	 *
	 * @param crash - The server and the requests that were in flight.
	 * @param now - Current monotonic time.
	 */
	recordCrash(crash: ServerCrash, now: Milliseconds): void {
		for (const fingerprint of crash.fingerprints) {
			this.#addCrash(fingerprint, {...crash, parts: [], at: now});
		}
	}

	/**
	 * Merges crashes that a peer announced; a crash that is known already is not counted again.
	 *
	 * @param suspects - One entry for each request and crash.
	 * @param now - Current monotonic time.
	 */
	mergeSuspects(suspects: readonly SuspectCrash[], now: Milliseconds): void {
		for (const suspect of suspects) {
			this.#addCrash(suspect.fingerprint, {...suspect, at: now - suspect.age});
		}
	}

	/**
	 * Clears a request of all crashes, because it was executed to its end.
	 *
	 * @param fingerprint - The hash of the request's content and workspace.
	 */
	clearRequest(fingerprint: number): void {
		this.#crashes.delete(fingerprint);
	}

	/**
	 * Evaluates whether a request may be executed.
	 *
	 * @param fingerprint - The hash of the request's content and workspace.
	 * @param now - Current monotonic time.
	 * @returns `clear` without a crash, `suspect` below the threshold of crashes, or `quarantined`.
	 */
	evaluateStatus(fingerprint: number, now: Milliseconds): 'clear' | 'suspect' | 'quarantined' {
		const independentCrashes = this.#countIndependentCrashes(this.#recentCrashes(fingerprint, now));
		if (independentCrashes === 0) {
			return 'clear';
		}

		return independentCrashes >= this.#options.crashThreshold ? 'quarantined' : 'suspect';
	}

	/**
	 * Lists the recent crashes, to be announced to the peers.
	 *
	 * @param now - Current monotonic time.
	 * @returns One entry for each request and crash.
	 */
	listSuspects(now: Milliseconds): SuspectCrash[] {
		return [...this.#crashes.keys()].flatMap(fingerprint => this.#recentCrashes(fingerprint, now).map(crash => ({
			fingerprint, parts: crash.parts, server: crash.server, incarnation: crash.incarnation, failureDomain: crash.failureDomain, age: now - crash.at,
		})));
	}

	/**
	 * Removes crashes that no longer count.
	 *
	 * @param now - Current monotonic time.
	 */
	removeExpired(now: Milliseconds): void {
		for (const fingerprint of this.#crashes.keys()) {
			if (this.#recentCrashes(fingerprint, now).length === 0) {
				this.#crashes.delete(fingerprint);
			}
		}
	}

	#addCrash(fingerprint: number, crash: RecordedCrash): void {
		const crashes = this.#crashes.get(fingerprint) ?? [];
		if (!crashes.some(other => other.incarnation === crash.incarnation && other.server === crash.server)) {
			this.#crashes.set(fingerprint, [...crashes, crash]);
		}
	}

	#recentCrashes(fingerprint: number, now: Milliseconds): RecordedCrash[] {
		return (this.#crashes.get(fingerprint) ?? []).filter(crash => now - crash.at <= this.#options.suspicionLifetime);
	}

	// The failure of a rack stops its servers together; it counts as one crash, whatever requests were in flight.
	#countIndependentCrashes(crashes: readonly RecordedCrash[]): number {
		const counted: RecordedCrash[] = [];
		for (const crash of crashes.toSorted((left, right) => left.at - right.at)) {
			const isSameFailure = counted.some(other => other.failureDomain === crash.failureDomain && crash.at - other.at <= this.#options.domainFailureWindow);
			if (!isSameFailure) {
				counted.push(crash);
			}
		}

		return counted.length;
	}
}
