import {
	type Admission, type AdmissionOutcome, type AdmissionRequest, type Placement,
} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import type {Clock} from './clock.js';
import {type Refusal, notRun} from './router-error.js';

/** A request that waits for room. */
export type WaitingRequest = {
	readonly signal: AbortSignal;
	settle(result: Result<Placement, Refusal>): void;
};

const retryAfterNoServer: Milliseconds = 1000;

/** Lets callers' requests wait for the decisions of {@link Admission}. */
export class AdmissionService {
	readonly #admission: Admission<WaitingRequest>;
	readonly #clock: Clock;

	constructor(admission: Admission<WaitingRequest>, clock: Clock) {
		this.#admission = admission;
		this.#clock = clock;
	}

	/**
	 * Places a request, now or after a wait.
	 *
	 * @param request - The request.
	 * @param signal - Aborted when the caller has gone.
	 * @returns The placement; its uncached tokens are counted at the server.
	 */
	async place(request: AdmissionRequest, signal: AbortSignal): Promise<Result<Placement, Refusal>> {
		return new Promise(settle => {
			const outcome = this.#admission.offer({signal, settle}, request, this.#clock.now());
			if (outcome !== undefined) {
				settle(resultOf(outcome));
			}
		});
	}

	/** Places waiting requests as room appears; run each tick and after each first token. */
	pump(): void {
		for (const {item, outcome} of this.#admission.pump(this.#clock.now(), ({signal}) => signal.aborted)) {
			item.settle(resultOf(outcome));
		}
	}
}

function resultOf(outcome: AdmissionOutcome): Result<Placement, Refusal> {
	switch (outcome.type) {
		case 'placed': {
			return Result.ok(outcome.placement);
		}

		case 'no-server': {
			return Result.err(notRun('no-backend-server', 'no backend server of this model can take new work', retryAfterNoServer));
		}

		case 'overloaded': {
			return Result.err(notRun('overloaded', 'the engines of this model are full', outcome.retryAfter));
		}
	}
}
