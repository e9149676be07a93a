export {createOverloadGuard} from './create-overload-guard.js';
export type {AdmissionGuard, OverloadGuard} from './overload-guard.js';
