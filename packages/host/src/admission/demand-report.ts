import {type Demand, type ServiceDemand, rankOf} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {HostMessage} from '../members/host-messages.js';

/** Changes of what waits are announced at most at this interval. */
const announcementInterval: Milliseconds = 100;

/** The usage of workspaces is announced at this interval, and apart from the full state, which fills a datagram by itself. */
const usageInterval: Milliseconds = 1000;

/** A host cannot hold more requests than this; a report beyond it is not believed. */
const maximumRequestsPerHost = 2000;

type DemandReport = NonNullable<HostMessage['demand']>;

/** Selects what of the demand a peer does not have yet. */
export class DemandReporter {
	readonly #sentWaiting = new Map<string, string>();
	/** The ranks of which the peer knows the usage, by service. */
	readonly #sentRanks = new Map<string, ReadonlySet<number>>();
	#sentAt = Number.NEGATIVE_INFINITY;
	#usageSentAt = Number.NEGATIVE_INFINITY;

	/**
	 * Composes the next report.
	 *
	 * @param readDemand - Returns the demand to be reported to the peer; called only if a report is due.
	 * @param isWhole - Whether the message holds the full state, with the usage of the workspaces.
	 * @param now - Current monotonic time.
	 * @returns The services whose demand has changed.
	 */
	take(readDemand: () => Demand, isWhole: boolean, now: Milliseconds): DemandReport {
		if (!isWhole && now - this.#sentAt < announcementInterval) {
			return [];
		}

		this.#sentAt = now;
		const usageAge = now - this.#usageSentAt;
		const isUsageDue = isWhole ? usageAge >= 2 * usageInterval : usageAge >= usageInterval;
		if (isUsageDue) {
			this.#usageSentAt = now;
		}

		const report: Array<DemandReport[number]> = [];
		for (const [service, {waiting, usage}] of readDemand()) {
			const rows = [...waiting].map(([level, {requests, size}]) => [level, Math.round(requests), Math.round(size)] as const).filter(([, requests]) => requests > 0);
			const digest = rows.map(row => row.join(' ')).join(',');
			if (isWhole || isUsageDue || digest !== (this.#sentWaiting.get(service) ?? '')) {
				// A peer ignores what waits at ranks whose usage it does not know.
				const hasUsage = isUsageDue || rows.some(([level]) => this.#sentRanks.get(service)?.has(rankOf(level)) !== true);
				this.#sentWaiting.set(service, digest);
				this.#sentRanks.set(service, hasUsage ? new Set(usage.keys()) : this.#sentRanks.get(service) ?? new Set());
				report.push({service, waiting: rows, usage: hasUsage ? listUsage(usage) : []});
			}
		}

		return report;
	}
}

/**
 * Converts a peer's report.
 *
 * @param report - The report.
 * @param hostCount - The number of hosts that it sums up.
 * @returns The demand; `undefined` if it is more than these hosts can have.
 */
export function parseDemandReport(report: DemandReport, hostCount: number): Demand | undefined {
	const demand = new Map<string, ServiceDemand>();
	for (const {service, waiting, usage} of report) {
		if (waiting.some(([level, requests]) => !Number.isInteger(level) || requests > maximumRequestsPerHost * Math.max(hostCount, 1))) {
			return undefined;
		}

		const ranks = new Map<number, Map<string, {offered: number; admitted: number}>>();
		for (const [rank, workspace, offered, admitted] of usage) {
			ranks.set(rank, (ranks.get(rank) ?? new Map<string, {offered: number; admitted: number}>()).set(workspace, {offered, admitted}));
		}

		demand.set(service, {waiting: new Map(waiting.map(([level, requests, size]) => [level, {requests, size}])), usage: ranks});
	}

	return demand;
}

function listUsage(usage: ServiceDemand['usage']): DemandReport[number]['usage'] {
	return [...usage].flatMap(([rank, workspaces]) => [...workspaces].map(([workspace, {offered, admitted}]) => [rank, workspace, Math.round(offered), Math.round(admitted)] as const));
}
