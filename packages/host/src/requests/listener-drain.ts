import {setTimeout as pause} from 'node:timers/promises';
import type {Milliseconds} from '@lacewingpoint/shared';
import {stopDeadlineReason} from '../stopping/planned-stop.js';
import type {ClientListener} from './client-listener.js';
import type {RunningRequests} from './running-requests.js';

/** Time between two checks whether all responses are delivered. */
const checkInterval: Milliseconds = 20;

/** Time for the delivery of the responses that end requests at the deadline. */
const deliveryTime: Milliseconds = 200;

/** What is drained when a host stops. */
export type DrainOptions = {
	readonly listeners: readonly ClientListener[];
	/** The monotonic time until which requests may run. */
	readonly deadline: Milliseconds;
	/** Those that have no response at the deadline get one. */
	readonly runningRequests?: RunningRequests;
	readonly now: () => Milliseconds;
	/** @returns The number of responses to peers that are not delivered yet. */
	undeliveredToPeers?(): number;
};

/**
 * Stops listening for clients, and waits until the responses to all requests whose heads were read are delivered. Designed for a planned
 * stop under load: a request may arrive between the last check for running requests and the end of the process, and a response that has
 * ended may still be in the buffer of its connection. At the deadline, requests get a final response instead of a closed connection.
 *
 * @param options - What is drained, and until when.
 * @returns The number of responses that are not delivered.
 */
export async function drainListeners({listeners, deadline, now, undeliveredToPeers, runningRequests}: DrainOptions): Promise<number> {
	for (const listener of listeners) {
		listener.stopListening();
	}

	const countUndelivered = () => listeners.reduce((sum, listener) => sum + listener.undeliveredResponses(), undeliveredToPeers?.() ?? 0);
	const waitForDelivery = async (until: Milliseconds) => {
		while (countUndelivered() > 0 && now() < until) {
			await pause(Math.min(checkInterval, Math.max(until - now(), 1)));
		}
	};

	await waitForDelivery(deadline);
	if (countUndelivered() > 0) {
		runningRequests?.endAll();
		for (const listener of listeners) {
			listener.refuseIncompleteRequests(stopDeadlineReason);
		}

		await waitForDelivery(deadline + deliveryTime);
	}

	return countUndelivered();
}
