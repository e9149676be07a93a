export {
	type Demand, type ServiceDemand, type Usage, type WaitingDemand, DecayingRate, addDemand, noServiceDemand, otherWorkspaces, summarizeDemand,
} from './demand.js';
export {type ShareClaim, divideCapacity} from './fair-share.js';
export {
	type AdmissionStep, type WaitingRequest, classifyRequest, computeAdmissionLevel, describeLevel, estimateWait, exceedsShare, openLevel, rankOf, toLevel,
} from './admission-level.js';
export {type FleetDemandOptions, FleetDemand} from './fleet-demand.js';
export {
	type RefusedRequest, type ReturnState, type ReturningClientsOptions, ReturningClients,
} from './returning-clients.js';
export {
	type AdmissionControllerOptions, type AdmissionRequest, type HeldRequest, AdmissionController, usesDifferentRanks,
} from './admission-controller.js';
