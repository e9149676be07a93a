import {type Logger, type Metrics} from '@lacewingpoint/shared';
import type {Clock} from './clock.js';
import type {Tables} from './tables.js';

/** What every system of a router runs over. */
export type RouterContext = {
	readonly tables: Tables;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
};
