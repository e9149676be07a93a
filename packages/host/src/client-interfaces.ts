import type {HostDependencies} from './host-dependencies.js';
import {type ClientListener, type ClientListenerOptions, serveClients} from './requests/client-listener.js';

/**
 * Listens for clients at the addresses of all interfaces. Requests that are rejected before they reach the pipeline are logged and counted.
 *
 * @param dependencies - The settings, interfaces, log and metrics of the host.
 * @param options - The limits on requests, whether the host is stopping, and the receiver of the requests.
 * @returns The listening servers.
 */
export async function serveInterfaces(dependencies: HostDependencies, options: Pick<ClientListenerOptions, 'inbound' | 'limits' | 'allowedTime' | 'isStopping' | 'guard' | 'onRequest'>): Promise<readonly ClientListener[]> {
	const {adapter, log, metrics, now} = dependencies;
	return Promise.all(adapter.interfaces.map(async ({address, protocol}) => serveClients({
		...options,
		address,
		protocol,
		now,
		onRejected(id, status, reason) {
			const outcome = 'rejected';
			metrics.incrementCounter('requests', {route: 'none', outcome, status: String(status)});
			log.info('request', {
				id, outcome, status, cause: reason,
			});
		},
	})));
}
