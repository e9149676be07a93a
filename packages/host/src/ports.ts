import type {HostDescription} from '@lacewingpoint/coordination';
import type {
	Configuration, InboundLimitSettings, PromptPart, RolloutProgress, RolloutRequest, RolloutState, ServerEntry,
} from '@lacewingpoint/routing';
import type {
	Bytes, LayerError, Milliseconds, Tokens,
} from '@lacewingpoint/shared';
import type {Result} from 'true-myth';

/** Alternating header names and values, as they are on the wire. */
export type HeaderList = readonly string[];

/**
 * Why a call to the store failed.
 *
 * - `refused`: the store did not execute the call.
 * - `unknown`: the store may have executed the call, or may still do so.
 * - `history-lost`: the store no longer has all changes since the given revision.
 * - `lease-ended`: the lease does not exist or has expired.
 * - `malformed`: the response is invalid.
 */
export type StoreError = LayerError<'refused' | 'unknown' | 'history-lost' | 'lease-ended' | 'malformed'>;

/**
 * A revision of the store. Revisions only rise, also when the store is restored from a copy: the adapter combines them with the number of
 * restores.
 */
export type StoreRevision = number;

/** Called when the store was found restored: what was written since the copy is lost. */
export type RestoreListener = (era: number, previousEra: number) => void;

/**
 * A change of the cluster state, with the store revision at which it was made. Peers exchange changes as JSON, so the field names are part
 * of their protocol.
 */
export type StateChange
	= | {readonly type: 'configuration'; readonly revision: number; readonly configuration: Configuration}
		| {readonly type: 'server'; readonly revision: number; readonly entry: ServerEntry}
		| {readonly type: 'server-gone'; readonly revision: number; readonly id: string}
		/** A target version of a model's weights; a peer adds how long ago it was published, and whether that age is only assumed. */
		| {readonly type: 'weights'; readonly revision: number; readonly model: string; readonly version: number; readonly age?: Milliseconds | undefined; readonly isAgeAssumed?: boolean | undefined}
		/** The versions that a server was observed to run by a peer, where its entry lists older ones. */
		| {readonly type: 'observed-weights'; readonly revision: number; readonly server: string; readonly incarnation: string; readonly weights: Readonly<Record<string, number>>}
		/** A request of the operators to move a service to another software version; a peer adds how long ago it was made. */
		| {readonly type: 'rollout'; readonly revision: number; readonly request: RolloutRequest; readonly age?: Milliseconds | undefined}
		/** What the decider of a rollout has recorded. */
		| {readonly type: 'rollout-progress'; readonly revision: number; readonly progress: RolloutProgress}
		| {readonly type: 'host'; readonly revision: number; readonly description: HostDescription}
		| {readonly type: 'host-gone'; readonly revision: number; readonly name: string}
		| {readonly type: 'holder'; readonly revision: number; readonly holder?: string | undefined}
		| {readonly type: 'unreadable'; readonly revision: number; readonly key: string; readonly reason: string};

/** Changes up to a store revision. */
export type ChangeBatch = {readonly changes: readonly StateChange[]; readonly revision: number};

/** The value of one of the router's own keys, and the revision at which it was written. */
export type StoreItem = {readonly value: string; readonly revision: number};

/** A write that is executed only if the key was last written at `expectedRevision` (0: the key does not exist). */
export type StoreWrite = {readonly key: string; readonly value: string; readonly expectedRevision: number; readonly lease?: number | undefined};

