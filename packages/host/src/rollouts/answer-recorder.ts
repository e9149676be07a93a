import {
	type AnswerOutcome, type RolloutTable, type ServerEntry, encodeOutcome,
} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {Attempt} from '../requests/attempt.js';

/** Ends of an attempt that are not the server's doing; the time until then still shows when it was slow. */
const cutShortResults: ReadonlySet<string> = new Set(['client gone', 'out of time']);

/**
 * Counts a request that is sent to a server of a service with a running rollout.
 *
 * @param rollouts - The rollouts.
 * @param entry - The server.
 * @param route - Name of the request's route.
 */
export function recordSent(rollouts: RolloutTable, entry: ServerEntry, route: string): void {
	record(rollouts, entry, route, {type: 'sent'});
}

/**
 * Counts what became of an attempt. Attempts that the server has refused or that did not reach it tell nothing of its software.
 *
 * @param rollouts - The rollouts.
 * @param attempt - The attempt.
 * @param end - The route, how the attempt ended, and the current monotonic time.
 */
export function recordAnswer(rollouts: RolloutTable, attempt: Attempt, end: {readonly route: string; readonly result: string; readonly now: Milliseconds}): void {
	const {entry} = attempt.chosen;
	if (!attempt.isSent || attempt.isUnreachable || end.result.startsWith('not run')) {
		return;
	}

	const isCutShort = cutShortResults.has(end.result);
	const hasFailed = attempt.status >= 500 || (!isCutShort && end.result !== 'whole');
	record(rollouts, entry, end.route, hasFailed ? {type: 'failed'} : {type: 'answered', took: end.now - attempt.sentAt, isCutShort});
}

function record(rollouts: RolloutTable, {service, softwareVersion}: ServerEntry, route: string, outcome: AnswerOutcome): void {
	const side = rollouts.side(service, softwareVersion);
	if (side !== undefined) {
		rollouts.recordAnswer(service, {
			route, side, outcome: encodeOutcome(outcome), count: 1,
		});
	}
}
