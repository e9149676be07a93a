export {
	type Claim, type ClaimDecision, type KeptAnswer, claimSchema, judgeClaim,
} from './claim.js';
export {type EncodedAges, decodeAges, encodeAges} from './contact-ages-codec.js';
export {
	type ContactAges, type ContactOptions, type ContactState, type HostAge, ContactTable,
} from './contact-table.js';
export type {Charge, CreditLimit, Loan} from './credit-account.js';
export {
	type ChargeOutcome, type CreditOptions, CreditTable,
} from './credit-table.js';
export {
	type CreditWaitOptions, amountToBorrow, longestCreditWait, refillTime,
} from './credit-wait.js';
export {
	type EpochMaintenanceOptions, type EpochProposal, EpochMaintenance,
} from './epoch-maintenance.js';
export {
	type Epoch, type HostRecord, type HostRegistration, epochSchema, hostRecordSchema, hostRegistrationSchema, hostsOf, isQuorum, majorityOf,
} from './epoch.js';
export {type PartnerChoice, choosePartners, storeReaders} from './exchange-partners.js';
export {LenderEstimates} from './lender-estimates.js';
export {type TicketChanges, TicketTable} from './ticket-table.js';
export {
	type BackendState, type DrainingObject, type KeyState, type ModelState, type ObjectKind, type Register, type RouteState,
	type Ticket, type TicketObject, type WorkspaceState, objectKinds, registerSchema, registersOf, ticketSchema,
} from './ticket.js';
export {
	type HostDescription, type HostDirectoryOptions, type HostState, HostDirectory,
} from './host-directory.js';
export {
	type QuotaLedgerOptions, type QuotaLimit, type QuotaTotals, QuotaLedger,
} from './quota-ledger.js';