/** The platform's store: entries written by operators and servers, and the router's own keys. */
export type ControlStore = {
	/** Rises each time the store is restored from a copy. 0 if it is not known. */
	readonly era: number;
	/**
	 * Subscribes to restores of the store.
	 *
	 * @param listener - Called once for each restore that a response shows.
	 */
	onRestored(listener: RestoreListener): void;
	/** @returns All entries that a host needs, read linearizably. */
	readAll(): Promise<Result<ChangeBatch, StoreError>>;
	/**
	 * Waits for changes.
	 *
	 * @param after - The revision up to which the changes are known.
	 * @param waitTime - How long the store may wait for the first change.
	 * @returns The changes; empty if there was none in this time.
	 */
	watch(after: number, waitTime: Milliseconds): Promise<Result<ChangeBatch, StoreError>>;
	/** @returns The value of one of the router's own keys; `undefined` if the key does not exist. */
	read(key: string): Promise<Result<StoreItem | undefined, StoreError>>;
	/**
	 * Writes some of the router's own keys in one transaction.
	 *
	 * @param writes - The writes, of which all or none are executed.
	 * @returns The revision of the writes; `undefined` if a condition does not hold.
	 */
	write(writes: readonly StoreWrite[]): Promise<Result<number | undefined, StoreError>>;
	/**
	 * Lists a host in the store until its lease ends.
	 *
	 * @param description - The host as its peers will see it.
	 * @param lease - Id of the lease.
	 * @returns The revision of the entry.
	 */
	registerHost(description: HostDescription, lease: number): Promise<Result<number | undefined, StoreError>>;
	/** @returns Id of a new lease, which ends after `ttl` unless it is renewed. */
	grantLease(ttl: Milliseconds): Promise<Result<number, StoreError>>;
	renewLease(lease: number): Promise<Result<void, StoreError>>;
	revokeLease(lease: number): Promise<Result<void, StoreError>>;
};

/** A decoded client request. */
export type ClientRequest = {
	/** The client's id of this attempt to get a response. If the client sent none, its interface creates one or rejects the request. */
	readonly id: string;
	readonly host: string;
	readonly method: string;
	/** Path and query, as sent by the client. */
	readonly target: string;
	/** The key that identifies the workspace. */
	readonly credential: string | undefined;
	/** `undefined` for requests other than generations. */
	readonly generation: {
		readonly model: string;
		readonly parts: readonly PromptPart[];
		readonly promptTokens: Tokens;
		/** The largest number of tokens to generate. */
		readonly outputTokens: Tokens;
		/** The number of tokens that the client expects to be generated; correct at the median, but often far off. */
		readonly expectedOutputTokens: Tokens | undefined;
	} | undefined;
	/** How long the client waits, counted from when it sent the request. */
	readonly deadline: Milliseconds | undefined;
	/** Id of the last event that the client received of a stream to be resumed. */
	readonly lastEventId: string | undefined;
	/** Id of the client's request that brought the first event of a stream to be resumed; `undefined` if the client does not name it. */
	readonly resumedRequestId: string | undefined;
	/** Headers to forward, without hop-by-hop headers and those that the router sets. */
	readonly headers: HeaderList;
	/** Whether the headers already contain the request's id, model and prompt parts in the form that the servers expect. */
	readonly hasBackendHeaders: boolean;
};

/** Why a request cannot be decoded, and the status of the error response. */
export type RequestDecodeError = {readonly status: number; readonly message: string};

/** What a request to a server carries in addition to the client's own headers. */
export type ForwardingOptions = {
	/** Id of the intended server. Another server at the same address rejects the request. */
	readonly server: string;
	readonly workspace: string | undefined;
	readonly remainingTime: Milliseconds;
	/** Priority at the server, from 0 (first) to 9 (last). */
	readonly urgency: number | undefined;
	/** Id of the last event that the client has received; the server resumes the stream after it. */
	readonly lastEventId: string | undefined;
	/** Cached prompt parts are shared only between requests with the same salt. */
	readonly cacheSalt: string | undefined;
	/** Version of the weights that the server is expected to run; it rejects the request otherwise. */
	readonly weightsVersion: number | undefined;
	/** Address from which the server may fetch prompt parts that it does not hold. */
	readonly fetchFrom: string | undefined;
	/** Address to which the server saves the prompt parts. */
	readonly saveTo: string | undefined;
};

/** What the head of a server's response states about the response. */
export type ResponseHead = {
	/** Id of the request that this is the response to. */
	readonly requestId: string | undefined;
	/** Whether the server has marked the response as its own. */
	readonly hasServerStamp: boolean;
	/** Whether the server has not executed the request and never will. */
	readonly isNotExecuted: boolean;
	/** Whether the address now belongs to another server, or the weights differ from the expected ones. */
	readonly isMisdirected: boolean;
	/** Id of the server that responded. */
	readonly instanceId: string | undefined;
	readonly weightsVersion: number | undefined;
};

