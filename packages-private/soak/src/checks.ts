import type {Milliseconds} from '@lacewingpoint/shared';
import type {ReceivedOrder} from '@lacewingpoint/stand-ins';
import {
	type ClientOutcome, createExpectedBody, deadlines, onceKinds,
} from './client-traffic.js';
import type {ExecutionLog} from './soak-server.js';

/** A promise that was broken, and how. */
export type Violation = {readonly promise: 'whole answers' | 'at most once' | 'truthful refusals' | 'no way back' | 'no end by itself' | 'recovery' | 'planned stops' | 'answers in time' | 'one holder' | 'memory'; readonly detail: string; readonly requestId?: string | undefined};

/** Statuses which state that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Checks what clients received against what servers executed.
 *
 * @param outcomes - All requests.
 * @param executions - What servers executed.
 * @returns The broken promises.
 */
export function checkOutcomes(outcomes: readonly ClientOutcome[], executions: Pick<ExecutionLog, 'count'>): readonly Violation[] {
	const violations: Violation[] = [];
	for (const outcome of outcomes) {
		const expected = createExpectedBody(outcome);
		const label = `${outcome.id} (${outcome.kind}) from ${outcome.host}`;
		if (outcome.status === 200 && outcome.isComplete && outcome.body !== expected) {
			violations.push({promise: 'whole answers', requestId: outcome.id, detail: `${label} is framed as complete: ${JSON.stringify(outcome.body.slice(-80))}`});
		} else if (outcome.status === 200 && !expected.startsWith(outcome.body)) {
			violations.push({promise: 'whole answers', requestId: outcome.id, detail: `${label} is no part of its answer: ${JSON.stringify(outcome.body.slice(-80))}`});
		}

		const executionCount = executions.count(outcome.id);
		if (executionCount > 1 && onceKinds.has(outcome.kind)) {
			violations.push({promise: 'at most once', requestId: outcome.id, detail: `${label} ran ${executionCount} times`});
		}

		if (executionCount > 0 && notRunStatuses.has(outcome.status) && onceKinds.has(outcome.kind)) {
			violations.push({promise: 'truthful refusals', requestId: outcome.id, detail: `${label} was refused with ${outcome.status} and ran`});
		}
	}

	return violations;
}

/** A time in which a host was stopped, or in which something was impaired; `host` is its client address, absent if any host may be affected. */
export type Disturbance = {readonly host: string | undefined; readonly from: Milliseconds; to: Milliseconds};

/** The platform's bounds on planned stops, in milliseconds. */
const stopBounds = {
	grace: 8000, exitTime: 1000, lateWorkShare: 5 / 6, earlySending: 3000, lossSlack: 200,
} as const;

/** How long an unplanned impairment has an effect, in milliseconds. */
const contactTime: Milliseconds = 3000;

/** How much later than its deadline a request may be answered, and how many may be later. */
const lateness = {tolerance: 500, smallestCount: 8, share: 1 / 4} as const;

const overlaps = (disturbance: Disturbance, outcome: ClientOutcome, margin: Milliseconds = 0) =>
	(disturbance.host === undefined || disturbance.host === outcome.host) && disturbance.from <= outcome.endedAt && disturbance.to >= outcome.sentAt - margin;

/**
 * Checks that no answer was cut off around a planned stop. Excused are, as by the platform's rule, requests whose deadline was reached, those
 * that were sent early in a stop and on which a server was still at work late in the grace period, those that no server got and whose
 * connection was closed at once, and all with an unplanned impairment since shortly before.
 *
 * @param outcomes - All requests.
 * @param executions - What servers executed.
 * @param stops - The planned stops, from their first signal to the end of the process.
 * @param impairments - The unplanned impairments.
 * @returns The broken promises.
 */
export function checkPlannedStops(outcomes: readonly ClientOutcome[], executions: Pick<ExecutionLog, 'count' | 'wasAtWork'>, stops: readonly Disturbance[], impairments: readonly Disturbance[]): readonly Violation[] {
	return outcomes.filter(outcome => !outcome.isComplete).flatMap(outcome => {
		const stop = stops.find(candidate => overlaps({...candidate, to: candidate.from + stopBounds.grace + stopBounds.exitTime}, outcome));
		if (stop === undefined || impairments.some(impairment => overlaps(impairment, outcome, contactTime))) {
			return [];
		}

		const wasLost = executions.count(outcome.id) > 0 || outcome.endedAt - outcome.sentAt > stopBounds.lossSlack;
		const isOutOfTime = outcome.endedAt - outcome.sentAt >= deadlines[outcome.kind];
		const isLateWork = outcome.sentAt <= stop.from + stopBounds.earlySending && outcome.endedAt >= stop.from + (stopBounds.grace * stopBounds.lateWorkShare) && executions.wasAtWork(outcome.id, outcome.endedAt);
		if (!wasLost || isOutOfTime || isLateWork) {
			return [];
		}

		const times = `sent ${Math.round(outcome.sentAt - stop.from)} ms after SIGTERM, ended at ${Math.round(outcome.endedAt - stop.from)} ms`;
		return [{promise: 'planned stops', requestId: outcome.id, detail: `${outcome.id} (${outcome.kind}) from ${outcome.host} was cut off: status ${outcome.status}, ${times}`} as const];
	});
}

/**
 * Checks that hosts answer requests that reach their deadline soon after it, unless the host was stopped, suspended or killed meanwhile.
 *
 * @param outcomes - All requests.
 * @param disturbances - The times in which hosts did not run, or were about to end.
 * @returns The broken promises, one for each host.
 */
export function checkAnswersInTime(outcomes: readonly ClientOutcome[], disturbances: readonly Disturbance[]): readonly Violation[] {
	const violations: Violation[] = [];
	const undisturbed = outcomes.filter(outcome => !disturbances.some(disturbance => overlaps(disturbance, outcome)));
	for (const host of new Set(undisturbed.map(outcome => outcome.host))) {
		const overtime = undisturbed.filter(outcome => outcome.host === host).map(({kind, sentAt, endedAt}) => endedAt - sentAt - deadlines[kind]);
		const unanswered = overtime.filter(time => time > 0);
		const late = unanswered.filter(time => time > lateness.tolerance);
		if (late.length >= lateness.smallestCount && late.length > unanswered.length * lateness.share) {
			violations.push({promise: 'answers in time', detail: `${host}: ${late.length} of ${unanswered.length} requests were answered more than half a second after their deadline, ${Math.round(Math.max(...late))} ms at most`});
		}
	}

	return violations;
}

/** The time that has to pass between the orders of two holders, as the settings files of the cluster state it. */
const leaseTime: Milliseconds = 1000;

/**
 * Checks that hosts do not take turns in giving orders to a server within the time of the lease.
 *
 * @param server - The server's id.
 * @param orders - The orders that it got, in order of arrival.
 * @returns The broken promises.
 */
export function checkOrders(server: string, orders: ReadonlyArray<Pick<ReceivedOrder, 'holder' | 'receivedAt'>>): readonly Violation[] {
	return orders.flatMap((order, index) => {
		const previous = orders[index - 1];
		const gap = previous === undefined || previous.holder === order.holder ? Number.POSITIVE_INFINITY : order.receivedAt - previous.receivedAt;
		return gap >= leaseTime ? [] : [{promise: 'one holder', detail: `${server} got orders of ${previous!.holder} and ${order.holder} ${Math.round(gap)} ms apart`} as const];
	});
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
