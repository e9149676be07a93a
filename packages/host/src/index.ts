export {type ClusterStateListener, ClusterState} from './cluster-state.js';
export {EventRelay} from './event-relay.js';
export {type HostMessage, decodeHostMessage, encodeHostMessage} from './host-messages.js';
export {Host, type HostDependencies} from './host.js';
export {leaseHolderKey, leaseTermKey} from './weights-lease.js';
export type * from './ports.js';
