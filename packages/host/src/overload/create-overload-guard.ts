import type {DisposableStore} from '@lacewingpoint/shared';
import type {HostDependencies} from '../host-dependencies.js';
import type {HostSettings} from '../ports.js';
import {measureMemory} from './memory-usage.js';
import {OverloadGuard, type OverloadGuardOptions} from './overload-guard.js';

/** What a guard needs of the host's dependencies. */
export type OverloadGuardDependencies = Pick<HostDependencies, 'log' | 'metrics' | 'random' | 'now'> & {
	readonly settings: Pick<HostSettings, 'memory' | 'processorLimit'>;
};

/** What a guard needs to know of the host. */
export type GuardedHost = Pick<OverloadGuardOptions, 'routes' | 'configurationAge' | 'applyWithin' | 'runningRequests' | 'finishedRequests'>;

/**
 * Creates the overload guard of a host whose processor time is limited by its settings.
 *
 * @param dependencies - The settings, log and metrics of the host.
 * @param disposables - Gets ownership of the guard.
 * @param host - The routes and the requests of the host.
 * @returns The guard; `undefined` if the settings state no limit, so that no request is rejected for overload.
 */
export function createOverloadGuard({settings, log, metrics, random, now}: OverloadGuardDependencies, disposables: DisposableStore, host: GuardedHost): OverloadGuard | undefined {
	if (settings.processorLimit === undefined) {
		return undefined;
	}

	return disposables.add(new OverloadGuard({
		...host,
		memory: settings.memory,
		log,
		metrics,
		random,
		now,
		measureBusyTime: () => performance.eventLoopUtilization().active,
		measureMemory,
	}));
}
