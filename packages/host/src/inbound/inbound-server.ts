import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import type {Socket} from 'node:net';
import type {ListenerKind} from '@lacewingpoint/routing';
import type {Bytes, Milliseconds} from '@lacewingpoint/shared';
import type {Inbound} from './inbound.js';
import {type InboundExchange, InboundConnection} from './inbound-connection.js';

export type InboundServerOptions = {
	/** IP address and port, separated by a colon. */
	readonly address: string;
	readonly kind: ListenerKind;
	readonly inbound: Inbound;
	/** Requests of one connection that are read before their responses are delivered. */
	readonly pipelinedRequests: number;
	onRequest(exchange: InboundExchange): void;
	/** @returns The limits on heads at present. */
	limits(): HeadLimits;
	/** Called when something was received that is no request. */
	onMalformed?(status: number, reason: string): void;
};

/** Header limit of the HTTP parser. The lower one of `limits` is checked while heads are read. */
const parserHeaderLimit: Bytes = 65_536;

/** How heads are read, and how long connections stay open. */
export type HeadLimits = {
	readonly headerBytes: Bytes;
	readonly headerTime: Milliseconds;
	readonly idleTime: Milliseconds;
};

/** A listening HTTP server whose connections are subject to the limits of the host. */
export type InboundServer = {
	readonly server: Server;
	/** Applies changed limits on heads. */
	applyLimits(): void;
	/** @returns The number of open connections. */
	connectionCount(): number;
};

/** Statuses of the responses to what is no request, by the code of the parser's error. */
const malformedStatuses: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/**
 * Listens for HTTP requests of clients or peers. Rejects if the address cannot be used.
 *
 * @param options - The address, the limits and the receiver of the requests.
 * @returns The listening server.
 */
export async function serveInbound(options: InboundServerOptions): Promise<InboundServer> {
	const {address, kind, inbound, pipelinedRequests, onRequest, limits} = options;
	const {ledger, limits: inboundLimits, scheduler, now} = inbound;
	const connections = new WeakMap<Socket, InboundConnection>();
	let connectionCount = 0;
	const server = createServer({
		maxHeaderSize: parserHeaderLimit, noDelay: true, keepAlive: true, keepAliveInitialDelay: 5000, requestTimeout: 0, connectionsCheckingInterval: kind === 'clients' ? 500 : 2000,
	}, (request: IncomingMessage, response: ServerResponse) => {
		const connection = connections.get(request.socket);
		if (connection !== undefined && !request.socket.destroyed && !connection.isRefused) {
			onRequest(connection.addExchange(request, response));
		}
	});
	// By default, further headers would be left out of requests without notice. Their size is limited.
	server.maxHeadersCount = 0;
	const applyLimits = () => {
		server.headersTimeout = limits().headerTime;
		server.keepAliveTimeout = limits().idleTime;
	};

	applyLimits();
	const onMalformed = (status: number, reason: string) => {
		options.onMalformed?.(status, reason);
	};

	server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
		const connection = connections.get(request.socket);
		if (connection !== undefined) {
			response.shouldKeepAlive = false;
			connection.addExchange(request, response).connection.stopReading();
			response.writeHead(417, {'Content-Length': 0}).end();
		}
	});
	server.on('connection', socket => {
		const connection = new InboundConnection(socket, {
			ledger, limits: inboundLimits, scheduler, pipelinedRequests, now, onMalformed, headLimit: () => limits().headerBytes,
		});
		const account = ledger.open(kind, connection);
		if (account === undefined) {
			socket.destroy();
			return;
		}

		connection.admit(account);
		connections.set(socket, connection);
		connectionCount++;
		socket.once('close', () => {
			connectionCount--;
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		const connection = connections.get(socket as Socket);
		if (connection === undefined || connection.isRefused || !socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		const status = malformedStatuses[error.code ?? ''] ?? '400 Bad Request';
		onMalformed(Number(status.slice(0, 3)), error.code ?? error.message);
		connection.refuseMalformed(status);
	});
	await listen(server, address);
	return {server, applyLimits, connectionCount: () => connectionCount};
}

/**
 * Starts a server and waits until it listens. Rejects if the address cannot be used.
 *
 * @param server - A server that does not listen yet.
 * @param address - IP address and port, separated by a colon.
 */
async function listen(server: Server, address: string): Promise<void> {
	const [host, port] = address.split(':');
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port: Number(port), backlog: 1024}, () => {
			server.off('error', reject);
			resolve();
		});
	});
}
