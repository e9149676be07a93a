import {setTimeout as pause} from 'node:timers/promises';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ClientListener} from './client-listener.js';

/** Time between two checks whether all responses are delivered. */
const checkInterval: Milliseconds = 20;

/**
 * Stops listening for clients, and waits until the responses to all requests whose heads were read are delivered. Designed for a planned
 * stop under load: a request may arrive between the last check for running requests and the end of the process, and a response that has
 * ended may still be in the buffer of its connection.
 *
 * @param listeners - The listeners of the host.
 * @param deadline - The monotonic time until which to wait.
 * @param now - Monotonic clock.
 * @returns The number of responses that are not delivered.
 */
export async function drainListeners(listeners: readonly ClientListener[], deadline: Milliseconds, now: () => Milliseconds): Promise<number> {
	for (const listener of listeners) {
		listener.stopListening();
	}

	const countUndelivered = () => listeners.reduce((sum, listener) => sum + listener.undeliveredResponses(), 0);
	while (countUndelivered() > 0 && now() < deadline) {
		await pause(checkInterval);
	}

	return countUndelivered();
}
