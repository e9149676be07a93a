import type {Route, Workspace} from '@lacewingpoint/routing';
import {type Milliseconds, hashText} from '@lacewingpoint/shared';
import type {ReceivedRequest} from '../ports.js';
import {type Admission, selectService} from './request-admission.js';

/** The deadline of requests whose clients state none. */
const defaultDeadline: Milliseconds = 30_000;

/**
 * Computes how long a request may take.
 *
 * @param deadline - The client's deadline; `undefined` if it states none.
 * @param timeout - The time-out of the route; `undefined` if none matches.
 * @returns The shorter of the two.
 */
export function allowedTime(deadline: Milliseconds | undefined, timeout: Milliseconds | undefined): Milliseconds {
	return Math.min(deadline ?? defaultDeadline, timeout ?? defaultDeadline);
}

/** A request and what its admission has determined so far. */
export class RoutedRequest {
	readonly received: ReceivedRequest;
	/** How long the request may have waited in the operating system until it was read, because the host was held up. */
	readonly longestReadDelay: Milliseconds;
	readonly #now: () => Milliseconds;
	#route: Route | undefined;
	#workspace: Workspace | undefined;
	#service = '';
	#fingerprint = 0;

	/**
	 * @param received - The request, its body and the writer of its response.
	 * @param context - Monotonic clock, and how far back data that is read now may have arrived.
	 */
	constructor(received: ReceivedRequest, {now, earliestArrival}: {now(): Milliseconds; earliestArrival(): Milliseconds}) {
		this.received = received;
		this.longestReadDelay = now() - earliestArrival();
		this.#now = now;
	}

	get route(): Route | undefined {
		return this.#route;
	}

	get workspace(): Workspace | undefined {
		return this.#workspace;
	}

	/** The service selected for the request; empty before. */
	get service(): string {
		return this.#service;
	}

	/** Hash of the request's content and workspace; 0 before it is computed. */
	get fingerprint(): number {
		return this.#fingerprint;
	}

	get isStream(): boolean {
		return this.#route?.repeatability === 'stream' || this.#route?.repeatability === 'resumable-stream';
	}

	/** Whether the client takes up a stream of which it has received events. */
	get isResumedStream(): boolean {
		const {lastEventId, resumedRequestId} = this.received.request;
		return this.isStream && (lastEventId !== undefined || resumedRequestId !== undefined);
	}

	get isRetryable(): boolean {
		return this.#route?.repeatability === 'idempotent' || this.#route?.repeatability === 'resumable-stream';
	}

	get rank(): number {
		return this.#workspace?.rank ?? this.#route?.rank ?? 0;
	}

	/** @returns Time until the deadline of the client or the time-out of the route, whichever is first; negative after it. */
	remainingTime(): Milliseconds {
		return this.received.receivedAt + allowedTime(this.received.request.deadline, this.#route?.timeout) - this.#now();
	}

	/**
	 * Records the route and the workspace that the request was admitted to, or the route that refused it.
	 *
	 * @param admission - The result of the admission.
	 */
	recordAdmission(admission: Admission): void {
		this.#route = admission.route;
		this.#workspace = admission.type === 'admitted' ? admission.workspace : undefined;
	}

	/** Computes the fingerprint of the request. */
	computeFingerprint(): void {
		const {request, body} = this.received;
		const bodyHash = hashText(Buffer.from(body.buffer, body.byteOffset, body.length).toString('latin1'));
		this.#fingerprint = hashText(`${request.method} ${request.target} ${request.credential ?? ''}`, bodyHash);
	}

	/**
	 * Selects one of the services of the route, or that which the forwarding host has selected.
	 *
	 * @param route - The route.
	 * @param randomValue - A random number, from 0 inclusive to 1 exclusive.
	 */
	selectService(route: Route, randomValue: number): void {
		const selected = this.received.forwarding?.service;
		const isKnown = route.services.some(({service}) => service === selected);
		this.#service = (isKnown ? selected : selectService(route, randomValue)) ?? '';
	}
}
