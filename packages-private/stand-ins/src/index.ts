export {createConfiguration} from './configuration.js';
export {
	type PlatformRequest, type RequestHandler, PlatformServerStandIn, createCompletionChunk, formatResponseHead,
	resetConnection, respondAndReset, respondWithBody, streamCompletion, streamEvents, streamUntilClose,
} from './platform-server.js';
export {type StoreCopy, type StoreFailureMode, PlatformStoreStandIn} from './platform-store.js';
