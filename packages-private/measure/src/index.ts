export {
	type ExperimentOptions, type ExperimentResult, type LoadPattern, loadPatterns, runExperiment,
} from './experiment.js';
export {type EngineParameters, type EngineRequest, ModelEngine} from './model-engine.js';
export {EventQueue} from './event-queue.js';
export {type PolicyName, policyNames} from './simulated-host.js';
export {measureSlopes} from './slopes.js';
export {type DataPoint, type LinearFit, fitLine} from './linear-fit.js';
export {
	type RequestKind, type Site, florDeChimborazo, glenrath, instituto, institutoGrown, tanaRidge, villasenor,
} from './workload.js';
export {type SimulatedFleetHost, SimulatedFleet} from './simulated-fleet.js';
