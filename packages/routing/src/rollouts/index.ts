export {
	type AnswerCount, type AnswerOutcome, type RolloutGrant, type RolloutProgress, type RolloutRequest, type RolloutState, type VersionSide, encodeOutcome,
} from './rollout.js';
export {
	type ReachedStep, type RolloutDecisionOptions, type RolloutObservation, type RolloutVerdict, RolloutDecision, finalStep,
} from './rollout-decision.js';
export {type KnownRollout, type RolloutTraffic, RolloutTable} from './rollout-table.js';
export {
	type Tally, type VersionComparisonOptions, VersionComparison, defaultVersionComparisonOptions,
} from './version-comparison.js';
