import type {LayerError, Milliseconds} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import * as v from 'valibot';
import type {LogRecord} from './log-records.js';

const attemptSchema = v.looseObject({
	server: v.string(),
	at: v.optional(v.number()),
	result: v.string(),
	took: v.optional(v.number()),
	predicted: v.optional(v.number()),
	cached: v.optional(v.number()),
	fetched: v.optional(v.number()),
	unread: v.optional(v.number()),
	weights: v.optional(v.number()),
	framing: v.optional(v.string()),
	resetCheck: v.optional(v.string()),
	partialEvent: v.optional(v.number()),
});

const requestSchema = v.looseObject({
	id: v.string(),
	outcome: v.string(),
	status: v.number(),
	cause: v.optional(v.string()),
	took: v.optional(v.number()),
	waited: v.optional(v.number()),
	deadline: v.optional(v.number()),
	retryAfter: v.optional(v.number()),
	configuration: v.optional(v.number()),
	configurationAge: v.optional(v.number()),
	revision: v.optional(v.number()),
	sends: v.optional(v.array(attemptSchema), []),
});

type RequestRecord = v.InferOutput<typeof requestSchema>;

/** A log line that explains the outcome of a request. */
export type ExplanationEntry = {readonly time: string; readonly host: string; readonly text: string};

/** All log lines that explain the outcome of a request, in order of time. */
export type Explanation = {readonly id: string; readonly entries: readonly ExplanationEntry[]};

/** Events about a server or a host are considered if they precede the end of the request by at most this time. */
const timeBefore: Milliseconds = 10_000;

/** Server crashes and refused connections are logged shortly after the requests that they interrupted. */
const timeAfter: Milliseconds = 1000;

/** Events about a server, and the log field that contains the server's id. */
const serverEvents: ReadonlyMap<string, string> = new Map([
	['server', 'id'],
	['server-gone', 'id'],
	['weights', 'server'],
	['order', 'server'],
	['order-failed', 'server'],
	['server-unreachable', 'server'],
	['server-death', 'server'],
	['server-leaving', 'server'],
	['server-pause', 'server'],
]);

/** Events about the state of the host that served the request. */
const hostEvents: ReadonlySet<string> = new Set(['configuration', 'weights-named', 'rollout', 'rollout-progress', 'store-lost', 'store-found', 'store-restored', 'history-lost', 'clock-jump', 'start', 'stop', 'reload']);

/**
 * Explains the outcome of a request: collects its own log lines, and those about the servers that it was sent to and about the
 * state of its host that were written around the end of the request.
 *
 * @param records - The log records of all hosts.
 * @param id - Id of the request.
 * @returns The explanation, or a `not-found` error if no log line is about the request.
 */
export function explainRequest(records: readonly LogRecord[], id: string): Result<Explanation, LayerError<'not-found'>> {
	const requestRecords = records.filter(record => record.event === 'request' && record.id === id);
	if (requestRecords.length === 0) {
		return Result.err({layer: 'command-line', code: 'not-found', message: `no request ${id} in ${records.length} log lines`});
	}

	const entries = new Set<LogRecord>(requestRecords);
	for (const record of requestRecords) {
		const servers = new Set(attemptsOf(record).map(attempt => attempt.server));
		const endedAt = Date.parse(record.time);
		for (const candidate of records) {
			const age = endedAt - Date.parse(candidate.time);
			const isWithinWindow = age <= timeBefore && age >= -timeAfter;
			if (isWithinWindow && (isAboutServer(candidate, servers) || (candidate.identity === record.identity && hostEvents.has(candidate.event)))) {
				entries.add(candidate);
			}
		}
	}

	const ordered = [...entries].toSorted((left, right) => left.time.localeCompare(right.time));
	return Result.ok({id, entries: ordered.map(record => ({time: record.time, host: record.identity, text: describeRecord(record)}))});
}

function isAboutServer(record: LogRecord, servers: ReadonlySet<string>): boolean {
	const field = serverEvents.get(record.event);
	return field !== undefined && servers.has(String(record[field]));
}

function attemptsOf(record: LogRecord): RequestRecord['sends'] {
	const validation = v.safeParse(requestSchema, record);
	return validation.success ? validation.output.sends : [];
}

function describeRecord(record: LogRecord): string {
	const validation = v.safeParse(requestSchema, record);
	if (record.event === 'request' && validation.success) {
		return describeRequest(validation.output);
	}

	const fields = Object.entries(record).filter(([name]) => !['time', 'level', 'program', 'identity', 'event'].includes(name));
	return `${record.event} ${fields.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')}`;
}

function describeRequest(request: RequestRecord): string {
	const details = [
		`request ${request.outcome}${request.status === 0 ? '' : ` with ${request.status}`}`,
		request.cause,
		formatDuration('ended after', request.took),
		formatDuration('first attempt after', request.waited),
		formatDuration('client deadline', request.deadline),
		formatDuration('client told to retry after', request.retryAfter),
		request.configuration === undefined ? undefined : `configuration ${request.configuration}, applied ${Math.round(request.configurationAge ?? 0)} ms earlier`,
		request.revision === undefined ? undefined : `store revision ${request.revision}`,
	];
	const attempts = request.sends.map((attempt, index) => `\n    attempt ${index + 1}: ${describeAttempt(attempt)}`);
	return `${details.filter(detail => detail !== undefined).join('; ')}${attempts.join('')}`;
}

function describeAttempt(attempt: v.InferOutput<typeof attemptSchema>): string {
	const details = [
		`${attempt.server}, ${attempt.result}`,
		formatDuration('sent after', attempt.at),
		formatDuration('took', attempt.took),
		formatDuration('predicted time to first token', attempt.predicted),
		attempt.unread === undefined ? undefined : `prompt tokens: ${attempt.cached ?? 0} cached, ${attempt.fetched ?? 0} fetched, ${attempt.unread} uncached`,
		attempt.weights === undefined ? undefined : `weights version ${attempt.weights}`,
		attempt.framing === 'close' ? `the response ended with its connection, reset: ${attempt.resetCheck ?? 'not checked'}` : undefined,
		attempt.partialEvent === undefined ? undefined : `${attempt.partialEvent} bytes of an incomplete event at its end`,
	];
	return details.filter(detail => detail !== undefined).join('; ');
}

function formatDuration(label: string, value: number | undefined): string | undefined {
	return value === undefined ? undefined : `${label} ${value} ms`;
}