/** What a server says of itself in a response. */
export type ServerNotice = {
	/** Id of the server that responded; `undefined` if the response does not state it. */
	readonly instanceId: string | undefined;
	/** Whether the response has the server's stamp, which other senders at its address do not have. */
	readonly isStamped: boolean;
	/** Whether the server is leaving and is to get no new requests. */
	readonly isLeaving: boolean;
	/** How long the server wants no requests; `undefined` if it takes them, NaN if the value is unreadable. */
	readonly pause: Milliseconds | undefined;
	/** The rate that the server takes from all hosts together; `undefined` if it names none, NaN if the value is unreadable. */
	readonly requestsPerSecond: number | undefined;
	/** How many rejections for want of room in a second the server survives; `undefined` if it names none, NaN if the value is unreadable. */
	readonly survivableRejections: number | undefined;
};

/** A model server's report of its weights. */
export type WeightsReport = {
	/** Versions by model. */
	readonly weights: Readonly<Record<string, number>>;
	readonly isLoading: boolean;
	/** Counted since the server started. The server rejects an order that expects another number, so that no order in between is overridden. */
	readonly acceptedOrders: number;
};

/** An order to a model server to load a version of the weights. */
export type WeightsOrder = {
	readonly model: string;
	readonly version: number;
	/** Name of the host that holds the weights lease. */
	readonly holder: string;
	/** Term of the lease; lets servers reject orders of earlier holders. */
	readonly fencingToken: number;
	/** The `acceptedOrders` of the server's latest report. */
	readonly expectedOrders: number;
};

/** Encodes requests to servers and decodes their responses. */
export type BackendProtocol = {
	/** Path at which model servers serve their weights report. */
	readonly reportPath: string;
	/** Path at which model servers take weights orders. */
	readonly orderPath: string;
	requestHeaders(request: ClientRequest, options: ForwardingOptions): HeaderList;
	parseResponseHead(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): ResponseHead;
	/** @returns What the server says of itself. */
	parseServerNotice(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): ServerNotice;
	/** @returns The response headers without hop-by-hop headers. */
	responseHeaders(rawHeaders: HeaderList): HeaderList;
	parseReport(body: unknown): Result<WeightsReport, LayerError>;
	orderBody(order: WeightsOrder): string;
	/** @returns Headers of a control call, which any other server than the given one rejects. */
	controlCallHeaders(server: string): HeaderList;
};

/** The request line and the headers of a request. */
export type RequestHead = {readonly method: string; readonly target: string; readonly rawHeaders: readonly string[]};

/** What the head of a request shows at little cost, for the decision whether the request is read at all. */
export type RequestPreview = {
	readonly id: string | undefined;
	readonly host: string | undefined;
	readonly credential: string | undefined;
	/** How long the client waits; `undefined` if it does not state it. */
	readonly deadline: Milliseconds | undefined;
};

/** A response that the router generates itself. */
export type ErrorResponse = {
	/** Id of the request; `undefined` if it could not be decoded. */
	readonly id: string | undefined;
	readonly status: number;
	readonly message: string;
	readonly retryAfter: Milliseconds | undefined;
};

/** The wire format of a client interface. The requests of all interfaces go through the same pipeline. */
export type ClientProtocol = {
	decodeHead(head: RequestHead): Result<ClientRequest, RequestDecodeError>;
	/** @returns What the head shows; nothing is validated. */
	previewHead(head: RequestHead): RequestPreview;
	/** @returns The request, completed with what its body contains. */
	decodeBody(request: ClientRequest, body: Uint8Array): Result<ClientRequest, RequestDecodeError>;
	/** @returns The headers of a server's response, in the form in which this interface sends them to the client. */
	responseHeaders(request: ClientRequest, headers: HeaderList): HeaderList;
	errorResponse(response: ErrorResponse): {readonly headers: HeaderList; readonly body: string};
};

/** An address at which clients are served, and the wire format there. */
export type ClientInterface = {readonly address: string; readonly protocol: ClientProtocol};

/** Wire format of address lookups and readiness checks. */
export type DirectoryProtocol = {
	readonly lookupPath: string;
	readonly readinessPath: string;
	decodeLookup(search: string): {readonly region: string | undefined; readonly failureDomain: string | undefined};
	lookupBody(addresses: readonly string[], timeToLive: Milliseconds): string;
};

