import type {Milliseconds} from '@lacewingpoint/shared';

export type WeightsTrackerOptions = {
	/** Named versions remembered for each model: a server may be several behind. */
	readonly retainedVersions: number;
	/** The holder tells again and again which servers are to run empty; its word counts this long. */
	readonly rolloutDrainingExpiry: Milliseconds;
};

/** A version of a model's weights that the operators named. */
export type TargetVersion = {
	readonly version: number;
	readonly revision: number;
	readonly knownSince: Milliseconds;
	/** The moment is a guess: the version was found at a start, and nobody who saw it being named has told yet. */
	readonly isAssumed: boolean;
};

// A moment that somebody saw goes before a guess; of two alike the earlier one stands.
function moreReliable(left: TargetVersion, right: TargetVersion): TargetVersion {
	if (left.isAssumed !== right.isAssumed) {
		return left.isAssumed ? right : left;
	}

	return left.knownSince <= right.knownSince ? left : right;
}

/** What is known of weights: which versions were named and when, which servers were seen to run them, and which are about to. */
export class WeightsTracker {
	readonly #options: WeightsTrackerOptions;
	/** Named versions by model, oldest first. */
	readonly #named = new Map<string, readonly TargetVersion[]>();
	/** Versions that servers were seen to run, fresher than their entries: by server, then model. */
	readonly #seen = new Map<string, Map<string, number>>();
	readonly #loadingUntil = new Map<string, Milliseconds>();
	readonly #emptyingUntil = new Map<string, Milliseconds>();

	constructor(options: WeightsTrackerOptions) {
		this.#options = options;
	}

	/**
	 * Takes over that a version was named.
	 *
	 * @param model - The model.
	 * @param named - The version.
	 * @returns Whether it was unknown.
	 */
	addTargetVersion(model: string, named: TargetVersion): boolean {
		const known = this.#named.get(model) ?? [];
		const before = known.find(other => other.version === named.version);
		const others = known.filter(other => other !== before);
		const kept = before === undefined ? named : moreReliable(before, named);
		this.#named.set(model, [...others, kept].toSorted((left, right) => left.version - right.version).slice(-this.#options.retainedVersions));
		return before === undefined;
	}

	/** Whether the age of some version is a guess. */
	get hasAssumedAges(): boolean {
		return [...this.#named.values()].some(named => named.some(({isAssumed}) => isAssumed));
	}

	/**
	 * Makes all ages longer, by a time that the steady clock did not count.
	 *
	 * @param time - The time.
	 */
	addSuspendedTime(time: Milliseconds): void {
		for (const [model, named] of this.#named) {
			this.#named.set(model, named.map(entry => ({...entry, knownSince: entry.knownSince - time})));
		}
	}

	/** @returns All named versions, by model. */
	targetVersions(): ReadonlyMap<string, readonly TargetVersion[]> {
		return this.#named;
	}

	/**
	 * Reads the version that a model's weights ought to have.
	 *
	 * @param model - The model.
	 * @returns The newest version named; nothing when none was.
	 */
	latestTarget(model: string): TargetVersion | undefined {
		return this.#named.get(model)?.at(-1);
	}

	/**
	 * Tells how long a version has been out of date.
	 *
	 * @param model - The model.
	 * @param version - The version that a server runs.
	 * @param now - The present moment.
	 * @returns The time since the next newer version was named; 0 when there is none.
	 */
	outdatedTime(model: string, version: number, now: Milliseconds): Milliseconds {
		const newer = this.#named.get(model)?.find(named => named.version > version);
		return newer === undefined ? 0 : now - newer.knownSince;
	}

	/**
	 * Reads the newest version that a server was seen to run.
	 *
	 * @param server - The server.
	 * @param model - The model.
	 * @returns The version, 0 when none was seen.
	 */
	observedVersion(server: string, model: string): number {
		return this.#seen.get(server)?.get(model) ?? 0;
	}

	/**
	 * Takes over that a server runs a version; a load is over with it.
	 *
	 * @param server - The server.
	 * @param model - The model.
	 * @param version - The version.
	 */
	recordObservedVersion(server: string, model: string, version: number): void {
		const seen = this.#seen.get(server) ?? new Map<string, number>();
		seen.set(model, version);
		this.#seen.set(server, seen);
		this.#loadingUntil.delete(server);
	}

	/**
	 * Notes that a server is about to load weights and takes no requests, or that it takes them again.
	 *
	 * @param server - The server.
	 * @param until - When the load is over at the latest; in the past when it is over.
	 * @param now - The present moment.
	 */
	recordLoading(server: string, until: Milliseconds, now: Milliseconds): void {
		if (until <= now) {
			this.#loadingUntil.delete(server);
		} else {
			this.#loadingUntil.set(server, Math.max(this.#loadingUntil.get(server) ?? 0, until));
		}
	}

	/**
	 * Tells whether a server is loading weights.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 * @returns Whether it takes no requests for now.
	 */
	isLoading(server: string, now: Milliseconds): boolean {
		return now < (this.#loadingUntil.get(server) ?? 0);
	}

	/**
	 * Notes that a server is to be left to run empty.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 */
	recordRolloutDraining(server: string, now: Milliseconds): void {
		this.#emptyingUntil.set(server, now + this.#options.rolloutDrainingExpiry);
	}

	/**
	 * Tells whether a server is to be left to run empty.
	 *
	 * @param server - The server.
	 * @param now - The present moment.
	 * @returns Whether others go first.
	 */
	isRolloutDraining(server: string, now: Milliseconds): boolean {
		return now < (this.#emptyingUntil.get(server) ?? 0);
	}

	/**
	 * Forgets a server, as when it has started anew.
	 *
	 * @param server - The server.
	 */
	clearServer(server: string): void {
		this.#seen.delete(server);
		this.#loadingUntil.delete(server);
		this.#emptyingUntil.delete(server);
	}
}
