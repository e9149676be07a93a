import type {
	Logger, Metrics, Milliseconds, RandomSource,
} from '@lacewingpoint/shared';
import type {HostSettings, PlatformAdapter} from './ports.js';
import type {OpenSocket} from './requests/server-connector.js';

/** Settings and services that a host is created with. */
export type HostDependencies = {
	readonly settings: HostSettings;
	readonly adapter: PlatformAdapter;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly random: RandomSource;
	/** Monotonic clock. */
	readonly now: () => Milliseconds;
	readonly wallClock: () => Milliseconds;
	/** Opens connections to servers; those of Node.js by default. */
	readonly openSocket?: OpenSocket;
	/** @returns The number of log lines dropped since the start. */
	droppedLogLines(): number;
};
