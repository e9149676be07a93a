export {type BeliefListener, Beliefs} from './beliefs.js';
export {EventRelay} from './event-relay.js';
export {type HostMessage, decodeHostMessage, encodeHostMessage} from './host-messages.js';
export {Host, type HostParts} from './host.js';
export {holderKey, termKey} from './weights-lease.js';
export type * from './ports.js';
