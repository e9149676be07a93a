import type {Milliseconds} from '@lacewingpoint/shared';

export type WeightsTrackerOptions = {
	/** How many target versions are kept for each model; a server may be several versions behind. */
	readonly retainedVersions: number;
	/** How long an announcement that a server is draining for a rollout is valid; the lease holder repeats it. */
	readonly rolloutDrainingExpiry: Milliseconds;
};

/** A version of a model's weights that operators have published as the target. */
export type TargetVersion = {
	readonly version: number;
	/** The store revision of the publication. */
	readonly revision: number;
	/** The monotonic time of the publication, as far as it is known. */
	readonly knownSince: Milliseconds;
	/** The time is an assumption: the version was found at startup, or after a suspension or an interruption, and no peer that observed its publication has reported it yet. */
	readonly isAssumed: boolean;
};

// An observed time takes precedence over an assumed one; of two of the same kind the earlier one counts.
function moreReliable(left: TargetVersion, right: TargetVersion): TargetVersion {
	if (left.isAssumed !== right.isAssumed) {
		return left.isAssumed ? right : left;
	}

	return left.knownSince <= right.knownSince ? left : right;
}

/** Tracks model weights: the target versions and their ages, the versions observed at servers, and the servers about to load. */
export class WeightsTracker {
	readonly #options: WeightsTrackerOptions;
	/** By model, oldest first. */
	readonly #targetVersions = new Map<string, readonly TargetVersion[]>();
	/** Versions observed at servers, more recent than their registered entries: by server, then model. */
	readonly #observedVersions = new Map<string, Map<string, number>>();
	readonly #loadingUntil = new Map<string, Milliseconds>();
	readonly #drainingUntil = new Map<string, Milliseconds>();

	constructor(options: WeightsTrackerOptions) {
		this.#options = options;
	}

	/**
	 * Adds a target version, or merges what is known of its age.
	 *
	 * @param model - The model's name.
	 * @param target - The version, with the time of its publication.
	 * @returns Whether the version is new.
	 */
	addTargetVersion(model: string, target: TargetVersion): boolean {
		const known = this.#targetVersions.get(model) ?? [];
		const previous = known.find(other => other.version === target.version);
		const others = known.filter(other => other !== previous);
		const merged = previous === undefined ? target : moreReliable(previous, target);
		this.#targetVersions.set(model, [...others, merged].toSorted((left, right) => left.version - right.version).slice(-this.#options.retainedVersions));
		return previous === undefined;
	}

	/**
	 * Tells whether a version is known as a target version.
	 *
	 * @param model - The model's name.
	 * @param version - The version of its weights.
	 * @returns Whether it was added and is still kept.
	 */
	isTargetVersion(model: string, version: number): boolean {
		return this.#targetVersions.get(model)?.some(target => target.version === version) === true;
	}

	/**
	 * Tells whether the age of a target version is assumed.
	 *
	 * @param model - The model's name.
	 * @param version - The version of its weights.
	 * @returns Whether it is known and its age is assumed.
	 */
	isAgeAssumed(model: string, version: number): boolean {
		return this.#targetVersions.get(model)?.some(target => target.version === version && target.isAssumed) === true;
	}

	/** Whether the age of any target version is assumed. */
	get hasAssumedAges(): boolean {
		return this.listAssumedTargets().length > 0;
	}

	/** @returns The target versions with an assumed age, each as model and version. */
	listAssumedTargets(): string[] {
		return [...this.#targetVersions].flatMap(([model, targets]) => targets.filter(({isAssumed}) => isAssumed).map(({version}) => `${model}@${version}`));
	}

	/**
	 * Adds time that the monotonic clock did not count, such as a suspension of the machine, to the age of all versions.
	 *
	 * @param duration - The time to add.
	 */
	addSuspendedTime(duration: Milliseconds): void {
		for (const [model, targets] of this.#targetVersions) {
			this.#targetVersions.set(model, targets.map(target => ({...target, knownSince: target.knownSince - duration})));
		}
	}

	/** @returns The target versions by model, oldest first. */
	targetVersions(): ReadonlyMap<string, readonly TargetVersion[]> {
		return this.#targetVersions;
	}

	/**
	 * Returns the version that all servers of a model are to run.
	 *
	 * @param model - The model's name.
	 * @returns The newest target version, `undefined` when there is none.
	 */
	latestTarget(model: string): TargetVersion | undefined {
		return this.#targetVersions.get(model)?.at(-1);
	}

	/**
	 * Returns how long a version has been outdated.
	 *
	 * @param model - The model's name.
	 * @param version - The version that a server runs.
	 * @param now - Current monotonic time.
	 * @returns The longest time since a newer version was published; 0 when there is none.
	 */
	outdatedTime(model: string, version: number, now: Milliseconds): Milliseconds {
		const newer = this.#targetVersions.get(model)?.filter(target => target.version > version) ?? [];
		return newer.length === 0 ? 0 : now - Math.min(...newer.map(target => target.knownSince));
	}

	/**
	 * Returns the version last observed at a server.
	 *
	 * @param server - The server's id.
	 * @param model - The model's name.
	 * @returns The version; 0 when none was observed.
	 */
	observedVersion(server: string, model: string): number {
		return this.#observedVersions.get(server)?.get(model) ?? 0;
	}

	/**
	 * Records the version that a server was observed to run, which ends its loading.
	 *
	 * @param server - The server's id.
	 * @param model - The model's name.
	 * @param version - The version of the model's weights.
	 */
	recordObservedVersion(server: string, model: string, version: number): void {
		const versions = this.#observedVersions.get(server) ?? new Map<string, number>();
		versions.set(model, version);
		this.#observedVersions.set(server, versions);
		this.#loadingUntil.delete(server);
	}

	/**
	 * Records that a server is about to load weights and accepts no requests, or that it accepts them again.
	 *
	 * @param server - The server's id.
	 * @param until - The latest time at which loading ends; a time in the past ends it now.
	 * @param now - Current monotonic time.
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
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 * @returns Whether the server accepts no requests for now.
	 */
	isLoading(server: string, now: Milliseconds): boolean {
		return now < (this.#loadingUntil.get(server) ?? 0);
	}

	/**
	 * Records that a server is draining for a rollout.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 */
	recordRolloutDraining(server: string, now: Milliseconds): void {
		this.#drainingUntil.set(server, now + this.#options.rolloutDrainingExpiry);
	}

	/**
	 * Tells whether a server is draining for a rollout.
	 *
	 * @param server - The server's id.
	 * @param now - Current monotonic time.
	 * @returns Whether other servers are to be preferred.
	 */
	isRolloutDraining(server: string, now: Milliseconds): boolean {
		return now < (this.#drainingUntil.get(server) ?? 0);
	}

	/**
	 * Discards everything known about a server, for example after its restart.
	 *
	 * @param server - The server's id.
	 */
	clearServer(server: string): void {
		this.#observedVersions.delete(server);
		this.#loadingUntil.delete(server);
		this.#drainingUntil.delete(server);
	}
}
