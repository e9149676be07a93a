import type {Bytes, Milliseconds, Tokens} from '@lacewingpoint/shared';

/** Whether and how requests of a route may be executed again. */
export type Repeatability = 'idempotent' | 'once' | 'stream' | 'resumable-stream';

/** One backend service of a route, with its weight in the distribution of requests. */
export type WeightedService = {readonly service: string; readonly weight: number};

/** Maps a host name and a path prefix to services. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly repeatability: Repeatability;
	/** The longest time that a client waits for its response; a client's own deadline can shorten it. */
	readonly timeout: Milliseconds;
	/** The latency objective: the response, or the first event of a stream, is on time within it. */
	readonly objective: Milliseconds;
	/** The longest pause within a stream that is still on time; absent if there is no such limit. */
	readonly pauseObjective?: Milliseconds | undefined;
	/** Priority among routes; 0 is the highest. */
	readonly rank: number;
	readonly services: readonly WeightedService[];
	/** The number of servers that may execute one request, retries included. */
	readonly maxServers: number;
	/** The route requires no API key. */
	readonly isOpen: boolean;
};

/** Parameters common to the model servers of a service. */
export type EngineProfile = {
	/** The number of requests in one batch. */
	readonly slots: number;
	/** Capacity of the KV cache, shared by running requests and cached prompt parts. */
	readonly memoryTokens: Tokens;
	readonly bytesPerToken: Bytes;
	/** The bandwidth of a server's network link in megabits per second. */
	readonly linkMegabits: number;
	readonly models: readonly string[];
};

/** An external cache of prompt parts for the model servers of a service. */
export type PromptStore = {
	readonly address: string;
	readonly failureDomain: string;
	readonly memoryTokens: Tokens;
	/** The bandwidth of the store's network link in megabits per second; 0 when unknown. */
	readonly linkMegabits: number;
};

/** A group of backend servers that routes refer to by name. */
export type Service = {
	readonly name: string;
	readonly maxConnections: number;
	readonly engine?: EngineProfile | undefined;
	readonly promptStore?: PromptStore | undefined;
};

/** A customer whose requests share API keys, a priority and a rate limit. */
export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the route's rank where it is set. */
	readonly rank?: number | undefined;
	/** Shares no cached prompt parts with other workspaces. */
	readonly isIsolated: boolean;
	/** The rate limit; 0 means no limit. */
	readonly unitsPerSecond: number;
	readonly burstUnits: number;
	/** The rate limit counts tokens; otherwise requests. */
	readonly countsTokens: boolean;
	/** The charge for a request that carries no token count. */
	readonly plainTokens: Tokens;
};

/** Limits on client requests. */
export type ClientLimits = {
	readonly headerBytes: Bytes;
	readonly bodyBytes: Bytes;
	readonly headerTime: Milliseconds;
	readonly idleTime: Milliseconds;
};

/** The configuration that operators publish; a higher version supersedes a lower one. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	/** Absent where requests carry no API keys. */
	readonly workspaces?: readonly Workspace[] | undefined;
	readonly limits: ClientLimits;
};
