export {type ClusterStateListener, ClusterState} from './state/cluster-state.js';
export {EventRelay} from './requests/event-relay.js';
export {type HostMessage, decodeHostMessage, encodeHostMessage} from './members/host-messages.js';
export {Host, type HostDependencies} from './host.js';
export {leaseHolderKey, leaseTermKey} from './weights/weights-lease.js';
export type * from './ports.js';
