export {LocalProcess, currentBuildDirectory} from './local-process.js';
export {type CompletionResult, CompletionClient} from './completion-client.js';
export {LocalCluster, type LocalClusterOptions, type LocalHost} from './local-cluster.js';
export {buildRevision} from './revision-build.js';
export {waitFor} from './wait-for.js';
export {ClientCrowd} from './client-crowd.js';
export {type CrowdOptions, type Misbehaviour} from './misbehaving-client.js';
export {type ProcessUsage, readProcessUsage} from './process-usage.js';
export {type RawRequestOptions, type RawResponse, sendRawRequest} from './raw-request.js';
