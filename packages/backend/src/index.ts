export {type BackendConnectionOptions, createConnectionPool} from './connection-pool.js';
export {
	type BackendError, type BackendErrorCode, backendErrorOf, certainlyDidNotRun,
} from './backend-error.js';
export type {
	CacheEvent, Engine, EngineAnswer, EngineChunk, EngineReport, EngineRequest, EngineState, LoadOrder,
} from './engine.js';
export {
	HttpEngine, declinedError, engineHeaders,
} from './http-engine.js';
export {
	type PlainService, type ServiceAnswer, type ServiceRequest, HttpPlainService,
} from './plain-service.js';
