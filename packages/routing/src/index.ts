export {type AddressQuestion, type EntryHost, rankEntryHosts} from './address-ranking.js';
export {
	type Admitted, type AdmissionOptions, type AdmissionOutcome, type AdmissionRequest, Admission, uncachedTokens,
} from './admission.js';
export {type Priority, type QueuedRequest, FairQueue} from './fair-queue.js';
export {
	type Placement, type PlacementPolicy, type PlacementRequest, type PredictedTimeOptions, PredictedTimePlacement, placementOptions,
} from './placement.js';
export {
	type CacheChange, type PrefixIndexOptions, type PrefixSnapshot, PrefixIndex,
} from './prefix-index.js';
export {
	type CacheScope, cacheSalt, charactersPerBlock, charactersPerToken, countTokens, hashBlocks, promptText, tokensPerBlock,
} from './prompt.js';
export {
	type QuarantineOptions, type ServerDeath, type SuspectDeath, Quarantine,
} from './quarantine.js';
export {type RetryBudgetOptions, RetryBudget} from './retry-budget.js';
export {Cells} from './cells.js';
export {spreadOverDomains} from './domain-spread.js';
export {
	type LoadReport, type ServerDescription, type ServerRow, type ServerTableOptions, ServerTable, queuedTokens, usableServers,
} from './server-table.js';
export {type ChunkVerdict, StreamProgress} from './stream-progress.js';
export {
	type DesiredWeights, type EngineView, type ReconciliationOptions, type ReconciliationStep, dueSteps,
} from './weights-reconciliation.js';
export type {
	ClientLimits, Configuration, EngineProfile, PromptStore, Repeatability, Route, Service, ServiceShare, Workspace,
} from './configuration.js';
export {RouteIndex} from './route-index.js';
export {type ServerDirectoryOptions, type ServerEntry, ServerDirectory} from './server-directory.js';
export {type PromptMatch, type PromptPart, PromptCacheIndex} from './prompt-cache-index.js';
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
