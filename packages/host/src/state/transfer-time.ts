import type {Milliseconds} from '@lacewingpoint/shared';
import type {StateChange} from '../ports.js';
import {ageTolerance} from './cluster-state-options.js';

/**
 * Adds the time that a change may have taken from a peer to the age that the peer stated.
 *
 * @param change - The change as the peer sent it.
 * @param transferTime - The longest time that the change may have been on its way, or waited to be read.
 * @returns The change with the age that a target version has at most; an age that this makes uncertain is marked as assumed.
 */
export function addTransferTime<Change extends StateChange>(change: Change, transferTime: Milliseconds): Change {
	if (change.type === 'rollout') {
		return {...change, age: (change.age ?? 0) + transferTime};
	}

	if (change.type !== 'weights' || change.age === undefined) {
		return change;
	}

	return {...change, age: change.age + transferTime, isAgeAssumed: change.isAgeAssumed === true || transferTime > ageTolerance};
}
