export {PlannedStop, stopDeadlineReason, stoppingReason} from './planned-stop.js';
export {StopGuard} from './stop-guard.js';
export {addressTimeToLive} from './stop-timing.js';
