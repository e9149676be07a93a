import type {HostDescription} from '@lacewingpoint/coordination';
import type {
	Configuration, PromptPart, ServerEntry,
} from '@lacewingpoint/routing';
import type {
	Bytes, LayerError, Milliseconds, Tokens,
} from '@lacewingpoint/shared';
import type {Result} from 'true-myth';

/** Header names and values in turn, as they stand on the wire. */
export type HeaderList = readonly string[];

/**
 * Why a call to the store failed.
 * `refused`: nothing was done. `unknown`: it may have been done, or may be yet. `history-lost`: changes since a revision are no
 * longer to be had. `lease-ended`: no such lease. `malformed`: the answer makes no sense.
 */
export type StoreError = LayerError<'refused' | 'unknown' | 'history-lost' | 'lease-ended' | 'malformed'>;

/** Something that the store tells; every change carries the revision at which it was made. */
export type StateChange
	= | {readonly type: 'configuration'; readonly revision: number; readonly configuration: Configuration}
		| {readonly type: 'server'; readonly revision: number; readonly entry: ServerEntry}
		| {readonly type: 'server-gone'; readonly revision: number; readonly id: string}
		| {readonly type: 'weights'; readonly revision: number; readonly model: string; readonly version: number; /** How long ago it was named, where a peer tells. */ readonly age?: Milliseconds | undefined; /** The peer does not know either: its age is a guess. */ readonly isAgeAssumed?: boolean | undefined}
		| {readonly type: 'host'; readonly revision: number; readonly description: HostDescription}
		| {readonly type: 'host-gone'; readonly revision: number; readonly name: string}
		| {readonly type: 'holder'; readonly revision: number; readonly holder?: string | undefined}
		| {readonly type: 'unreadable'; readonly revision: number; readonly key: string; readonly reason: string};

/** Changes up to a revision of the store. */
export type ChangeBatch = {readonly changes: readonly StateChange[]; readonly revision: number};

/** One key of the product's own in the store. */
export type StoreItem = {readonly value: string; readonly revision: number};

/** A write under the condition that the key was last written at `expected` (0: does not exist). */
export type StoreWrite = {readonly key: string; readonly value: string; readonly expectedRevision: number; readonly lease?: number | undefined};

/** The platform's store: what the operators and servers write, and keys of the product's own. */
export type ControlStore = {
	/** Reads everything that a host has to know, linearizably. */
	readAll(): Promise<Result<ChangeBatch, StoreError>>;
	/**
	 * Waits for changes.
	 *
	 * @param after - The revision up to which changes are known.
	 * @param wait - How long the store may wait for a first change.
	 * @returns The changes, none when the wait ran out.
	 */
	watch(after: number, wait: Milliseconds): Promise<Result<ChangeBatch, StoreError>>;
	/** Reads one key of the product's own. */
	read(key: string): Promise<Result<StoreItem | undefined, StoreError>>;
	/** Writes keys of the product's own, all or none: gives their revision, nothing when a condition does not hold. */
	write(writes: readonly StoreWrite[]): Promise<Result<number | undefined, StoreError>>;
	/** Makes a host's description known under a lease. */
	registerHost(description: HostDescription, lease: number): Promise<Result<number | undefined, StoreError>>;
	grantLease(ttl: Milliseconds): Promise<Result<number, StoreError>>;
	renewLease(lease: number): Promise<Result<void, StoreError>>;
	revokeLease(lease: number): Promise<Result<void, StoreError>>;
};

/** What a client asks, decoded. */
export type ClientRequest = {
	/** The client's id of this attempt. */
	readonly id: string;
	readonly host: string;
	readonly method: string;
	/** Path and query as the client sent them. */
	readonly target: string;
	readonly credential: string | undefined;
	readonly generation: {
		readonly model: string;
		readonly parts: readonly PromptPart[];
		readonly promptTokens: Tokens;
		/** The most that it may generate. */
		readonly outputTokens: Tokens;
		/** What the client expects it to generate; right at the median, often far off. */
		readonly expectedTokens: Tokens | undefined;
	} | undefined;
	/** How long the client will wait, from the moment at which it sent the request. */
	readonly deadline: Milliseconds | undefined;
	/** The last event of the stream that the client has. */
	readonly lastEvent: string | undefined;
	/** Headers to hand on, without those of one connection and those that the system sets. */
	readonly headers: HeaderList;
	/** The headers tell the servers the request's id, model and prompt parts already, in the servers' own form. */
	readonly describesItself: boolean;
};

/** Why a request cannot be read. */
export type RequestDecodeError = {readonly status: number; readonly message: string};

/** How a request is sent to one server. */
export type ForwardingOptions = {
	/** The server that must answer; another one at the address refuses. */
	readonly server: string;
	readonly workspace: string | undefined;
	readonly remainingTime: Milliseconds;
	/** 0 goes first at the server, 9 last. */
	readonly urgency: number | undefined;
	readonly lastEventId: string | undefined;
	readonly cacheSalt: string | undefined;
	readonly weightsVersion: number | undefined;
	readonly fetchFrom: string | undefined;
	readonly saveTo: string | undefined;
};

