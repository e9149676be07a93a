export {type ModelLeaseOptions, ModelLease} from './model-lease.js';
export {type ReconcilerOptions, Reconciler} from './reconciler.js';
