import {ContactTable, CreditTable, TicketTable} from '@lacewingpoint/coordination';
import {
	Admission, PredictedTimePlacement, PrefixIndex, Quarantine, RetryBudget, ServerTable, placementOptions,
} from '@lacewingpoint/routing';
import type {Deployment, DeploymentHost} from '@lacewingpoint/settings';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {WaitingRequest} from './admission-service.js';
import {ConfigurationView} from './configuration-view.js';

/** All state of a router. Systems run over it; nothing else is kept. */
export type Tables = {
	readonly tickets: TicketTable;
	readonly configuration: ConfigurationView;
	readonly contact: ContactTable;
	readonly credit: CreditTable;
	readonly servers: ServerTable;
	readonly prefixes: PrefixIndex;
	readonly admission: Admission<WaitingRequest>;
	readonly quarantine: Quarantine;
	readonly retries: RetryBudget;
};

const longestTickGap: Milliseconds = 1000;

/**
 * Makes the empty tables of a router.
 *
 * @param deployment - The settings.
 * @param self - This host.
 * @param now - The moment of the start.
 * @returns The tables.
 */
export function createTables(deployment: Deployment, self: DeploymentHost, now: Milliseconds): Tables {
	const {contact, credit, engines, limits} = deployment;
	const prefixes = new PrefixIndex({blocksPerServer: engines.cacheBlocks, lifetime: engines.cacheLifetimeMilliseconds});
	const servers = new ServerTable({
		cellSize: engines.cellSize, initialTokensPerSecond: engines.prefillTokensPerSecond, firstBackoff: 500, longestBackoff: 8000,
	});
	const placement = new PredictedTimePlacement(prefixes, placementOptions);
	return {
		tickets: new TicketTable(),
		configuration: new ConfigurationView(),
		contact: new ContactTable({self: self.id, bound: contact.boundMilliseconds, startedAt: now}),
		credit: new CreditTable({
			self: self.id,
			homeHosts: credit.homeHosts,
			loanLifetime: credit.loanLifetimeMilliseconds,
			loanMargin: credit.loanMarginMilliseconds,
			longestGap: longestTickGap,
		}, now),
		servers,
		prefixes,
		admission: new Admission(servers, placement, {backlog: engines.backlogMilliseconds, longestWait: limits.queueMilliseconds}),
		quarantine: new Quarantine({convictingDeaths: 2, domainWindow: 2000, lifetime: 600_000}),
		retries: new RetryBudget({share: 0.1, slack: 20, window: 10_000}, now),
	};
}
