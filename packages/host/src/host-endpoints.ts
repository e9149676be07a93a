import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import type {HostDescription, HostState} from '@lacewingpoint/coordination';
import {selectNearbyHosts} from '@lacewingpoint/routing';
import {
	type Disposable, type Logger, type Milliseconds, getErrorMessage,
} from '@lacewingpoint/shared';
import createRouter from 'find-my-way';
import {listen} from './client-listener.js';
import type {DirectoryProtocol, HostSettings} from './ports.js';

export type HostEndpointsOptions = {
	readonly settings: HostSettings;
	readonly directoryProtocol: DirectoryProtocol;
	/** How long clients are told to keep an address. */
	readonly addressTimeToLive: Milliseconds;
	readonly log: Logger;
	hostState(): HostState;
	/** The other hosts that clients may be sent to. */
	servingHosts(): readonly HostDescription[];
	formatMetrics(): string;
};

/**
 * Serves the questions for readiness, addresses and metrics.
 *
 * @param options - Where and with what.
 * @returns Closes the servers.
 */
export async function serveEndpoints(options: HostEndpointsOptions): Promise<Disposable> {
	const {settings, directoryProtocol: protocol, log} = options;
	const routers = new Map<string, ReturnType<typeof createRouter>>();
	const on = (address: string, path: string, answer: (request: IncomingMessage, response: ServerResponse) => void) => {
		const router = routers.get(address) ?? createRouter({
			defaultRoute(_request, response) {
				response.writeHead(404).end();
			},
		});
		routers.set(address, router);
		router.on('GET', path, (request, response) => {
			answer(request as IncomingMessage, response as ServerResponse);
		});
	};

	on(settings.readinessAddress, protocol.readinessPath, (_request, response) => {
		response.writeHead(options.hostState() === 'serving' ? 200 : 503).end();
	});
	on(settings.lookupAddress, protocol.lookupPath, (request, response) => {
		answerLookup(options, request, response);
	});
	on(settings.metricsAddress, '/metrics', (_request, response) => {
		response.writeHead(200, {'Content-Type': 'text/plain; charset=utf-8'}).end(options.formatMetrics());
	});
	const servers: Server[] = [];
	for (const [address, router] of routers) {
		const server = createServer({keepAliveTimeout: 5000}, (request, response) => {
			router.lookup(request, response);
		});
		servers.push(server);
		try {
			await listen(server, address);
		} catch (error) {
			log.warn('endpoint-failed', {address, reason: getErrorMessage(error)});
		}
	}

	return {
		dispose() {
			for (const server of servers) {
				server.close();
				server.closeAllConnections();
			}
		},
	};
}

function answerLookup(options: HostEndpointsOptions, request: IncomingMessage, response: ServerResponse): void {
	const {settings, directoryProtocol: protocol, addressTimeToLive: addressKeep} = options;
	const url = request.url ?? '';
	const question = protocol.decodeLookup(url.slice(url.indexOf('?') + 1));
	const state = options.hostState();
	const own = state === 'serving' ? [settings.description] : [];
	const hosts = selectNearbyHosts([...own, ...options.servingHosts()], question);
	// A host that stops still answers for a while: better its address than none.
	const named = hosts.length > 0 || state === 'starting' ? hosts : [settings.description];
	if (named.length === 0) {
		response.writeHead(503).end();
		return;
	}

	const body = protocol.lookupBody(named.map(host => host.clientAddress), addressKeep);
	response.writeHead(200, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)}).end(body);
}
