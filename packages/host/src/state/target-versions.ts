import type {WeightsTracker} from '@lacewingpoint/routing';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {StateChange} from '../ports.js';
import {ageTolerance, assumedRemainingUse} from './cluster-state-options.js';

/** A published target version of the weights of a model. */
type TargetVersionChange = StateChange & {readonly type: 'weights'};

export type TargetVersionsOptions = {
	readonly log: Logger;
	readonly now: () => Milliseconds;
	/** @returns How long weights may be outdated when a request starts on them. */
	maxWeightsStaleness(): Milliseconds;
	/** Called when a target version or its age has changed. */
	onChanged(change: TargetVersionChange): void;
};

/** Determines how long ago target versions were published, which the store does not tell. */
export class TargetVersions {
	readonly #weightsTracker: WeightsTracker;
	readonly #options: TargetVersionsOptions;

	/**
	 * @param weightsTracker - Receives the target versions.
	 * @param options - Clock, log, limit on outdated weights and callback.
	 */
	constructor(weightsTracker: WeightsTracker, options: TargetVersionsOptions) {
		this.#weightsTracker = weightsTracker;
		this.#options = options;
	}

	/**
	 * Applies a target version from the store or a peer.
	 *
	 * @param change - The target version; its age is `undefined` if it was read from the store.
	 * @param source - Origin of the change for the log: `store` or a peer's name.
	 * @param unchangedUntil - For changes from the store: monotonic time at which the version certainly had not been published.
	 */
	apply(change: TargetVersionChange, source: string, unchangedUntil: Milliseconds): void {
		const {log, now, maxWeightsStaleness, onChanged} = this.#options;
		const {model, version, revision} = change;
		if (change.age === undefined && this.#weightsTracker.isTargetVersion(model, version)) {
			return;
		}

		// A version counts as old as it can be.
		const possibleAge = now() - unchangedUntil;
		const age = change.age ?? Math.min(possibleAge, Math.max(maxWeightsStaleness() - assumedRemainingUse, 0));
		const isAssumed = change.isAgeAssumed ?? (change.age === undefined && possibleAge > ageTolerance);
		const target = {
			version, revision, knownSince: now() - age, isAssumed,
		};
		const wasAssumed = this.#weightsTracker.isAgeAssumed(model, version);
		const isNew = this.#weightsTracker.addTargetVersion(model, target);
		if (isNew) {
			log.info('weights-named', {
				model, version, revision, age: Math.round(age), isAssumed, source,
			});
		}

		if (isNew || wasAssumed !== this.#weightsTracker.isAgeAssumed(model, version)) {
			onChanged({...change, age, isAgeAssumed: isAssumed});
		}
	}

	/** @returns All target versions with their present ages, for a peer. */
	describe(): TargetVersionChange[] {
		const now = this.#options.now();
		return [...this.#weightsTracker.targetVersions()].flatMap(([model, targets]) => targets.map(({version, revision, knownSince, isAssumed}) => ({
			type: 'weights', revision, model, version, age: now - knownSince, isAgeAssumed: isAssumed,
		} as const)));
	}
}
