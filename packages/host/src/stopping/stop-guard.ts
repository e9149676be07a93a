import type {RouteIndex} from '@lacewingpoint/routing';
import type {Logger, Metrics} from '@lacewingpoint/shared';
import type {RequestPreview} from '../ports.js';
import type {AdmissionGuard, Rejection} from '../overload/overload-guard.js';
import {findRoute} from '../requests/request-admission.js';
import {allowedTime} from '../requests/routed-request.js';
import {type PlannedStop, stoppingReason} from './planned-stop.js';

export type StopGuardOptions = {
	readonly plannedStop: PlannedStop;
	readonly log: Logger;
	readonly metrics: Metrics;
	/** Decides on what a stopping host could still serve. */
	readonly overloadGuard: AdmissionGuard | undefined;
	/** @returns The routes of the current configuration. */
	routes(): RouteIndex | undefined;
};

/** Rejects requests that a stopping host may not be able to end, before they are read. */
export class StopGuard implements AdmissionGuard {
	readonly #options: StopGuardOptions;

	constructor(options: StopGuardOptions) {
		this.#options = options;
	}

	get isBehind(): boolean {
		return this.#options.overloadGuard?.isBehind === true;
	}

	evaluate(target: string, preview: () => RequestPreview): Rejection | undefined {
		const {plannedStop, overloadGuard, routes, log, metrics} = this.#options;
		if (plannedStop.isStopping) {
			const {id, host, deadline} = preview();
			const index = routes();
			const route = host === undefined || index === undefined ? undefined : findRoute(index, host, target);
			const remainingTime = allowedTime(deadline, route?.timeout);
			if (!plannedStop.admits(remainingTime)) {
				metrics.incrementCounter('requests', {route: 'none', outcome: 'rejected', status: '503'});
				log.info('request', {
					id, outcome: 'rejected', status: 503, cause: stoppingReason,
				});
				return {reason: 'stopping', retryAfter: plannedStop.retryAfter(remainingTime)};
			}
		}

		return overloadGuard?.evaluate(target, preview);
	}
}
