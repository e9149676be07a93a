export {
	type Holdings, type InboundActions, type IncompleteRequest, type ShedReason, type UnsentResponses, InboundAccount,
} from './inbound-account.js';
export {type InboundLedgerOptions, InboundLedger} from './inbound-ledger.js';
export {
	type InboundLimitSettings, type InboundLimits, type ListenerKind, type MachineSize, createInboundLimits, defaultInboundLimitSettings,
} from './inbound-limits.js';
