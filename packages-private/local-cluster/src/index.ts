export {LocalProcess} from './child-process.js';
export {type CompletionEnd, CompletionClient} from './completion-client.js';
export {LocalCluster, type LocalClusterOptions, type LocalHost} from './local-cluster.js';
export {waitFor} from './wait-for.js';
