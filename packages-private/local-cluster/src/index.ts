export {LocalProcess, currentBuildDirectory} from './local-process.js';
export {type CompletionResult, CompletionClient} from './completion-client.js';
export {LocalCluster, type LocalClusterOptions, type LocalHost} from './local-cluster.js';
export {buildRevision} from './revision-build.js';
export {waitFor} from './wait-for.js';
