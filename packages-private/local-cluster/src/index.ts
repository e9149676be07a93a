export {LocalProcess} from './local-process.js';
export {type CompletionResult, CompletionClient} from './completion-client.js';
export {LocalCluster, type LocalClusterOptions, type LocalHost} from './local-cluster.js';
export {waitFor} from './wait-for.js';
