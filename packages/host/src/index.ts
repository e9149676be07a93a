export {
	DemandReporter, HostAdmission, parseDemandReport, spreadRetryAfter,
} from './admission/index.js';
export {type ClusterStateListener, ClusterState} from './state/cluster-state.js';
export {
	type KnownState, type MissingChanges, type PeerClient, type SnapshotSource, snapshotTimeout,
} from './state/peer-snapshots.js';
export {RelayFollower, type RelayFollowerOptions} from './state/relay-follower.js';
export {ClockMonitor, type ClockMonitorOptions} from './state/clock-monitor.js';
export {StoreWatch, type StoreWatchOptions} from './state/store-watch.js';
export {addTransferTime} from './state/transfer-time.js';
export {StreamOriginFinder, type StreamOriginFinderOptions} from './state/stream-origin-finder.js';
export {EventRelay} from './requests/event-relay.js';
export type {OpenSocket} from './requests/server-connector.js';
export {CrashLog} from './members/crash-log.js';
export {Fleet, type FleetOptions} from './members/fleet.js';
export {GossipEventQueue} from './members/gossip-events.js';
export type {GossipTransport} from './members/gossip-socket.js';
export {SendPace} from './members/link-timing.js';
export {
	type HostMessage, decodeHostMessage, encodeHostMessage, hostMessageSchema,
} from './members/host-messages.js';
export {compileSchema, invalid} from './members/schema-compiler.js';
export {Host} from './host.js';
export type {HostDependencies} from './host-dependencies.js';
export {
	type StoredRollout, RolloutRecord, decodeRolloutProgress, isRolloutKey,
} from './rollouts/rollout-record.js';
export {leaseHolderKey, leaseTermKey} from './weights/weights-lease.js';
export type * from './ports.js';
