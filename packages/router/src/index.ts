export {type WaitingRequest, AdmissionService} from './admission-service.js';
export {authorize} from './authorization.js';
export {ClaimService} from './claim-service.js';
export {ClaimStore, claimKey} from './claim-store.js';
export {type Clock, systemClock} from './clock.js';
export {applyChanges} from './configuration-change.js';
export {RouterDaemon} from './daemon.js';
export {Metrics} from '@lacewingpoint/shared';
export {
	type Refusal, type RefusalCode, notRun, refusalBody,
} from './router-error.js';
export {type StoreLinkOptions, StoreLink} from './store-link.js';
export {type Tables, createTables} from './tables.js';
