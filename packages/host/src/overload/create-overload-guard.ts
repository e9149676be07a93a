import type {DisposableStore} from '@lacewingpoint/shared';
import type {HostDependencies} from '../host-dependencies.js';
import {measureMemory} from './memory-usage.js';
import {OverloadGuard, type OverloadGuardOptions} from './overload-guard.js';

/**
 * Creates the overload guard of a host whose processor time is limited by its settings.
 *
 * @param dependencies - The settings, log and metrics of the host.
 * @param disposables - Gets ownership of the guard.
 * @param state - The routes and the running requests of the host.
 * @returns The guard; `undefined` if the settings state no limit, so that no request is rejected for overload.
 */
export function createOverloadGuard({settings, log, metrics, random, now}: HostDependencies, disposables: DisposableStore, state: Pick<OverloadGuardOptions, 'routes' | 'runningRequests' | 'finishedRequests'>): OverloadGuard | undefined {
	if (settings.processorLimit === undefined) {
		return undefined;
	}

	return disposables.add(new OverloadGuard({
		...state,
		memory: settings.memory,
		log,
		metrics,
		random,
		now,
		measureBusyTime: () => performance.eventLoopUtilization().active,
		measureMemory,
	}));
}
