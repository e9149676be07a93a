import type {HostDependencies} from './host-dependencies.js';
import {type ClientListener, type ClientListenerOptions, serveClients} from './requests/client-listener.js';

/** Share of the memory that request bodies may use. */
const bodyMemoryShare = 0.15;

/**
 * Listens for clients at the addresses of all interfaces. Requests that are rejected before they reach the pipeline are logged and counted.
 *
 * @param dependencies - The settings, interfaces, log and metrics of the host.
 * @param options - The limits of the current configuration, whether the host is stopping, and the receiver of the requests.
 * @returns The listening servers.
 */
export async function serveInterfaces(dependencies: HostDependencies, options: Pick<ClientListenerOptions, 'limits' | 'isStopping' | 'guard' | 'onRequest'>): Promise<readonly ClientListener[]> {
	const {
		settings, adapter, log, metrics, now,
	} = dependencies;
	return Promise.all(adapter.interfaces.map(async ({address, protocol}) => serveClients({
		...options,
		address,
		protocol,
		bodyMemoryLimit: settings.memory * bodyMemoryShare / adapter.interfaces.length,
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
