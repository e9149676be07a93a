import {type ClientOutcome, createExpectedBody} from './client-traffic.js';

/** A promise that was broken, and how. */
export type Violation = {readonly promise: 'whole answers' | 'at most once' | 'truthful refusals' | 'no way back' | 'no end by itself' | 'recovery'; readonly detail: string; readonly requestId?: string | undefined};

/** Statuses which state that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Checks what clients received against what servers executed.
 *
 * @param outcomes - All requests.
 * @param executions - Number of executions by request id.
 * @returns The broken promises.
 */
export function checkOutcomes(outcomes: readonly ClientOutcome[], executions: ReadonlyMap<string, number>): readonly Violation[] {
	const violations: Violation[] = [];
	for (const outcome of outcomes) {
		const expected = createExpectedBody(outcome);
		const label = `${outcome.id} (${outcome.kind}) from ${outcome.host}`;
		if (outcome.status === 200 && outcome.isComplete && outcome.body !== expected) {
			violations.push({promise: 'whole answers', requestId: outcome.id, detail: `${label} is framed as complete: ${JSON.stringify(outcome.body.slice(-80))}`});
		} else if (outcome.status === 200 && !expected.startsWith(outcome.body)) {
			violations.push({promise: 'whole answers', requestId: outcome.id, detail: `${label} is no part of its answer: ${JSON.stringify(outcome.body.slice(-80))}`});
		}

		const executionCount = executions.get(outcome.id) ?? 0;
		if (executionCount > 1 && (outcome.kind === 'book' || outcome.kind === 'draft')) {
			violations.push({promise: 'at most once', requestId: outcome.id, detail: `${label} ran ${executionCount} times`});
		}

		if (executionCount > 0 && notRunStatuses.has(outcome.status) && (outcome.kind === 'book' || outcome.kind === 'draft')) {
			violations.push({promise: 'truthful refusals', requestId: outcome.id, detail: `${label} was refused with ${outcome.status} and ran`});
		}
	}

	return violations;
}

/**
 * Finds what hosts logged of a request.
 *
 * @param logs - The output of hosts, one JSON object a line.
 * @param requestId - Id of the request.
 * @returns The lines.
 */
export function findLogLines(logs: readonly string[], requestId: string): readonly string[] {
	return logs.flatMap(log => log.split('\n').filter(line => line.includes(`"id":"${requestId}"`)));
}

/**
 * Checks the log of one process of a host.
 *
 * @param host - The host's name.
 * @param log - Its output, one JSON object a line.
 * @returns The broken promises.
 */
export function checkLog(host: string, log: string): readonly Violation[] {
	const violations: Violation[] = [];
	let newestVersion = 0;
	for (const line of log.split('\n')) {
		if (line.includes('"event":"uncaught"') || line.includes('"event":"unhandled"')) {
			violations.push({promise: 'no end by itself', detail: `${host}: ${line.slice(0, 400)}`});
		}

		const version = /"event":"configuration","version":(?<version>\d+)/v.exec(line)?.groups?.version;
		if (version !== undefined) {
			if (Number(version) < newestVersion) {
				violations.push({promise: 'no way back', detail: `${host} applied configuration ${version} after ${newestVersion}`});
			}

			newestVersion = Number(version);
		}
	}

	return violations;
}
