export {AdmissionShares} from './admission-shares.js';
export {
	type LoadMeasurement, type OverloadControllerOptions, type RequestArrival, OverloadController, chooseTargetDelay, defaultOverloadControllerOptions, spreadRetryAfter,
} from './overload-controller.js';
