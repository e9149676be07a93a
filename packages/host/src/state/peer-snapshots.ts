import type {FleetLink, HostReport} from '@lacewingpoint/coordination';
import type {StreamOrigin} from '@lacewingpoint/routing';
import {
	type Disposable, type LayerError, type Milliseconds, getErrorMessage,
} from '@lacewingpoint/shared';
import {createTRPCClient, httpLink} from '@trpc/client';
import {initTRPC} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {Result} from 'true-myth';
import * as v from 'valibot';
import {hostProtocolVersion} from '../members/host-protocol.js';
import {type Inbound, type InboundExchange, serveInbound} from '../inbound/index.js';
import type {ChangeBatch} from '../ports.js';
import {forwardedRequestPath} from '../requests/forwarded-request.js';
import type {ContactQuestion, ServerContact} from './server-contact.js';
import {addTransferTime} from './transfer-time.js';

/** What a host knows already. */
export type KnownState = {
	/** Version of its configuration; 0 while it has none. */
	readonly configuration: number;
	/** The state version up to which it has the changes of the responding host; 0 if it has none of them. */
	readonly stateVersion: number;
};

/** Changes that another host lacks. */
export type MissingChanges = ChangeBatch & {
	/** Ids of all servers, so that others can be removed. */
	readonly serverIds: readonly string[];
	/** The state version of the responding host. */
	readonly stateVersion: number;
};

/** The state that a host serves to its peers. */
export type SnapshotSource = {
	snapshot(): ChangeBatch;
	changesSince(known: KnownState): MissingChanges;
	/** @returns The hosts that are reported to peers of a kind. */
	hosts(kind: FleetLink['kind']): HostReport[];
	/** @returns What this host knows of the version at which a stream began. */
	streamOrigin(question: OriginQuestion): StreamOrigin;
	/** @returns What this host knows of a server that the asking host does not reach. */
	serverContact(question: ContactQuestion): Promise<ServerContact>;
};

/** A question for the software version at which a stream of a service began. */
export type OriginQuestion = {
	readonly service: string;
	/** Hash of the id of the request that brought the first event; absent if the client does not name it. */
	readonly stream?: number | undefined;
};

const trpc = initTRPC.context<{readonly source: SnapshotSource}>().create();

const knownStateSchema = v.object({configuration: v.number(), stateVersion: v.number()});
const linkKindSchema = v.picklist(['relay', 'member']);
const originQuestionSchema = v.object({service: v.string(), stream: v.optional(v.number())});

const contactQuestionSchema = v.object({server: v.string(), incarnation: v.string(), age: v.number()});

const snapshotRouter = trpc.router({
	snapshot: trpc.procedure.query(({ctx}) => ({...ctx.source.snapshot(), protocol: hostProtocolVersion})),
	changes: trpc.procedure.input(value => v.parse(knownStateSchema, value)).query(({ctx, input}) => ({...ctx.source.changesSince(input), protocol: hostProtocolVersion})),
	streamOrigin: trpc.procedure.input(value => v.parse(originQuestionSchema, value)).query(({ctx, input}) => ctx.source.streamOrigin(input)),
	serverContact: trpc.procedure.input(value => v.parse(contactQuestionSchema, value)).query(async ({ctx, input}) => ctx.source.serverContact(input)),
	hosts: trpc.procedure.input(value => v.parse(linkKindSchema, value)).query(({ctx, input}) => ctx.source.hosts(input)),
});

/**
 * A request for state fails after this time. Long, because all members of a relay request a new configuration at the same time, over
 * links of a few megabits a second; requests that give up and are repeated would only add to the load.
 */
export const snapshotTimeout: Milliseconds = 2500;

/** A question about a server fails after this time: the peer connects to it at the most. */
const contactTimeout: Milliseconds = 400;

/** The error of a request that failed or timed out. */
export type SnapshotError = LayerError<'unreachable'>;

/** Limits on the calls of peers, whose heads contain what they know. */
const headLimits = {headerBytes: 16_384, headerTime: 3000, idleTime: 5000} as const;

export type SnapshotServerOptions = {
	/** The address to listen on, `host:port`. */
	readonly address: string;
	readonly inbound: Inbound;
	/** Creates the responses. */
	readonly source: SnapshotSource;
	/** Handles a forwarded request. */
	onForwarded(exchange: InboundExchange): void;
};

/**
 * Serves this host's state to peers that are outdated, and takes requests that peers forward.
 *
 * @param options - The address, the state and the receiver of forwarded requests.
 * @returns A handle that closes the server, once it is listening; rejects if the address cannot be bound.
 */