/** Limits set for the deployment. The log event `reload` lists changed ones under their names here. */
export type HostBounds = {
	/** The shortest time between weights orders of two different hosts. */
	readonly weightsLease: Milliseconds;
	/** The shortest lease that the store grants. */
	readonly shortestLease: Milliseconds;
	/** How long after a target version was published a request may still begin on an older version. */
	readonly weightsWithin: Milliseconds;
	/** How long after a configuration was stored requests may be handled by an earlier one; `undefined` if that is not limited. */
	readonly applyWithin?: Milliseconds | undefined;
	/** How long a stop may take. */
	readonly stopGrace: Milliseconds;
	/** The longest time that clients cache an address. */
	readonly longestKeep: Milliseconds;
	/** Retries allowed as a share of the requests in `retryWindow`, in addition to `retrySlack`. */
	readonly retryRatio: number;
	readonly retryWindow: Milliseconds;
	readonly retrySlack: number;
	/** The largest share of a service's requests that a bad version may get during a rollout, in addition to `exposureSlack`. */
	readonly exposureShare?: number;
	readonly exposureSlack?: number;
};

/** Settings of one host, and the limits of the deployment. */
export type HostSettings = {
	readonly description: HostDescription;
	readonly readinessAddress: string;
	readonly lookupAddress: string;
	readonly datagramAddress: string;
	readonly snapshotAddress: string;
	readonly metricsAddress: string;
	/** Snapshot addresses of some hosts; they may be outdated. */
	readonly seeds: readonly string[];
	/** Datagram addresses of the same hosts. */
	readonly seedDatagramAddresses: readonly string[];
	readonly memory: Bytes;
	/** The number of sockets that the host may open; what the operating system allows by default. */
	readonly maximumSockets?: number | undefined;
	/** Limits on what clients and peers can make the host hold and do. */
	readonly inbound?: InboundLimitSettings | undefined;
	/** Whether hosts keep one order of waiting while requests of different ranks compete for a service; each has a queue of its own by default. */
	readonly sharesWaitingOrder?: boolean;
	/** Processor time that the host may use, in cores; `undefined` if it is not limited, so that the host does not guard against overload. */
	readonly processorLimit?: number | undefined;
	readonly bounds: HostBounds;
	/** The largest number of second tries of slow requests, as a share of the requests; 0 for none. */
	readonly secondTryShare: number;
};

/** What operators are told of a rollout. */
export type RolloutStatus = {readonly service: string; readonly target: string; readonly state: RolloutState};

/** Where and how a platform's operators are told of rollouts. */
export type RolloutProtocol = {
	/** @returns The store key and value of a status. */
	encodeStatus(status: RolloutStatus): {readonly key: string; readonly value: string};
};

/** What a platform has to implement for a host. */
export type PlatformAdapter = {
	readonly store: ControlStore;
	readonly backend: BackendProtocol;
	readonly directory: DirectoryProtocol;
	readonly interfaces: readonly ClientInterface[];
	/** Absent where operators request no rollouts. */
	readonly rollouts?: RolloutProtocol | undefined;
};

/** Writes the response to a client. */
export type ResponseWriter = {
	/** Whether the client has disconnected. */
	readonly isDisconnected: boolean;
	/** Forwards the head of a server's response. */
	writeHead(status: number, headers: HeaderList): void;
	/** @returns False if the client reads slowly; the listeners of `onDrain` are called when writing can continue. */
	write(chunk: Uint8Array): boolean;
	end(): void;
	/** Closes the connection, so that the client does not take a partial response for a complete one. */
	destroy(): void;
	/** Sends an error response, unless a response has started or the client has disconnected. */
	sendError(status: number, message: string, retryAfter: Milliseconds | undefined): void;
	onDisconnect(listener: () => void): void;
	onDrain(listener: () => void): void;
};

/** What a host has to observe when it executes a request for a peer. */
export type ForwardingTerms = {
	/** Name of the host that received the request from the client and charged its quota. */
	readonly origin: string;
	/** The service that the host has selected. */
	readonly service: string;
	/** How many servers may still execute the request. */
	readonly executionsLeft: number;
	/** The software version at which a stream has to go on. */
	readonly requiredVersion?: string | undefined;
};

/** A request whose body was read completely. */
export type ReceivedRequest = {
	readonly request: ClientRequest;
	readonly body: Uint8Array;
	/** Monotonic time at which the request head was received. */
	readonly receivedAt: Milliseconds;
	readonly responseWriter: ResponseWriter;
	/** The requests on the same connection whose responses come first; 0 unless the client sends several at once. */
	readonly requestsAhead: number;
	/** Set if a peer without links to servers has forwarded the request. */
	readonly forwarding?: ForwardingTerms | undefined;
};
