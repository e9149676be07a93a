export {type BoundedOutput, createBoundedOutput} from './bounded-output.js';
export {type Disposable, DisposableStore} from './disposable-store.js';
export {hashText, rankByRendezvous, rendezvousWeight} from './hashing.js';
export {
	type Layer, type LayerError, describeError, getErrorMessage,
} from './layer-error.js';
export {
	type LogFields, type Logger, createLogger, silentLogger,
} from './logger.js';
export {type Labels, Metrics} from './metrics.js';
export {type RandomSource, createSeededRandom} from './random-source.js';
export {startRepeatingTask} from './repeating-task.js';
export {
	type SettingsError, type SettingsFault, locateSetting, parseSettings,
} from './settings-parser.js';
export {
	type Bytes, type Milliseconds, type Tokens, bytesPerMebibyte, millisecondsPerSecond,
} from './units.js';
export {type Scheduler, systemScheduler} from './scheduler.js';
