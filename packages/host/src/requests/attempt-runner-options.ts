import type {Route} from '@lacewingpoint/routing';
import type {AttemptListener} from './attempt.js';
import type {PipelineContext} from './pipeline-context.js';
import type {RelayedResponse} from './relayed-response.js';
import type {RetryAllowance} from './retry-allowance.js';
import type {RoutedRequest} from './routed-request.js';
import type {TriedServers} from './tried-servers.js';

/** The request whose attempts are made, and what limits them. */
export type AttemptRunnerOptions = {
	readonly context: PipelineContext;
	readonly request: RoutedRequest;
	readonly route: Route;
	readonly response: RelayedResponse;
	readonly retries: RetryAllowance;
	readonly triedServers: TriedServers;
	readonly listener: AttemptListener;
};
