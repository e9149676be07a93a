export {
	type ClockReading, type LeaseTiming, LeaseValidity, createLeaseTiming, computeHandoverDelay,
} from './lease-validity.js';
export {
	type HostDescription, type HostDirectoryOptions, type HostState, HostDirectory,
} from './host-directory.js';
export {
	type RateLimiterOptions, type RateLimit, type UsageTotals, DistributedRateLimiter,
} from './rate-limiter.js';
