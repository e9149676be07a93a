import type {HeldRequest} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {PlacementResult} from '../placement/placement-request.js';
import type {RoutedRequest} from '../requests/routed-request.js';
import type {HostAdmission} from './host-admission.js';

/** The part of the latency objective that a request may wait; the rest is left to the server. */
const timelyShare = 0.6;

/** Place of one request in the order of waiting that all hosts share. */
export class RequestWait {
	readonly #admission: HostAdmission;
	readonly #request: RoutedRequest;
	readonly #entry: HeldRequest;
	#waitsForCapacity = false;
	#isSent = false;

	/**
	 * @param admission - The order of waiting.
	 * @param request - A request whose service has been selected.
	 * @param now - Current monotonic time.
	 */
	constructor(admission: HostAdmission, request: RoutedRequest, now: Milliseconds) {
		this.#admission = admission;
		this.#request = request;
		const {received: {request: clientRequest, receivedAt}, route, workspace, rank} = request;
		this.#entry = {
			workspace: workspace?.name ?? '',
			rank,
			size: admission.sizeOf(request.service, clientRequest.generation?.promptTokens),
			enqueuedAt: now,
			expiresAt: now + request.remainingTime(),
			timelyUntil: receivedAt + ((route?.objective ?? 0) * timelyShare),
			returnState: admission.returnStateOf(request.fingerprint),
		};
		admission.recordArrival(request.service, this.#entry);
	}

	/** Whether the request waits for a server's capacity, rather than for prompt parts that are being prefilled or for one certain server. */
	get waitsForCapacity(): boolean {
		return this.#waitsForCapacity;
	}

	/**
	 * Describes the request to the queue.
	 *
	 * @param maximumQueueTime - How long it may wait.
	 * @param now - Current monotonic time.
	 * @returns The entry without the queued object.
	 */
	createEntry(maximumQueueTime: Milliseconds, now: Milliseconds): HeldRequest {
		return {...this.#entry, expiresAt: now + maximumQueueTime};
	}

	/**
	 * Chooses a server, unless a request that goes before this one waits on any host. Attempts after the first are not held back.
	 *
	 * @param place - Chooses a server.
	 * @returns The result, with the wait that the demand of all hosts lets expect.
	 */
	placeInOrder(place: () => PlacementResult): PlacementResult {
		const {service} = this.#request;
		if (!this.#isSent && this.#admission.isInForce && !this.#admission.admits(service, this.#admission.classify(service, this.#entry))) {
			// A client that ignores its retry-after gets no place in the queue while others wait.
			if (this.#entry.returnState === 'early') {
				return {type: 'full', estimatedWait: Number.POSITIVE_INFINITY};
			}

			// Requests that are refused at once are never offered from a queue, and have to show by themselves that capacity stays unused.
			const placement = place();
			this.#admission.recordHeldCapacity(service, placement.type === 'chosen');
			if (!this.#admission.admits(service, this.#admission.classify(service, this.#entry))) {
				return this.observe({type: 'full', estimatedWait: 0});
			}

			return this.observe(placement);
		}

		return this.observe(place());
	}

	/**
	 * Records why the request waits.
	 *
	 * @param placement - The result of a placement.
	 * @returns The result, with the wait that the demand of all hosts lets expect.
	 */
	observe(placement: PlacementResult): PlacementResult {
		this.#waitsForCapacity = !this.#isSent && placement.type === 'full' && placement.isPromptPending !== true;
		if (!this.#waitsForCapacity || placement.type !== 'full') {
			return placement;
		}

		return {...placement, estimatedWait: this.#admission.estimateWait(this.#request.service, this.#entry) ?? placement.estimatedWait};
	}

	/** Records that the request is sent to a server. */
	recordSent(): void {
		if (!this.#isSent) {
			this.#isSent = true;
			this.#waitsForCapacity = false;
			this.#admission.recordSent(this.#request.service, this.#entry, this.#request.fingerprint);
		}
	}

	/**
	 * Records that the request is refused for lack of capacity.
	 *
	 * @param retryAfter - The retry-after without regard to other hosts.
	 * @returns The retry-after to send.
	 */
	refuse(retryAfter: Milliseconds): Milliseconds {
		if (!this.#admission.isInForce || this.#isSent) {
			return retryAfter;
		}

		const {service, fingerprint} = this.#request;
		const wait = this.#admission.estimateWait(service, this.#entry) ?? retryAfter;
		return this.#admission.refuse(service, this.#entry, fingerprint, wait, this.#request.remainingTime());
	}
}
