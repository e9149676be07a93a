import type {Milliseconds} from '@lacewingpoint/shared';

/** A peer without a heartbeat for this long is not offered to clients: more than three heartbeat intervals, so that the loss of a datagram is tolerated. */
export const heartbeatTimeout: Milliseconds = 750;

/** Crashed servers are back after a few seconds without announcing it; the limits on backoff and stalls follow from that. */
export const healthOptions = {
	initialBackoff: 300, maximumBackoff: 3000, smoothingFactor: 0.15, failureRateThreshold: 0.3, stallTimeout: 700, recentContactWindow: 400, statisticsExpiry: 5000,
} as const;

/** Nine hosts that start together may each use the startup share before they receive each other's heartbeats. */
export const rateLimiterOptions = {heartbeatTimeout, startupShare: 0.25, unresponsivePeerShare: 0.5} as const;

/** The lease holder announces every 100 ms which servers are draining for a rollout. */
export const weightsTrackerOptions = {retainedVersions: 16, rolloutDrainingExpiry: 500} as const;

/** Share of an engine's memory that is assumed to hold cached prompt parts; running requests use the rest. */
export const cacheMemoryShare = 0.8;

/** The age of a target version is assumed rather than known if it may be wrong by more than this. */
export const ageTolerance: Milliseconds = 500;

/**
 * How much of the allowed staleness is assumed to remain at least for target versions found at a start or after an interruption, because
 * possibly no host knows when they were published. The limit applies to a restarted host again three seconds after its process began, of which the start itself takes up
 * to one. The dispatcher stops using outdated weights 1.5 s before the limit, that is 1.8 s after the target versions were found.
 */
export const assumedRemainingUse: Milliseconds = 3300;

/** A request is quarantined while it was in flight during at least three server crashes of the last `suspicionLifetime` milliseconds. */
export const quarantineOptions = {crashThreshold: 3, domainFailureWindow: 0, suspicionLifetime: 60_000} as const;
