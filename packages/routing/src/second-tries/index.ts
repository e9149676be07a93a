export {DecayingQuantiles} from './decaying-quantiles.js';
export {
	type ExpectedResponse, type SecondTryConditions, type SecondTryDecision, type SecondTryOptions, SecondTryPolicy, defaultSecondTryOptions,
} from './second-try-policy.js';
