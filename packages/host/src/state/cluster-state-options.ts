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
