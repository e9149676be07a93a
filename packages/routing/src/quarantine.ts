import type {Milliseconds} from '@lacewingpoint/shared';

export type QuarantineOptions = {
	/** Deaths of different servers, each with the request in flight, that convict it. */
	readonly crashThreshold: number;
	/** Deaths in one failure domain within this time count as one failure of the domain. */
	readonly domainFailureWindow: Milliseconds;
	/** How long a suspicion or a conviction lasts after the last death. */
	readonly suspicionLifetime: Milliseconds;
};

/** A backend server that died with requests in flight. */
export type ServerCrash = {
	readonly server: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly fingerprints: readonly number[];
};

/** A death that a request was part of, as routers tell each other. */
export type SuspectCrash = {
	readonly fingerprint: number;
	readonly server: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly age: Milliseconds;
};

type Death = {readonly server: string; readonly incarnation: string; readonly failureDomain: string; readonly at: Milliseconds};

/**
 * Finds requests that crash the servers that run them. A request in flight at one death is a suspect and is retried where no
 * other suspect runs, so that its next death is its own; a request that took down two servers is quarantined.
 */
export class Quarantine {
	readonly #options: QuarantineOptions;
	readonly #deaths = new Map<number, Death[]>();

	constructor(options: QuarantineOptions) {
		this.#options = options;
	}

	/**
	 * Takes in a death seen here.
	 *
	 * @param death - The dead server and what it ran.
	 * @param now - The present moment.
	 */
	recordCrash(death: ServerCrash, now: Milliseconds): void {
		for (const fingerprint of death.fingerprints) {
			this.#add(fingerprint, {...death, at: now});
		}
	}

	/**
	 * Takes in deaths that a peer saw.
	 *
	 * @param suspects - What the peer tells.
	 * @param now - The present moment.
	 */
	mergeSuspects(suspects: readonly SuspectCrash[], now: Milliseconds): void {
		for (const suspect of suspects) {
			this.#add(suspect.fingerprint, {...suspect, at: now - suspect.age});
		}
	}

	/**
	 * Acquits a request: it ran to its end.
	 *
	 * @param fingerprint - The hash of the request's content and workspace.
	 */
	clearRequest(fingerprint: number): void {
		this.#deaths.delete(fingerprint);
	}

	/**
	 * Tells whether a request may run.
	 *
	 * @param fingerprint - The hash of the request's content and workspace.
	 * @param now - The present moment.
	 * @returns `clear`, `suspect` after one death, or `quarantined`.
	 */
	evaluateStatus(fingerprint: number, now: Milliseconds): 'clear' | 'suspect' | 'quarantined' {
		const independent = this.#independentDeaths(this.#recent(fingerprint, now));
		if (independent === 0) {
			return 'clear';
		}

		return independent >= this.#options.crashThreshold ? 'quarantined' : 'suspect';
	}

	/**
	 * Lists recent deaths for the peers.
	 *
	 * @param now - The present moment.
	 * @returns One entry for each request and death.
	 */
	listSuspects(now: Milliseconds): SuspectCrash[] {
		return [...this.#deaths.keys()].flatMap(fingerprint => this.#recent(fingerprint, now).map(death => ({
			fingerprint, server: death.server, incarnation: death.incarnation, failureDomain: death.failureDomain, age: now - death.at,
		})));
	}

	/**
	 * Drops what is too old.
	 *
	 * @param now - The present moment.
	 */
	removeExpired(now: Milliseconds): void {
		for (const fingerprint of this.#deaths.keys()) {
			if (this.#recent(fingerprint, now).length === 0) {
				this.#deaths.delete(fingerprint);
			}
		}
	}

	#add(fingerprint: number, death: Death): void {
		const deaths = this.#deaths.get(fingerprint) ?? [];
		if (!deaths.some(known => known.incarnation === death.incarnation && known.server === death.server)) {
			this.#deaths.set(fingerprint, [...deaths, death]);
		}
	}

	#recent(fingerprint: number, now: Milliseconds): Death[] {
		return (this.#deaths.get(fingerprint) ?? []).filter(death => now - death.at <= this.#options.suspicionLifetime);
	}

	// A rack that fails takes its servers down together: that is one death, whatever ran there.
	#independentDeaths(deaths: readonly Death[]): number {
		const counted: Death[] = [];
		for (const death of deaths.toSorted((left, right) => left.at - right.at)) {
			const isSameFailure = counted.some(known => known.failureDomain === death.failureDomain && death.at - known.at <= this.#options.domainFailureWindow);
			if (!isSameFailure) {
				counted.push(death);
			}
		}

		return counted.length;
	}
}
