import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {HostDescription, HostState} from '@lacewingpoint/coordination';
import {type ListenerKind, selectNearbyHosts} from '@lacewingpoint/routing';
import {
	type Disposable, type Logger, type Milliseconds, type RandomSource, getErrorMessage,
} from '@lacewingpoint/shared';
import createRouter from 'find-my-way';
import {type Inbound, serveInbound} from './inbound/index.js';
import type {DirectoryProtocol, HostSettings} from './ports.js';
import {addressTimeToLive} from './stopping/index.js';

export type HostEndpointsOptions = {
	readonly settings: HostSettings;
	readonly inbound: Inbound;
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

const headLimits = {headerBytes: 16_384, headerTime: 3000, idleTime: 5000} as const;

/**
 * Serves the readiness, address lookup and metrics endpoints. An address that cannot be bound is logged and skipped.
 *
 * @param options - The addresses and the data to serve.
 * @returns A handle that closes the servers.
 */
export async function serveEndpoints(options: HostEndpointsOptions): Promise<Disposable> {
	const {settings, directoryProtocol, log, inbound} = options;
	const routers = new Map<string, {readonly router: ReturnType<typeof createRouter>; readonly kind: ListenerKind}>();
	const addRoute = (address: string, kind: ListenerKind, path: string, handler: (request: IncomingMessage, response: ServerResponse) => void) => {
		const endpoint = routers.get(address) ?? {
			router: createRouter({
				defaultRoute(_request, response) {
					response.writeHead(404).end();
				},
			}), kind,
		};
		routers.set(address, endpoint);
		endpoint.router.on('GET', path, (request, response) => {
			handler(request as IncomingMessage, response as ServerResponse);
		});
	};

	addRoute(settings.readinessAddress, 'readiness', directoryProtocol.readinessPath, (_request, response) => {
		response.writeHead(options.hostState() === 'serving' || options.hostState() === 'detached' ? 200 : 503).end();
	});
	addRoute(settings.lookupAddress, 'lookup', directoryProtocol.lookupPath, (request, response) => {
		respondToLookup(options, request, response);
	});
	addRoute(settings.metricsAddress, 'metrics', '/metrics', (_request, response) => {
		response.writeHead(200, {'Content-Type': 'text/plain; charset=utf-8'}).end(options.formatMetrics());
	});
	const servers: Server[] = [];
	for (const [address, {router, kind}] of routers) {
		try {
			const {server} = await serveInbound({
				address, kind, inbound, pipelinedRequests: 1, limits: () => headLimits, onRequest(exchange) {
					exchange.connection.ignoreBody(exchange);
					router.lookup(exchange.request, exchange.response);
				},
			});
			servers.push(server);
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
