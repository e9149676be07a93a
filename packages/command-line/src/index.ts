export {
	type Acceptance, type AskHost, type HoldAnswer, checkAcceptance,
} from './acceptance.js';
export {type AuditRecord, appendAudit, readAudit} from './audit-trail.js';
export {type CommandContext, runCommand} from './commands.js';
export {type ExitCode, exitCodes} from './exit-codes.js';
export {
	type SubmissionContext, type SubmissionReport, readTicket, submitTicket,
} from './submission.js';
export {type StoreOutcome, readTickets, storeTicket} from './ticket-store.js';
