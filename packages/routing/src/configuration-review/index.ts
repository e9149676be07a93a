export {type ConfigurationDifference, type FieldDifference, compareConfigurations} from './difference.js';
export type {ConfigurationEntry, ConfigurationFinding} from './findings.js';
export {reviewConfiguration} from './review.js';
