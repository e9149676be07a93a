export {type SoakOptions, type SoakReport, runSoak} from './soak.js';
export {
	type Disturbance, type Violation, checkAnswersInTime, checkLog, checkOrders, checkOutcomes, checkPlannedStops,
} from './checks.js';
export {
	type ClientOutcome, type RequestKind, SoakClient, createExpectedBody,
} from './client-traffic.js';
export {
	type FaultKind, type FaultProfile, type ScheduledFault, createFaultSchedule,
} from './fault-schedule.js';
