export {
	type QuarantineOptions, type ServerCrash, type SuspectCrash, Quarantine,
} from './quarantine.js';
export {type RetryBudgetOptions, RetryBudget} from './retry-budget.js';
export type {
	ClientLimits, Configuration, EngineProfile, PromptStore, Repeatability, Route, Service, WeightedService, Workspace,
} from './configuration.js';
export {RouteIndex} from './route-index.js';
export {type ServerDirectoryOptions, type ServerEntry, ServerDirectory} from './server-directory.js';
export {type PromptMatch, type PromptPart, PromptCacheIndex} from './prompt-cache-index.js';
export {type PromptSource, type PromptLocation, PromptSources} from './prompt-sources.js';
export {
	type ServerLoad, type RequestLoad, ServerLoads, noLoad,
} from './server-loads.js';
export {type ServerHealthOptions, ServerHealth} from './server-health.js';
export {
	type EnginePlacement, type EnginePlacementOptions, type EngineCandidate, type GenerationRequest, type PlacementContext, type PromptStoreLocation,
	EnginePlacer, defaultEnginePlacementOptions, estimateMemoryTokens,
} from './engine-placement.js';
export {
	type ServerPlacementOptions, type ServerCandidate, chooseLeastLoadedServer, estimateQueueTime, defaultServerPlacementOptions,
} from './server-placement.js';
export {type QueuedRequest, RequestQueue} from './request-queue.js';
export {
	type RolloutOptions, type RolloutPlan, type RolloutServer, WeightsRollout,
} from './weights-rollout.js';
export {type ClientLocation, selectNearbyHosts} from './host-selection.js';
export {type TargetVersion, type WeightsTrackerOptions, WeightsTracker} from './weights-tracker.js';
