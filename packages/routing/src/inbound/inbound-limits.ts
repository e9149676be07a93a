import {type Bytes, type Milliseconds, bytesPerMebibyte} from '@lacewingpoint/shared';

/** What a listener is for. The connections of each kind are limited separately, so that no kind takes those of another. */
export type ListenerKind = 'clients' | 'peers' | 'lookup' | 'readiness' | 'metrics';

/** Limits on what clients and peers can make a process hold and do, before they are applied to the size of a machine. */
export type InboundLimitSettings = {
	/** Share of the memory that all connections together may take. */
	readonly memoryShare: number;
	/** Shares of the sockets that the connections to the listeners of each kind may take. The rest is for servers, the store and peers. */
	readonly connectionShares: Readonly<Record<ListenerKind, number>>;
	/** Requests of one client connection that are read before their responses are delivered. Further ones wait unread. */
	readonly pipelinedRequests: number;
	/** Time after which an incomplete request without progress is refused while memory is scarce. */
	readonly contendedStallTime: Milliseconds;
	/** Slowest rate at which a client may read a response, in bytes a second. */
	readonly slowestReadRate: number;
	/** Bytes that a request may contain beside its head and body, as a multiple of the largest body: chunk sizes, chunk extensions and trailers. */
	readonly framingFactor: number;
	/** Time that a connection stays open after a refusal, for the client to read it. */
	readonly lingerTime: Milliseconds;
	/** Bytes that are read and discarded after a refusal. */
	readonly discardedBytes: Bytes;
	/** Time for which connections with much to parse are read before the event loop handles others. */
	readonly readTurnTime: Milliseconds;
};

/** The limits of a host without settings of its own. */
export const defaultInboundLimitSettings: InboundLimitSettings = {
	memoryShare: 0.15,
	connectionShares: {
		clients: 0.35, peers: 0.15, lookup: 0.1, readiness: 0.02, metrics: 0.02,
	},
	pipelinedRequests: 4,
	contendedStallTime: 2000,
	slowestReadRate: 1024,
	framingFactor: 16,
	lingerTime: 1000,
	discardedBytes: 65_536,
	readTurnTime: 5,
};

/** The size of the machine, or of the part of it that the process may use. */
export type MachineSize = {
	readonly memory: Bytes;
	/** Number of sockets that the process may open. */
	readonly sockets: number;
};

/** Limits on what clients and peers can make a process hold and do. */
export type InboundLimits = Omit<InboundLimitSettings, 'memoryShare' | 'connectionShares'> & {
	readonly memory: Bytes;
	/** Largest number of connections of each kind. */
	readonly connections: Readonly<Record<ListenerKind, number>>;
};

/** However few sockets there are, a listener can be reached. */
const fewestConnections = 4;

const smallestMemory: Bytes = 4 * bytesPerMebibyte;

/**
 * Applies limits to the size of a machine.
 *
 * @param settings - The limits.
 * @param machine - The memory and sockets of the process.
 * @returns The limits in bytes and connections.
 */
export function createInboundLimits(settings: InboundLimitSettings, machine: MachineSize): InboundLimits {
	const {memoryShare, connectionShares, ...limits} = settings;
	const countConnections = (kind: ListenerKind) => Math.max(Math.floor(machine.sockets * connectionShares[kind]), fewestConnections);
	return {
		...limits,
		memory: Math.max(machine.memory * memoryShare, smallestMemory),
		connections: {
			clients: countConnections('clients'), peers: countConnections('peers'), lookup: countConnections('lookup'), readiness: countConnections('readiness'), metrics: countConnections('metrics'),
		},
	};
}
