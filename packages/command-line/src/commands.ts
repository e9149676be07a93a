import {readProductSettings} from '@lacewingpoint/settings';
import {type LayerError, describeError, getErrorMessage} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {buildAuditTrail} from './audit-trail.js';
import {explainRequest} from './explanation.js';
import {readHostStatus} from './host-status.js';
import {type LogRecord, parseLogRecords} from './log-records.js';

/** What the exit codes of lacewingpointctl mean. */
export const exitCodes = {
	success: 0, failure: 1, badInput: 2, notFound: 3, unreachable: 4,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** What the commands need. */
export type CommandContext = {
	readonly isJson: boolean;
	/** Reads a file; standard input where the path is `-`. */
	readText(path: string): Promise<string>;
	print(text: string): void;
	printError(text: string): void;
};

/**
 * Runs one command.
 *
 * @param context - Where it runs.
 * @param words - The command and its arguments.
 * @returns The exit code.
 */
export async function runCommand(context: CommandContext, words: readonly string[]): Promise<ExitCode> {
	const [command, ...rest] = words;
	const [first] = rest;
	if (command === 'explain' && first !== undefined) {
		return explain(context, first, rest.slice(1));
	}

	if (command === 'audit') {
		return audit(context, rest);
	}

	if (command === 'status' && first !== undefined) {
		return showStatus(context, rest);
	}

	if (command === 'settings' && first === 'check' && rest[1] !== undefined) {
		return checkSettings(context, rest[1]);
	}

	return fail(context, {layer: 'command-line', code: 'bad-input', message: `unknown command: ${words.join(' ')}; try --help`}, exitCodes.badInput);
}

function fail(context: CommandContext, error: LayerError, code: ExitCode): ExitCode {
	context.printError(context.isJson ? JSON.stringify({error}) : describeError(error));
	return code;
}

async function readLogs(context: CommandContext, paths: readonly string[]): Promise<Result<LogRecord[], LayerError>> {
	try {
		const texts = await Promise.all((paths.length === 0 ? ['-'] : paths).map(async path => context.readText(path)));
		return Result.ok(parseLogRecords(texts.join('\n')));
	} catch (error) {
		return Result.err({layer: 'command-line', code: 'bad-input', message: getErrorMessage(error)});
	}
}

async function explain(context: CommandContext, id: string, paths: readonly string[]): Promise<ExitCode> {
	const records = await readLogs(context, paths);
	if (records.isErr) {
		return fail(context, records.error, exitCodes.badInput);
	}

	const explained = explainRequest(records.value, id);
	if (explained.isErr) {
		return fail(context, explained.error, exitCodes.notFound);
	}

	const {entries} = explained.value;
	context.print(context.isJson ? JSON.stringify(explained.value) : entries.map(({time, host, text}) => `${time} ${host} ${text}`).join('\n'));
	return exitCodes.success;
}

async function audit(context: CommandContext, paths: readonly string[]): Promise<ExitCode> {
	const records = await readLogs(context, paths);
	if (records.isErr) {
		return fail(context, records.error, exitCodes.badInput);
	}

	for (const entry of buildAuditTrail(records.value)) {
		context.print(context.isJson
			? JSON.stringify(entry)
			: `${entry.time} ${entry.change}; ${entry.hosts.length} hosts by ${entry.everywhereAt}: ${entry.hosts.join(', ')}`);
	}

	return exitCodes.success;
}

async function showStatus(context: CommandContext, addresses: readonly string[]): Promise<ExitCode> {
	let code: ExitCode = exitCodes.success;
	for (const status of await Promise.all(addresses.map(async address => readHostStatus(address)))) {
		if (status.isErr) {
			code = fail(context, status.error, exitCodes.unreachable);
			continue;
		}

		const {address, hasStoreContact, configuration, configurationAge, revision, peers, servers, running, waiting} = status.value;
		context.print(context.isJson
			? JSON.stringify(status.value)
			: `${address}: store ${hasStoreContact ? 'in contact' : 'away'}, configuration ${configuration} (${configurationAge} ms old), revision ${revision}, ${peers} peers, ${servers} servers, ${running} running, ${waiting} waiting`);
	}

	return code;
}

async function checkSettings(context: CommandContext, path: string): Promise<ExitCode> {
	const settings = await readProductSettings(path);
	if (settings.isErr) {
		return fail(context, settings.error, exitCodes.badInput);
	}

	context.print(context.isJson ? JSON.stringify(settings.value) : `${path} is valid`);
	return exitCodes.success;
}
