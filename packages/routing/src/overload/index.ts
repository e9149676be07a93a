export {AdmissionShares} from './admission-shares.js';
export {type ConfigurationFreshness, isConfigurationOutdated} from './configuration-freshness.js';
export {
	type LoadMeasurement, type OverloadControllerOptions, type RequestArrival, OverloadController, chooseTargetDelay, defaultOverloadControllerOptions, spreadRetryAfter,
} from './overload-controller.js';
export {
	type HeldResponse, type SlowReader, type SlowReaderLimitOptions, SlowReaderLimit,
} from './slow-reader-limit.js';
