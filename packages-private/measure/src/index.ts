export {EventQueue} from './event-queue.js';
export {type PolicyName, policyNames} from './policies.js';
export type {RunResult} from './run-record.js';
export {
	type Disturbance, type RunOptions, Simulation, disturbances,
} from './simulation.js';
export {type WorkloadShape, courseGuides, datasheets} from './workload.js';
export {measureCoreSlopes, placementTime} from './core-slopes.js';
export {type Point, type Slope, fitSlope} from './slope-fit.js';
export {type StalenessResult, measureStaleness} from './staleness.js';
