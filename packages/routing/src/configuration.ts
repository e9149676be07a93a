import type {Bytes, Milliseconds, Tokens} from '@lacewingpoint/shared';

/** What may be done again for a request of a route. */
export type Repeatability = 'idempotent' | 'once' | 'stream' | 'resumable-stream';

/** One service that a route leads to, with its share of the requests. */
export type WeightedService = {readonly service: string; readonly weight: number};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly repeatability: Repeatability;
	/** The longest time that a client is kept waiting. */
	readonly timeout: Milliseconds;
	/** The time within which an answer (of a stream: its first event) is on time. */
	readonly objective: Milliseconds;
	/** Rank among routes, 0 first. */
	readonly rank: number;
	readonly services: readonly WeightedService[];
	/** How many servers may run one request. */
	readonly maxServers: number;
	/** Open to everybody: no key is asked for. */
	readonly isOpen: boolean;
};

/** The common figures of a service's model servers. */
export type EngineProfile = {
	/** Requests in one batch. */
	readonly slots: number;
	/** Memory shared by running requests and cached prompt parts. */
	readonly memoryTokens: Tokens;
	readonly bytesPerToken: Bytes;
	readonly linkMegabits: number;
	readonly models: readonly string[];
};

/** A store that keeps prompt parts for a service's model servers. */
export type PromptStore = {
	readonly address: string;
	readonly failureDomain: string;
	readonly memoryTokens: Tokens;
	readonly linkMegabits: number;
};

export type Service = {
	readonly name: string;
	readonly maxConnections: number;
	readonly engine?: EngineProfile | undefined;
	readonly promptStore?: PromptStore | undefined;
};

export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Goes before the route's rank where it is set. */
	readonly rank?: number | undefined;
	/** Shares no cached prompt with other workspaces. */
	readonly isIsolated: boolean;
	/** 0 for no limit. */
	readonly unitsPerSecond: number;
	readonly burstUnits: number;
	/** Counts tokens; otherwise requests. */
	readonly countsTokens: boolean;
	/** What a request without a token count is charged. */
	readonly plainTokens: Tokens;
};

/** Bounds on what clients may send. */
export type ClientLimits = {
	readonly headerBytes: Bytes;
	readonly bodyBytes: Bytes;
	readonly headerTime: Milliseconds;
	readonly idleTime: Milliseconds;
};

/** The operators' whole configuration; a higher version supersedes a lower one. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	/** Absent where requests carry no keys. */
	readonly workspaces?: readonly Workspace[] | undefined;
	readonly limits: ClientLimits;
};
