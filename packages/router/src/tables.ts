import {ContactTable, CreditTable, TicketTable} from '@lacewingpoint/coordination';
import {
	FairQueue, PredictedTimePlacement, PrefixIndex, Quarantine, RetryBudget, ServerTable,
} from '@lacewingpoint/routing';
import type {Deployment, DeploymentHost} from '@lacewingpoint/settings';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {WaitingRequest} from './admission.js';
import {ConfigurationView} from './configuration-view.js';

/** All state of a router. Systems run over it; nothing else is kept. */
export type Tables = {
	readonly tickets: TicketTable;
	readonly configuration: ConfigurationView;
	readonly contact: ContactTable;
	readonly credit: CreditTable;
	readonly servers: ServerTable;
	readonly prefixes: PrefixIndex;
	readonly placement: PredictedTimePlacement;
	readonly waiting: FairQueue<WaitingRequest>;
	readonly quarantine: Quarantine;
	readonly retries: RetryBudget;
};

const longestTickGap: Milliseconds = 1000;

/** The level of a prompt by which routers agree on a server: the shared instructions and the start of the document. */
export const homeBlocks = 16;

/**
 * Makes the empty tables of a router.
 *
 * @param deployment - The settings.
 * @param self - This host.
 * @param now - The moment of the start.
 * @returns The tables.
 */
export function createTables(deployment: Deployment, self: DeploymentHost, now: Milliseconds): Tables {
	const {contact, credit, engines} = deployment;
	const prefixes = new PrefixIndex({blocksPerServer: engines.cacheBlocks, lifetime: engines.cacheLifetimeMilliseconds});
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
		servers: new ServerTable({initialTokensPerSecond: engines.prefillTokensPerSecond, firstBackoff: 500, longestBackoff: 8000}),
		prefixes,
		placement: new PredictedTimePlacement(prefixes, {homeBlocks, homeShare: 0.5, copyShare: 0.25}),
		waiting: new FairQueue(),
		quarantine: new Quarantine({convictingDeaths: 2, domainWindow: 2000, lifetime: 600_000}),
		retries: new RetryBudget({share: 0.1, burst: 20}),
	};
}
