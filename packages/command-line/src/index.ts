export {type AuditEntry, buildAuditTrail} from './audit-trail.js';
export {
	type ConfigurationCheck, type LocatedFinding, checkConfiguration, describeCheck,
} from './configuration-check.js';
export {type CommandContext, exitCodes, runCommand} from './commands.js';
export {type Explanation, type ExplanationEntry, explainRequest} from './explanation.js';
export {type HostStatus, readHostStatus} from './host-status.js';
export {type LogRecord, parseLogRecords} from './log-records.js';
