import type {LayerError, Milliseconds} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import * as v from 'valibot';
import type {LogRecord} from './log-records.js';

const sendSchema = v.looseObject({
	server: v.string(),
	at: v.optional(v.number()),
	result: v.string(),
	took: v.optional(v.number()),
	predicted: v.optional(v.number()),
	cached: v.optional(v.number()),
	fetched: v.optional(v.number()),
	unread: v.optional(v.number()),
	weights: v.optional(v.number()),
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
	sends: v.optional(v.array(sendSchema), []),
});

type RequestRecord = v.InferOutput<typeof requestSchema>;

/** One line of an account. */
export type ExplanationEntry = {readonly time: string; readonly host: string; readonly text: string};

/** Everything that the logs say about a request, in order of time. */
export type Explanation = {readonly id: string; readonly entries: readonly ExplanationEntry[]};

/** What was told of a server or of the host's beliefs matters this long before the request ended. */
const before: Milliseconds = 10_000;

/** Deaths and refused connections are noticed a little after the requests that they broke off. */
const after: Milliseconds = 1000;

/** Events that tell of one server, and the field that names it. */
const serverEvents: ReadonlyMap<string, string> = new Map([
	['server', 'id'], ['server-gone', 'id'], ['weights', 'server'], ['order', 'server'], ['order-failed', 'server'], ['server-unreachable', 'server'], ['server-death', 'server'],
]);

/** Events that change what the request's own host goes by. */
const hostEvents: ReadonlySet<string> = new Set(['configuration', 'weights-named', 'store-lost', 'store-found', 'history-lost', 'clock-jump', 'start', 'stop', 'reload']);

/**
 * Gathers what the logs of all hosts say about a request: its own lines, and what was told of the servers that it was sent to and
 * of its host's beliefs shortly before.
 *
 * @param records - The logs.
 * @param id - The request's id.
 * @returns The account, or that no line names the id.
 */
export function explainRequest(records: readonly LogRecord[], id: string): Result<Explanation, LayerError<'not-found'>> {
	const own = records.filter(record => record.event === 'request' && record.id === id);
	if (own.length === 0) {
		return Result.err({layer: 'command-line', code: 'not-found', message: `no request ${id} in ${records.length} log lines`});
	}

	const entries = new Set<LogRecord>(own);
	for (const record of own) {
		const servers = new Set(sendsOf(record).map(send => send.server));
		const endedAt = Date.parse(record.time);
		for (const candidate of records) {
			const age = endedAt - Date.parse(candidate.time);
			const isNear = age <= before && age >= -after;
			if (isNear && (isAboutServer(candidate, servers) || (candidate.identity === record.identity && hostEvents.has(candidate.event)))) {
				entries.add(candidate);
			}
		}
	}

	const ordered = [...entries].toSorted((left, right) => left.time.localeCompare(right.time));
	return Result.ok({id, entries: ordered.map(record => ({time: record.time, host: record.identity, text: describe(record)}))});
}

function isAboutServer(record: LogRecord, servers: ReadonlySet<string>): boolean {
	const field = serverEvents.get(record.event);
	return field !== undefined && servers.has(String(record[field]));
}

function sendsOf(record: LogRecord): RequestRecord['sends'] {
	const checked = v.safeParse(requestSchema, record);
	return checked.success ? checked.output.sends : [];
}

function describe(record: LogRecord): string {
	const checked = v.safeParse(requestSchema, record);
	if (record.event === 'request' && checked.success) {
		return describeRequest(checked.output);
	}

	const fields = Object.entries(record).filter(([name]) => !['time', 'level', 'program', 'identity', 'event'].includes(name));
	return `${record.event} ${fields.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')}`;
}

function describeRequest(request: RequestRecord): string {
	const facts = [
		`request ${request.outcome}${request.status === 0 ? '' : ` with ${request.status}`}`,
		request.cause,
		milliseconds('after', request.took),
		milliseconds('of which waiting', request.waited),
		milliseconds('client waits', request.deadline),
		milliseconds('told to come back in', request.retryAfter),
		request.configuration === undefined ? undefined : `configuration ${request.configuration}, ${Math.round(request.configurationAge ?? 0)} ms old`,
		request.revision === undefined ? undefined : `store revision ${request.revision}`,
	];
	const sends = request.sends.map((send, index) => `\n    send ${index + 1}: ${describeSend(send)}`);
	return `${facts.filter(fact => fact !== undefined).join('; ')}${sends.join('')}`;
}

function describeSend(send: v.InferOutput<typeof sendSchema>): string {
	const facts = [
		`${send.server}, ${send.result}`,
		milliseconds('sent at', send.at),
		milliseconds('took', send.took),
		milliseconds('first token predicted', send.predicted),
		send.unread === undefined ? undefined : `prompt tokens cached ${send.cached ?? 0}, fetched ${send.fetched ?? 0}, unread ${send.unread}`,
		send.weights === undefined ? undefined : `weights ${send.weights}`,
	];
	return facts.filter(fact => fact !== undefined).join('; ');
}

function milliseconds(label: string, value: number | undefined): string | undefined {
	return value === undefined ? undefined : `${label} ${value} ms`;
}
