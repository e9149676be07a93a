import {type Ticket, ticketSchema} from '@lacewingpoint/coordination';
import type {KeyValueService} from '@lacewingpoint/platform';
import type {DeploymentHost} from '@lacewingpoint/settings';
import {type Milliseconds, readSettings} from '@lacewingpoint/shared';
import {type Result} from 'true-myth';
import {type Acceptance, type AskHost, checkAcceptance} from './acceptance.js';
import {appendAudit} from './audit-trail.js';
import {type CommandError, commandError, exitCodeOf} from './command-error.js';
import {type ExitCode, exitCodes} from './exit-codes.js';
import {storeTicket} from './ticket-store.js';

/** What a submission needs. */
export type SubmissionContext = {
	readonly store: KeyValueService;
	readonly hosts: readonly DeploymentHost[];
	readonly ask: AskHost;
	/** How long to wait until the ticket is in force everywhere. */
	readonly patience: Milliseconds;
	readonly now: () => Milliseconds;
	readonly wall: () => Date;
	readonly pause: (time: Milliseconds) => Promise<void>;
};

/** How a submission ended. */
export type SubmissionReport = {
	readonly number: number;
	readonly outcome: 'in-force-everywhere' | 'accepted' | 'stored' | 'refused' | 'unknown';
	readonly exitCode: ExitCode;
	readonly inForce: readonly string[];
	readonly missing: readonly string[];
	readonly message: string;
};

const pollPause: Milliseconds = 100;

/**
 * Checks the text of a ticket.
 *
 * @param text - JSON with comments.
 * @returns The ticket, or the faults with line and column.
 */
export function readTicket(text: string): Result<Ticket, CommandError> {
	return readSettings(text, ticketSchema).mapErr(error => commandError('bad-input', 'the ticket is not valid', error));
}

/**
 * Submits a ticket and waits until it is in force.
 *
 * @param context - The store and the hosts.
 * @param ticket - The ticket.
 * @returns How it ended; `stored` is not yet accepted and may be missing at hosts that still serve.
 */
export async function submitTicket(context: SubmissionContext, ticket: Ticket): Promise<SubmissionReport> {
	const stored = await storeTicket(context.store, ticket);
	if (stored.isErr) {
		const outcome = stored.error.code === 'store-unavailable' ? 'unknown' : 'refused';
		await appendAudit(context.store, ticket, `${outcome}: ${stored.error.message}`, context.wall());
		return {
			number: ticket.number, outcome, exitCode: exitCodeOf(stored.error), inForce: [], missing: [], message: stored.error.message,
		};
	}

	await appendAudit(context.store, ticket, stored.value, context.wall());
	const report = reportOf(ticket, await awaitAcceptance(context, ticket));
	await appendAudit(context.store, ticket, report.message, context.wall());
	return report;
}

async function awaitAcceptance(context: SubmissionContext, ticket: Ticket): Promise<Acceptance> {
	const startedAt = context.now();
	for (;;) {
		const acceptance = await checkAcceptance(context.store, context.hosts, ticket, context.ask);
		if ((acceptance.isAccepted && acceptance.missing.length === 0) || context.now() - startedAt > context.patience) {
			return acceptance;
		}

		await context.pause(pollPause);
	}
}

function reportOf(ticket: Ticket, {isAccepted, inForce, missing}: Acceptance): SubmissionReport {
	const base = {number: ticket.number, inForce, missing};
	if (!isAccepted) {
		return {
			...base, outcome: 'stored', exitCode: exitCodes.storedNotAccepted, message: `stored, not yet in force at ${missing.join(', ')}`,
		};
	}

	return missing.length === 0
		? {
			...base, outcome: 'in-force-everywhere', exitCode: exitCodes.done, message: `in force at all ${inForce.length} hosts`,
		}
		: {
			...base, outcome: 'accepted', exitCode: exitCodes.acceptedNotEverywhere, message: `accepted; ${missing.join(', ')} did not answer and can serve only once they know it`,
		};
}
