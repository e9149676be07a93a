export {BlockCache} from './block-cache.js';
export {
	type EngineFaults, type EngineStandInOptions, EngineStandIn, poisonMarker,
} from './engine-stand-in.js';
export {answerText, answerToken} from './engine-text.js';
export {StandInServer, sendJson} from './http-server.js';
export {KeyValueTable} from './key-value-table.js';
export {type KeyValueFaults, MemoryKeyValueService} from './memory-key-value-service.js';
export {type PlatformFaults, PlatformStandIn} from './platform-stand-in.js';
export {type SeenRequest, type ServiceFaults, ServiceStandIn} from './service-stand-in.js';
export {
	type PlatformRequest, type ServerBehaviour, PlatformServerStandIn, answerEvents, answerWhole, runAndReset, stampedHead,
} from './platform-server.js';
export {type StoreTrouble, PlatformStoreStandIn} from './platform-store.js';
