export {createConfiguration} from './configuration.js';
export {
	type PlatformRequest, type ServerBehaviour, PlatformServerStandIn, answerCompletion, answerEvents, answerWhole, completionPiece,
	resetConnection, runAndReset, stampedHead,
} from './platform-server.js';
export {type StoreTrouble, PlatformStoreStandIn} from './platform-store.js';
