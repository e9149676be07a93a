export {
	type QuarantineOptions, type ServerDeath, type SuspectDeath, Quarantine,
} from './quarantine.js';
export {type RetryBudgetOptions, RetryBudget} from './retry-budget.js';
export type {
	ClientLimits, Configuration, EngineProfile, PromptStore, Repeatability, Route, Service, ServiceShare, Workspace,
} from './configuration.js';
export {RouteIndex} from './route-index.js';
export {type ServerDirectoryOptions, type ServerEntry, ServerDirectory} from './server-directory.js';
export {type PromptMatch, type PromptPart, PromptCacheIndex} from './prompt-cache-index.js';
export {type PromptSource, type SourceRow, PromptSources} from './prompt-sources.js';
export {
	type HostLoad, type RequestLoad, ServerLoads, noLoad,
} from './server-loads.js';
export {type ServerHealthOptions, ServerHealth} from './server-health.js';
export {
	type EnginePlacement, type EnginePlacementOptions, type EngineRow, type Generation, type PlacementContext, type PromptStoreRow,
	EnginePlacer, enginePlacementOptions, memoryOf,
} from './engine-placement.js';
export {
	type PlainPlacementOptions, type PlainServerRow, choosePlainServer, estimateWait, plainPlacementOptions,
} from './service-placement.js';
export {type WaitingRequest, WaitingLine} from './waiting-line.js';
export {
	type RolloutOptions, type RolloutPlan, type RolloutRow, WeightsRollout,
} from './weights-rollout.js';
export {type Place, nearHosts} from './near-hosts.js';
export {type NamedWeights, type WeightsTableOptions, WeightsTable} from './weights-table.js';
