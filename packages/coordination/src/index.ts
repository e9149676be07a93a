export {
	type ClockReading, type LeaseTiming, LeaseValidity, createLeaseTiming, computeHandoverDelay, computeRestoreDelay,
} from './lease-validity.js';
export {type FleetLink, type FleetTopologyOptions, FleetTopology} from './fleet-topology.js';
export {
	type HostDescription, type HostDirectoryOptions, type HostReport, type HostRole, type HostState, HostDirectory,
} from './host-directory.js';
export {type HostReportChanges, HostReports} from './host-reports.js';
export {
	type RateLimiterOptions, type RateLimit, type RateLimitPeer, type UsageTotals, DistributedRateLimiter,
} from './rate-limiter.js';
export {
	type LimitedServer, type NamedLimit, type ServerLimitsOptions, ServerLimits, defaultServerLimitsOptions,
} from './server-limits.js';
export {type StoreReaderElectionOptions, StoreReaderElection} from './store-reader-election.js';
