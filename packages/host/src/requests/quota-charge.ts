import type {DistributedRateLimiter} from '@lacewingpoint/coordination';
import type {Workspace} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ClientRequest} from '../ports.js';
import {quotaUnits} from './request-admission.js';

/** The charge of one request to the rate limit of its workspace. */
export class QuotaCharge {
	readonly #rateLimiter: DistributedRateLimiter;
	#workspaceName = '';
	#units = 0;

	constructor(rateLimiter: DistributedRateLimiter) {
		this.#rateLimiter = rateLimiter;
	}

	/**
	 * Charges the request if the limit allows it.
	 *
	 * @param request - The client's request.
	 * @param workspace - Its workspace; nothing is charged without one.
	 * @param now - Current monotonic time.
	 * @returns 0 when the request was charged or has no limit, otherwise the time until the limit is likely to allow it.
	 */
	charge(request: ClientRequest, workspace: Workspace | undefined, now: Milliseconds): Milliseconds {
		const units = quotaUnits(request, workspace);
		if (units === 0 || workspace === undefined) {
			return 0;
		}

		const waitTime = this.#rateLimiter.charge(workspace.name, units, now);
		if (waitTime === 0) {
			this.#workspaceName = workspace.name;
			this.#units = units;
		}

		return waitTime;
	}

	/** Refunds the charge, because the request was not executed. */
	refund(): void {
		if (this.#units > 0) {
			this.#rateLimiter.refund(this.#workspaceName, this.#units);
			this.#units = 0;
		}
	}
}