export async function serveSnapshots({address, inbound, source, onForwarded}: SnapshotServerOptions): Promise<Disposable> {
	const handleCall = createHTTPHandler({router: snapshotRouter, createContext: () => ({source}), allowBatching: false});
	const {server} = await serveInbound({
		address, kind: 'peers', inbound, pipelinedRequests: 1, limits: () => headLimits, onRequest(exchange) {
			const {request, response, connection} = exchange;
			if (request.url === forwardedRequestPath) {
				onForwarded(exchange);
				return;
			}

			connection.ignoreBody(exchange);
			if (request.method === 'GET') {
				handleCall(request, response);
			} else {
				response.writeHead(405, {'Content-Length': 0}).end();
			}
		},
	});
	return {
		dispose() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Requests the state of peers. Each call fails with `unreachable` if the peer does not respond in time. */
export type PeerClient = {
	/**
	 * Fetches a snapshot of a peer's cluster state. The ages of target versions include the time of the transfer.
	 *
	 * @param address - The peer's snapshot address, `host:port`.
	 * @returns The snapshot.
	 */
	fetchSnapshot(address: string): Promise<Result<ChangeBatch, SnapshotError>>;
	/**
	 * Fetches the changes of the cluster state that this host lacks. The ages of target versions include the time of the transfer.
	 *
	 * @param address - The peer's snapshot address, `host:port`.
	 * @param known - What this host knows already.
	 * @returns The changes.
	 */
	fetchChanges(address: string, known: KnownState): Promise<Result<MissingChanges, SnapshotError>>;
	/**
	 * Fetches the hosts that a peer reports.
	 *
	 * @param address - The peer's snapshot address, `host:port`.
	 * @param kind - This host's part in the exchange with the peer.
	 * @returns The hosts.
	 */
	fetchHosts(address: string, kind: FleetLink['kind']): Promise<Result<HostReport[], SnapshotError>>;
	/**
	 * Asks a peer at which software version a stream began.
	 *
	 * @param address - The peer's snapshot address, `host:port`.
	 * @param question - The stream.
	 * @returns What the peer knows.
	 */
	fetchStreamOrigin(address: string, question: OriginQuestion): Promise<Result<StreamOrigin, SnapshotError>>;
	/**
	 * Asks a peer about a server that this host does not reach.
	 *
	 * @param address - The peer's snapshot address, `host:port`.
	 * @param question - The server.
	 * @returns What the peer knows.
	 */
	fetchServerContact(address: string, question: ContactQuestion): Promise<Result<ServerContact, SnapshotError>>;
};

/** Requests the state of peers with trpc over HTTP. */
export const httpPeerClient: PeerClient = {
	async fetchSnapshot(address) {
		return fetchBatch(address, async (client, signal) => client.snapshot.query(undefined, {signal}));
	},
	async fetchChanges(address, known) {
		return fetchBatch(address, async (client, signal) => client.changes.query(known, {signal}));
	},
	async fetchHosts(address, kind) {
		return callPeer(address, async (client, signal) => client.hosts.query(kind, {signal}));
	},
	async fetchStreamOrigin(address, question) {
		return callPeer(address, async (client, signal) => client.streamOrigin.query(question, {signal}));
	},
	async fetchServerContact(address, question) {
		return callPeer(address, async (client, signal) => client.serverContact.query(question, {signal}), contactTimeout);
	},
};

type SnapshotClient = ReturnType<typeof createTRPCClient<typeof snapshotRouter>>;

async function fetchBatch<Batch extends ChangeBatch>(address: string, call: (client: SnapshotClient, signal: AbortSignal) => Promise<Batch>): Promise<Result<Batch, SnapshotError>> {
	const requestedAt = performance.now();
	const batch = await callPeer(address, call);
	const transferTime = performance.now() - requestedAt;
	return batch.map(value => ({
		...value,
		changes: value.changes.map(change => addTransferTime(change, transferTime)),
	}));
}

async function callPeer<Response>(address: string, call: (client: SnapshotClient, signal: AbortSignal) => Promise<Response>, timeout = snapshotTimeout): Promise<Result<Response, SnapshotError>> {
	const client = createTRPCClient<typeof snapshotRouter>({links: [httpLink({url: `http://${address}`})]});
	try {
		return Result.ok(await call(client, AbortSignal.timeout(timeout)));
	} catch (error) {
		return Result.err({layer: 'host', code: 'unreachable', message: `could not fetch the state of ${address}: ${getErrorMessage(error)}`});
	}
}
