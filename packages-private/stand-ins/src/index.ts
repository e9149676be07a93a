export {createConfiguration} from './configuration.js';
export {
	type PlatformRequest, type RequestHandler, PlatformServerStandIn, streamCompletion, streamEvents, respondWithBody, createCompletionChunk,
	resetConnection, respondAndReset, formatResponseHead,
} from './platform-server.js';
export {type StoreFailureMode, PlatformStoreStandIn} from './platform-store.js';
