export {EventQueue} from './event-queue.js';
export {type PolicyName, policyNames} from './policies.js';
export type {RunResult} from './run-record.js';
export {
	type Disturbance, type RunOptions, Simulation, disturbances,
} from './simulation.js';
export {type WorkloadShape, courseGuides, datasheets} from './workload.js';