/** What a server's answer says about itself. */
export type ResponseHead = {
	/** The request that it answers. */
	readonly requestId: string | undefined;
	/** The server vouches for the answer. */
	readonly hasServerStamp: boolean;
	/** The server did not run the request and never will. */
	readonly isNotExecuted: boolean;
	/** Another server has the address now, or the weights differ from those expected. */
	readonly isMisdirected: boolean;
	readonly instanceId: string | undefined;
	readonly weightsVersion: number | undefined;
};

/** What a model server says of its weights. */
export type WeightsReport = {
	readonly weights: Readonly<Record<string, number>>;
	readonly isLoading: boolean;
	/** Orders accepted so far: an order that expects this number is refused after another one. */
	readonly orders: number;
};

export type WeightsOrder = {
	readonly model: string;
	readonly version: number;
	readonly holder: string;
	readonly fencingToken: number;
	readonly expectedOrders: number;
};

/** Wire forms of requests to servers. */
export type BackendProtocol = {
	/** The path at which a model server reports. */
	readonly reportPath: string;
	readonly orderPath: string;
	requestHeaders(request: ClientRequest, terms: ForwardingOptions): HeaderList;
	parseResponseHead(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): ResponseHead;
	/** The headers of an answer that concern more than the one connection. */
	responseHeaders(rawHeaders: HeaderList): HeaderList;
	parseReport(body: unknown): Result<WeightsReport, LayerError>;
	orderBody(order: WeightsOrder): string;
	/** Headers for a call that only one server may answer. */
	controlCallHeaders(server: string): HeaderList;
};

/** The first line and the headers of a request. */
export type RequestHead = {readonly method: string; readonly target: string; readonly rawHeaders: readonly string[]};

/** An answer without a server. */
export type ErrorResponse = {
	readonly id: string | undefined;
	readonly status: number;
	readonly message: string;
	readonly retryAfter: Milliseconds | undefined;
};

/** The wire form of one interface for clients; every interface feeds the same pipeline. */
export type ClientProtocol = {
	decodeHead(head: RequestHead): Result<ClientRequest, RequestDecodeError>;
	/** Adds what only the body tells. */
	decodeBody(request: ClientRequest, body: Uint8Array): Result<ClientRequest, RequestDecodeError>;
	/** The headers of a server's answer as this interface gives them to the client. */
	responseHeaders(request: ClientRequest, headers: HeaderList): HeaderList;
	errorResponse(refusal: ErrorResponse): {readonly headers: HeaderList; readonly body: string};
};

/** One address at which clients are served. */
export type ClientInterface = {readonly address: string; readonly protocol: ClientProtocol};

/** Wire forms of the questions for addresses and readiness. */
export type DirectoryProtocol = {
	readonly lookupPath: string;
	readonly readinessPath: string;
	decodeLookup(search: string): {readonly region: string | undefined; readonly failureDomain: string | undefined};
	lookupBody(addresses: readonly string[], keepFor: Milliseconds): string;
};

/** Bounds of the deployment. */
export type HostBounds = {
	/** The least time between orders of two hosts to servers. */
	readonly weightsLease: Milliseconds;
	/** The shortest lease that the store grants. */
	readonly shortestLease: Milliseconds;
	/** How old a named version of the weights may be when a request still begins on an older one. */
	readonly weightsWithin: Milliseconds;
	readonly stopGrace: Milliseconds;
	/** The longest time that clients keep an address. */
	readonly longestKeep: Milliseconds;
	readonly retryRatio: number;
	readonly retryWindow: Milliseconds;
	readonly retrySlack: number;
};

/** Settings of the host and bounds of the deployment. */
export type HostSettings = {
	readonly description: HostDescription;
	readonly readinessAddress: string;
	readonly lookupAddress: string;
	readonly datagramAddress: string;
	readonly snapshotAddress: string;
	readonly metricsAddress: string;
	/** Snapshot addresses of some hosts, perhaps stale. */
	readonly seeds: readonly string[];
	readonly memory: Bytes;
	readonly bounds: HostBounds;
};

export type PlatformAdapter = {
	readonly store: ControlStore;
	readonly backend: BackendProtocol;
	readonly directory: DirectoryProtocol;
	/** Where and how clients are served. */
	readonly interfaces: readonly ClientInterface[];
};

/** Where an answer to a client goes. */
export type ResponseWriter = {
	/** Whether the client is gone. */
	readonly isDisconnected: boolean;
	/** Passes on the beginning of a server's answer. */
	writeHead(status: number, headers: HeaderList): void;
	/** @returns False when the client reads slowly: `onDrain` tells when to go on. */
	write(chunk: Uint8Array): boolean;
	end(): void;
	/** Breaks the connection, so that a part of an answer does not look whole. */
	destroy(): void;
	/** Answers without a server. */
	sendError(status: number, message: string, retryAfter: Milliseconds | undefined): void;
	onDisconnect(listener: () => void): void;
	onDrain(listener: () => void): void;
};

/** A request whose body has been read. */
export type ReceivedRequest = {
	readonly request: ClientRequest;
	readonly body: Uint8Array;
	/** When its first byte was read. */
	readonly receivedAt: Milliseconds;
	readonly responseWriter: ResponseWriter;
};
