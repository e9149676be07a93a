export {
	type QuarantineOptions, type ServerCrash, type SuspectCrash, Quarantine,
} from './quarantine.js';
export {
	type ExecutedPart, type PartAdmission, type PromptPartQuarantineOptions, type QuarantinedPart, PromptPartQuarantine, defaultPromptPartQuarantineOptions,
} from './prompt-part-quarantine.js';
export {type BrittleLoad, BrittleServers} from './brittle-servers.js';
export {type RetryBudgetOptions, RetryBudget} from './retry-budget.js';
export type {
	ClientLimits, Configuration, EngineProfile, PromptStore, Repeatability, Route, Service, WeightedService, Workspace,
} from './configuration.js';
export {
	type ConfigurationDifference, type ConfigurationEntry, type ConfigurationFinding, type FieldDifference, compareConfigurations, reviewConfiguration,
} from './configuration-review/index.js';
export {RouteIndex} from './route-index.js';
export {
	type ExpectedResponse, type SecondTryConditions, type SecondTryDecision, type SecondTryOptions, DecayingQuantiles, SecondTryPolicy, defaultSecondTryOptions,
} from './second-tries/index.js';
export {type ServerDirectoryOptions, type ServerEntry, ServerDirectory} from './server-directory.js';
export {type PromptMatch, type PromptPart, PromptCacheIndex} from './prompt-cache-index.js';
export {type PromptLocation, type PromptSource, PromptSources} from './prompt-sources.js';
export {
	type RequestLoad, type ServerLoad, ServerLoads, isSameLoad, noLoad,
} from './server-loads.js';
export {
	defaultSampleSize, findPartOwners, sampleMatchingServers, sampleServers,
} from './server-sample.js';
export {type ServerHealthOptions, ServerHealth} from './server-health.js';
export {type LearnedCapacityOptions, LearnedCapacity, defaultLearnedCapacityOptions} from './learned-capacity.js';
export {type ServerLinksOptions, ServerLinks} from './server-links.js';
export {type ServerProcess, ServerNotices} from './server-notices.js';
export {
	type EngineCandidate, type EnginePlacement, type EnginePlacementOptions, type GenerationRequest, type PlacementContext, type PromptStoreLocation,
	EnginePlacer, defaultEnginePlacementOptions, estimateMemoryTokens,
} from './engine-placement.js';
export {type FirstTokenObservation, EngineObservations} from './engine-observations.js';
export {
	type EngineSpeed, type EngineSpeedOptions, type ObservedFirstToken, EngineSpeedEstimate, defaultEngineSpeed, defaultEngineSpeedOptions,
} from './engines/engine-speed.js';
export {
	type PaceReport, type ServerPaceOptions, ServerPaces, defaultServerPaceOptions,
} from './engines/server-paces.js';
export {type SilenceLimitOptions, SilenceLimit, defaultSilenceLimitOptions} from './engines/silence-limit.js';
export {type ObservedPause, type PrefillBacklogLimitOptions, PrefillBacklogLimit} from './prefill-backlog-limit.js';
export {
	type ServerCandidate, type ServerPlacementOptions, chooseLeastLoadedServer, defaultServerPlacementOptions, estimateQueueTime,
} from './server-placement.js';
export {type QueuedRequest, RequestQueue} from './request-queue.js';
export {
	type Demand, type FleetDemandOptions, type HeldRequest, type RefusedRequest, type ReturnState, type ReturningClientsOptions, type ServiceDemand,
	AdmissionController, FleetDemand, ReturningClients, describeLevel, otherWorkspaces, rankOf, summarizeDemand, toLevel, usesDifferentRanks,
} from './admission/index.js';
export {
	type RolloutOptions, type RolloutPlan, type RolloutServer, WeightsRollout,
} from './weights-rollout.js';
export {
	type StreamOrigin, type StreamOriginReport, StreamOrigins, combineOrigins, hashRequestId, originRetention,
} from './stream-origins.js';
export {
	type ClientLocation, type ForwardingChoice, selectForwardingHost, selectNearbyHosts,
} from './host-selection.js';
export {type TargetVersion, type WeightsTrackerOptions, WeightsTracker} from './weights-tracker.js';
export {
	type ConfigurationFreshness, type HeldResponse, type LoadMeasurement, type OverloadControllerOptions, type RequestArrival, type SlowReader, type SlowReaderLimitOptions, AdmissionShares, OverloadController, SlowReaderLimit, chooseTargetDelay, defaultOverloadControllerOptions, isConfigurationOutdated, spreadRetryAfter,
} from './overload/index.js';
export * from './rollouts/index.js';
export {
	type Holdings, type InboundActions, type InboundLedgerOptions, type InboundLimitSettings, type InboundLimits, type IncompleteRequest, type ListenerKind,
	type MachineSize, type ShedReason, type UnsentResponses, InboundAccount, InboundLedger, createInboundLimits, defaultInboundLimitSettings,
} from './inbound/index.js';
