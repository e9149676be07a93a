import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import type {HostDescription, HostState} from '@lacewingpoint/coordination';
import {selectNearbyHosts} from '@lacewingpoint/routing';
import {
	type Disposable, type Logger, type Milliseconds, type RandomSource, getErrorMessage,
} from '@lacewingpoint/shared';
import createRouter from 'find-my-way';
import {listen} from './requests/client-listener.js';
import type {DirectoryProtocol, HostSettings} from './ports.js';
import {addressTimeToLive} from './stopping/index.js';

export type HostEndpointsOptions = {
	readonly settings: HostSettings;
	readonly directoryProtocol: DirectoryProtocol;
	readonly log: Logger;
	readonly random: RandomSource;
	hostState(): HostState;
	/** How long clients may cache this host's address; 0 if it is not to be used any more. */
	ownTimeToLive(): Milliseconds;
	/** The peers that are offered to clients. */
	offeredHosts(): readonly HostDescription[];
	formatMetrics(): string;
};

/**
 * Serves the readiness, address lookup and metrics endpoints. An address that cannot be bound is logged and skipped.
 *
 * @param options - The addresses and the data to serve.
 * @returns A handle that closes the servers.
 */
export async function serveEndpoints(options: HostEndpointsOptions): Promise<Disposable> {
	const {settings, directoryProtocol, log} = options;
	const routers = new Map<string, ReturnType<typeof createRouter>>();
	const addRoute = (address: string, path: string, handler: (request: IncomingMessage, response: ServerResponse) => void) => {
		const router = routers.get(address) ?? createRouter({
			defaultRoute(_request, response) {
				response.writeHead(404).end();
			},
		});
		routers.set(address, router);
		router.on('GET', path, (request, response) => {
			handler(request as IncomingMessage, response as ServerResponse);
		});
	};

	addRoute(settings.readinessAddress, directoryProtocol.readinessPath, (_request, response) => {
		response.writeHead(options.hostState() === 'serving' || options.hostState() === 'detached' ? 200 : 503).end();
	});
	addRoute(settings.lookupAddress, directoryProtocol.lookupPath, (request, response) => {
		respondToLookup(options, request, response);
	});
	addRoute(settings.metricsAddress, '/metrics', (_request, response) => {
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

function respondToLookup(options: HostEndpointsOptions, request: IncomingMessage, response: ServerResponse): void {
	const {settings, directoryProtocol} = options;
	const url = request.url ?? '';
	const clientLocation = directoryProtocol.decodeLookup(url.slice(url.indexOf('?') + 1));
	const state = options.hostState();
	const ownDescription = state === 'serving' ? [settings.description] : [];
	const hosts = selectNearbyHosts([...ownDescription, ...options.offeredHosts()], clientLocation, options.random);
	// A stopping or detached host still serves requests for a while, so its own address is better than none.
	const isOnlyHost = hosts.length === 0 && state !== 'starting';
	const listedHosts = isOnlyHost ? [settings.description] : hosts;
	const timeToLive = isOnlyHost ? options.ownTimeToLive() : addressTimeToLive;
	if (listedHosts.length === 0 || timeToLive === 0) {
		response.writeHead(503).end();
		return;
	}

	const body = directoryProtocol.lookupBody(listedHosts.map(host => host.clientAddress), timeToLive);
	response.writeHead(200, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)}).end(body);
}
