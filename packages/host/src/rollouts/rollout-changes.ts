import type {RolloutTable} from '@lacewingpoint/routing';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import type {StateChange} from '../ports.js';

/** How long a share is in force at a host after its last grant: several intervals of the grants, and a part of the time for a roll-back. */
export const grantLifetime: Milliseconds = 1500;

/** Longer than a store takes to deliver a change that was just made. */
const longestDelivery: Milliseconds = 5000;

type RolloutChange = StateChange & {readonly type: 'rollout' | 'rollout-progress'};

type ChangeContext = {
	readonly now: Milliseconds;
	/** Monotonic time at which a change from the store had certainly not been made. */
	readonly unchangedUntil: Milliseconds;
	readonly source: string;
	readonly log: Logger;
};

/**
 * Applies a rollout request or the progress of a rollout.
 *
 * @param rollouts - The rollouts as this host knows them.
 * @param change - The change.
 * @param context - When and from where it came, and the log.
 * @returns Whether it changed what is known, so that peers are to be told.
 */
export function applyRolloutChange(rollouts: RolloutTable, change: RolloutChange, {now, unchangedUntil, source, log}: ChangeContext): boolean {
	if (change.type === 'rollout') {
		const possibleAge = now - unchangedUntil;
		// A request found by the first read may be older; the record of its rollout tells for how long it has been running.
		const age = change.age ?? (possibleAge <= longestDelivery ? possibleAge : 0);
		const {id, service, target, timeBudget} = change.request;
		const isNew = rollouts.applyRequest(change.request, change.revision, now - age);
		if (isNew) {
			log.info('rollout', {
				service, target, timeBudget, request: id, revision: change.revision, age: Math.round(age), source,
			});
		}

		return isNew;
	}

	const {service, target, state, step, term} = change.progress;
	const hasChanged = rollouts.applyProgress(change.progress, change.revision);
	if (hasChanged) {
		log.info('rollout-progress', {
			service, target, state, step, term, revision: change.revision, source,
		});
	}

	return hasChanged;
}

/**
 * Lists the rollouts for a peer.
 *
 * @param rollouts - The rollouts as this host knows them.
 * @param now - Current monotonic time.
 * @returns The requests, each followed by its progress.
 */
export function listRolloutChanges(rollouts: RolloutTable, now: Milliseconds): RolloutChange[] {
	return [...rollouts.list().values()].flatMap(({request, requestRevision, requestedAt, progress, progressRevision}): RolloutChange[] => [
		{
			type: 'rollout', revision: requestRevision, request, age: now - requestedAt,
		},
		...(progress === undefined ? [] : [{type: 'rollout-progress', revision: progressRevision, progress} as const]),
	]);
}
