export {createConfiguration} from './configuration.js';
export {type LinkFault, LoopbackProxy} from './loopback-proxy.js';
export {
	type PlatformRequest, type ReceivedOrder, type RequestHandler, PlatformServerStandIn, createCompletionChunk, formatResponseHead,
	resetConnection, respondAndReset, respondWithBody, streamCompletion, streamEvents, streamUntilClose,
} from './platform-server.js';
export {type StoreCopy, type StoreFailureMode, PlatformStoreStandIn} from './platform-store.js';
