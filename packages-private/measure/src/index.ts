export {
	type ExperimentOptions, type ExperimentResult, type LoadPattern, loadPatterns, runExperiment,
} from './experiment.js';
export {type EngineFigures, type EngineWork, ModelEngine} from './model-engine.js';
export {EventQueue} from './event-queue.js';
export {type PolicyName, policyNames} from './placement-host.js';
export {measureSlopes} from './slopes.js';
export {type Point, type Slope, fitSlope} from './slope-fit.js';
export {
	type Site, type WorkKind, instituto, tanaRidge,
} from './workload.js';
