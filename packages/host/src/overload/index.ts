export {createOverloadGuard} from './create-overload-guard.js';
export type {OverloadGuard} from './overload-guard.js';
