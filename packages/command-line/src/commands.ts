import {readProductSettings} from '@lacewingpoint/settings';
import {type LayerError, describeError, getErrorMessage} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {buildAuditTrail} from './audit-trail.js';
import {checkConfiguration, describeCheck} from './configuration-check.js';
import {explainRequest} from './explanation.js';
import {readHostStatus} from './host-status.js';
import {type LogRecord, parseLogRecords} from './log-records.js';

/** Exit codes of lacewingpointctl. */
export const exitCodes = {
	success: 0, failure: 1, badInput: 2, notFound: 3, unreachable: 4,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Input and output of the commands. */
export type CommandContext = {
	readonly isJson: boolean;
	/** Reads a file, or standard input if the path is `-`. */
	readText(path: string): Promise<string>;
	/** Prints a line to standard output. */
	print(text: string): void;
	/** Prints a line to standard error. */
	printError(text: string): void;
};

/**
 * Runs one command.
 *
 * @param context - Input and output of the command.
 * @param commandArguments - The command and its arguments.
 * @returns The exit code.
 */
export async function runCommand(context: CommandContext, commandArguments: readonly string[]): Promise<ExitCode> {
	const [command, ...rest] = commandArguments;
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

	if (command === 'configuration' && first === 'check' && rest[1] !== undefined) {
		return reviewConfigurationFile(context, rest[1], rest[2]);
	}

	return fail(context, {layer: 'command-line', code: 'bad-input', message: `unknown command or missing argument: ${commandArguments.join(' ')}; try --help`}, exitCodes.badInput);
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

	const explanation = explainRequest(records.value, id);
	if (explanation.isErr) {
		return fail(context, explanation.error, exitCodes.notFound);
	}

	const {entries} = explanation.value;
	context.print(context.isJson ? JSON.stringify(explanation.value) : entries.map(({time, host, text}) => `${time} ${host} ${text}`).join('\n'));
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
			: `${entry.time} ${entry.change}; on ${entry.hosts.length} hosts by ${entry.everywhereAt}: ${entry.hosts.join(', ')}`);
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
			: `${address}: store ${hasStoreContact ? 'connected' : 'unreachable'}, configuration ${configuration} (applied ${configurationAge} ms ago), store revision ${revision}, ${peers} peers, ${servers} servers, ${running} requests running, ${waiting} queued`);
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

async function reviewConfigurationFile(context: CommandContext, path: string, inForcePath: string | undefined): Promise<ExitCode> {
	let texts: string[];
	try {
		texts = await Promise.all([path, ...(inForcePath === undefined ? [] : [inForcePath])].map(async file => context.readText(file)));
	} catch (error) {
		return fail(context, {layer: 'command-line', code: 'bad-input', message: getErrorMessage(error)}, exitCodes.badInput);
	}

	const check = checkConfiguration(texts[0]!, texts[1]);
	if (check.isErr) {
		return fail(context, check.error, exitCodes.badInput);
	}

	const {version, findings, differences} = check.value;
	const lines = context.isJson
		? [...findings, ...differences ?? [], {version}].map(item => JSON.stringify(item))
		: describeCheck(check.value);
	for (const line of lines) {
		context.print(line);
	}

	return findings.some(({severity}) => severity === 'error') ? exitCodes.failure : exitCodes.success;
}
