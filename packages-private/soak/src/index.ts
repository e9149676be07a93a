export {type SoakOptions, type SoakReport, runSoak} from './soak.js';
export {type Violation, checkLog, checkOutcomes} from './checks.js';
export {
	type ClientOutcome, type RequestKind, SoakClient, createExpectedBody,
} from './client-traffic.js';
export {type FaultKind, type ScheduledFault, createFaultSchedule} from './fault-schedule.js';
