export {
	type Moment, type TurnBounds, HolderTurn, createTurnBounds, waitForTurn,
} from './holder-turn.js';
export {
	type HostDescription, type HostDirectoryOptions, type HostState, HostDirectory,
} from './host-directory.js';
export {
	type QuotaLedgerOptions, type QuotaLimit, type QuotaTotals, QuotaLedger,
} from './quota-ledger.js';
