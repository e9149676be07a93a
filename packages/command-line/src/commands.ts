import {createHash, randomBytes} from 'node:crypto';
import {
	type BackendState, type Ticket, type TicketObject, type TicketTable, objectKinds,
} from '@lacewingpoint/coordination';
import {describeError, messageOf} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {readAudit} from './audit-trail.js';
import {type CommandError, commandError, exitCodeOf} from './command-error.js';
import {type ExitCode, exitCodes} from './exit-codes.js';
import {readStatus} from './host-client.js';
import {
	type SubmissionContext, type SubmissionReport, readTicket, submitTicket,
} from './submission.js';
import {readTickets} from './ticket-store.js';

/** What the commands need. */
export type CommandContext = SubmissionContext & {
	readonly readText: (path: string) => Promise<string>;
	readonly author: string;
	readonly number: number | undefined;
	readonly isJson: boolean;
	readonly print: (text: string) => void;
	readonly printError: (text: string) => void;
};

type Change = (table: TicketTable) => Result<{readonly objects: Ticket['objects']; readonly reason: string}, CommandError>;

const numberAttempts = 5;
const secretBytes = 32;

/**
 * Runs one command.
 *
 * @param context - Where it runs.
 * @param words - The command's words.
 * @returns The exit code.
 */
export async function runCommand(context: CommandContext, words: readonly string[]): Promise<ExitCode> {
	const [first = '', second = '', third] = words;
	switch (`${first} ${second}`) {
		case 'ticket submit': {
			return submitFile(context, third ?? '');
		}

		case 'ticket show': {
			return showTickets(context, third);
		}

		case 'key issue': {
			return issueKey(context, third ?? '');
		}

		case 'key withdraw': {
			return change(context, withdrawKey(third ?? ''));
		}

		case 'settings check': {
			context.print(context.isJson ? JSON.stringify({settings: 'valid'}) : 'the settings are valid');
			return exitCodes.done;
		}

		case 'status ': {
			return showStatus(context);
		}

		case 'audit ': {
			return showAudit(context);
		}

		default: {
			if (first === 'drain' && second !== '') {
				return change(context, drainBackend(second));
			}

			return fail(context, commandError('bad-input', `unknown command: ${words.join(' ')}; try --help`));
		}
	}
}

function fail(context: CommandContext, error: CommandError): ExitCode {
	context.printError(context.isJson ? JSON.stringify({error}) : describeError(error));
	return exitCodeOf(error);
}

async function submitFile(context: CommandContext, path: string): Promise<ExitCode> {
	let text: string;
	try {
		text = await context.readText(path);
	} catch (error) {
		return fail(context, commandError('bad-input', messageOf(error)));
	}

	const ticket = readTicket(text);
	return ticket.isErr ? fail(context, ticket.error) : report(context, await submitTicket(context, ticket.value));
}

function report(context: CommandContext, submission: SubmissionReport): ExitCode {
	const print = submission.exitCode === exitCodes.done ? context.print : context.printError;
	if (context.isJson) {
		context.print(JSON.stringify(submission));
	} else {
		print(`ticket ${submission.number}: ${submission.message}`);
	}

	return submission.exitCode;
}

// Another operator may take the next number first; then the change is composed anew on what that ticket set.
async function change(context: CommandContext, compose: Change): Promise<ExitCode> {
	for (let attempt = 1; ; attempt++) {
		const read = await readTickets(context.store);
		const composed = read.andThen(({table}) => compose(table));
		if (read.isErr || composed.isErr) {
			return fail(context, read.isErr ? read.error : composed.unwrapOrElse(error => error) as CommandError);
		}

		const number = context.number ?? read.value.table.highestNumber + 1;
		const submission = await submitTicket(context, {number, author: context.author, ...composed.value});
		if (submission.outcome !== 'refused' || context.number !== undefined || attempt >= numberAttempts) {
			return report(context, submission);
		}
	}
}

async function issueKey(context: CommandContext, workspace: string): Promise<ExitCode> {
	const secret = `lwp_${randomBytes(secretBytes).toString('base64url')}`;
	const sha256 = createHash('sha256').update(secret).digest('hex');
	const name = `key-${sha256.slice(0, 12)}`;
	const code = await change(context, table => (table.get('workspace', workspace)?.state
		? Result.ok({reason: `issue a key for ${workspace}`, objects: [{kind: 'key', name, state: {sha256, workspace}}]})
		: Result.err(commandError('not-found', `no workspace ${workspace}`))));
	if (code === exitCodes.done || code === exitCodes.acceptedNotEverywhere || code === exitCodes.storedNotAccepted) {
		context.print(context.isJson ? JSON.stringify({key: name, secret}) : `key ${name}\nsecret ${secret}`);
	}

	return code;
}

function withdrawKey(name: string): Change {
	return table => (table.get('key', name)?.state
		? Result.ok({reason: `withdraw ${name}`, objects: [{kind: 'key', name, state: null}]})
		: Result.err(commandError('not-found', `no key ${name}`)));
}

function drainBackend(name: string): Change {
	return table => {
		const state = table.get('backend', name)?.state as BackendState | undefined;
		return state
			? Result.ok({reason: `drain ${name}`, objects: [{kind: 'backend', name, state: {...state, drained: true}}]})
			: Result.err(commandError('not-found', `no backend server ${name}`));
	};
}

async function showTickets(context: CommandContext, wanted: string | undefined): Promise<ExitCode> {
	const read = await readTickets(context.store);
	if (read.isErr) {
		return fail(context, read.error);
	}

	if (wanted === undefined) {
		const state = objectKinds.flatMap(kind => read.value.table.list(kind).map(register => ({...register})));
		context.print(context.isJson
			? JSON.stringify(state)
			: state.map(({kind, name, number, state: value}) => `${kind}/${name} (ticket ${number}) ${JSON.stringify(value)}`).join('\n'));
		return exitCodes.done;
	}

	const ticket = read.value.tickets.find(candidate => String(candidate.number) === wanted);
	if (ticket === undefined) {
		return fail(context, commandError('not-found', `no ticket ${wanted}`));
	}

	context.print(JSON.stringify(ticket, undefined, context.isJson ? undefined : '\t'));
	return exitCodes.done;
}

async function showStatus(context: CommandContext): Promise<ExitCode> {
	const statuses = await Promise.all(context.hosts.map(async host => ({host: host.id, status: await readStatus(host)})));
	if (context.isJson) {
		context.print(JSON.stringify(statuses));
		return exitCodes.done;
	}

	for (const {host, status} of statuses) {
		context.print(status === undefined
			? `${host}: does not answer`
			: `${host}: contact ${status.contact}, epoch ${status.epoch}${status.joint ? ' (joint)' : ''}, highest ticket ${status.highestTicket}, state ${status.digest.toString(16)}`);
	}

	return exitCodes.done;
}

async function showAudit(context: CommandContext): Promise<ExitCode> {
	const records = await readAudit(context.store);
	if (records.isErr) {
		return fail(context, records.error);
	}

	for (const record of records.value) {
		context.print(context.isJson
			? JSON.stringify(record)
			: `${record.at} ticket ${record.number} by ${record.author}: ${record.objects.join(', ')}: ${record.outcome}`);
	}

	return exitCodes.done;
}
