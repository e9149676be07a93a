export {
	type Call, type CallEnd, Caller,
} from './caller.js';
export {LocalProcess} from './child-process.js';
export {type Backend, type LocalClusterOptions, LocalCluster} from './local-cluster.js';
