export {
	type Call, type CallEnd, Caller,
} from './caller.js';
export {LocalProcess} from './child-process.js';
export {type Backend, type LocalClusterOptions, LocalCluster} from './local-cluster.js';
export {freePorts} from './free-ports.js';
export {type InProcessOptions, InProcessSystem, testSecrets} from './in-process-system.js';
export {waitFor} from './wait-for.js';
