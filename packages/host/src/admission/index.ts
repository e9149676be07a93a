export {DemandReporter, parseDemandReport} from './demand-report.js';
export {type HostAdmissionOptions, HostAdmission} from './host-admission.js';
export {RefusalReporter} from './refusal-report.js';
export {RequestWait} from './request-wait.js';
export {retryAfterShare, spreadRetryAfter} from './retry-after.js';
