import {Decoder, encode} from '@msgpack/msgpack';
import type {HostState} from '@lacewingpoint/coordination';
import * as v from 'valibot';
import type {StateChange} from '../ports.js';
import {isMessagePackWithin} from './message-pack-limits.js';
import {compileSchema, invalid} from './schema-compiler.js';

// A state or role of a later version must not make the whole message unreadable: such a host is alive, but gets no clients.
const hostStateSchema = v.pipe(v.string(), v.transform(name => selectKnown(['starting', 'serving', 'detached', 'stopping'], name, 'starting')));
const hostRoleSchema = v.pipe(v.string(), v.transform(name => selectKnown(['joining', 'member', 'relay'], name, 'relay')));

function selectKnown<const Name extends string>(known: readonly Name[], name: string, assumed: NoInfer<Name>): Name {
	return known.find(candidate => candidate === name) ?? assumed;
}

const hostDescriptionSchema = v.object({
	name: v.string(),
	incarnation: v.string(),
	failureDomain: v.string(),
	region: v.string(),
	clientAddress: v.string(),
	peerAddress: v.string(),
	snapshotAddress: v.string(),
	capacity: v.optional(v.number(), 1),
	/** Absent in messages of earlier versions, like `capabilities`. */
	protocol: v.optional(v.number()),
	capabilities: v.optional(v.pipe(v.array(v.string()), v.readonly())),
});

const promptPlacementSchema = v.object({
	salt: v.string(),
	/** Id and token count of each part. */
	parts: v.array(v.tuple([v.string(), v.number()])),
	/** Servers and prompt stores with the milliseconds until the parts are available there; null if they will not be, because the server did not prefill them. */
	places: v.array(v.tuple([v.string(), v.nullable(v.number())])),
});

const serverEntrySchema = v.object({
	id: v.string(),
	incarnation: v.string(),
	/** Absent in messages of earlier versions. */
	sequence: v.optional(v.number(), 0),
	service: v.string(),
	/** Absent in messages of earlier versions. */
	softwareVersion: v.optional(v.string()),
	address: v.string(),
	failureDomain: v.string(),
	slots: v.number(),
	isDraining: v.boolean(),
	weights: v.record(v.string(), v.number()),
});

const amountSchema = v.pipe(v.number(), v.finite(), v.minValue(0));

const demandSchema = v.object({
	service: v.string(),
	/** Admission level, requests that wait and their size. */
	waiting: v.pipe(v.array(v.pipe(v.tuple([amountSchema, amountSchema, amountSchema]), v.readonly())), v.maxLength(100), v.readonly()),
	/** Rank, workspace, size offered and size admitted per second; empty if unchanged. */
	usage: v.optional(v.pipe(v.array(v.pipe(v.tuple([amountSchema, v.string(), amountSchema, amountSchema]), v.readonly())), v.maxLength(200), v.readonly()), []),
});

/** A change of the cluster state that is small enough for a datagram. */
const stateUpdateSchema = v.variant('type', [
	v.object({type: v.literal('server'), revision: v.number(), entry: serverEntrySchema}),
	v.object({type: v.literal('server-gone'), revision: v.number(), id: v.string()}),
	v.object({
		type: v.literal('weights'), revision: v.number(), model: v.string(), version: v.number(), age: v.number(), isAgeAssumed: v.boolean(),
	}),
]);

type WireState = {readonly state: HostState; readonly isDetached: boolean};

// Deletes the flag, which schemas define last, because a copy of a message costs more than its validation.
function decodeState<Report extends {state: HostState; isDetached?: boolean}>(report: Report): Omit<Report, 'isDetached'> {
	if (report.isDetached === true) {
		report.state = 'detached';
	}

	delete report.isDetached;
	return report;
}

// Versions before this state take it for an unreadable message; to these, the host is alive and gets no clients.
function encodeState<Report extends {readonly state: HostState}>(report: Report): Report & Partial<WireState> {
	return report.state === 'detached' ? {...report, state: 'starting', isDetached: true} : report;
}

const hostReportSchema = v.pipe(
	v.object({
		description: hostDescriptionSchema, state: hostStateSchema, role: hostRoleSchema, isDetached: v.optional(v.boolean(), false),
	}),
	v.transform(decodeState),
);

/** The content of a datagram, as it is sent. */
export const hostMessageSchema = v.pipe(v.object({
	name: v.string(),
	incarnation: v.string(),
	state: hostStateSchema,
	role: v.optional(hostRoleSchema, 'relay'),
	/** Set in messages outside of links: a joining host asks which hosts it can link to, another responds. */
	introduction: v.optional(v.picklist(['request', 'response'])),
	/** The number of hosts whose charges and loads the message sums up. */
	hostCount: v.optional(v.number(), 1),
	configuration: v.number(),
	revision: v.number(),
	/** Whether the sender reads the store and has contact to it. */
	hasStoreContact: v.optional(v.boolean(), false),
	/** Counts the changes of the sender's cluster state; to members and to relays of the same failure domain. */
	stateVersion: v.optional(v.number()),
	/** Whether the message holds the host's description and all its charges and loads, not only those changed since the last message. */
	isWhole: v.optional(v.boolean(), false),
	/** The sender's description; present if `isWhole`. */
	host: v.optional(hostDescriptionSchema),
	/** Digest of the hosts that the sender reports to the recipient; present if `isWhole`. */
	digest: v.optional(v.number()),
	/** Units charged to rate limits since the host started, by workspace; requests to servers with limits, by their id and incarnation. */
	charged: v.optional(v.record(v.string(), v.number()), {}),
	/** Running requests, uncached prompt tokens that await prefill, and occupied memory tokens, by server. */
	loads: v.optional(v.record(v.string(), v.tuple([v.number(), v.number(), v.number()])), {}),
	/** Refused requests, by hash, with the time until their clients may return; unreadable lists are ignored. */
	refused: v.fallback(v.optional(v.pipe(v.array(v.pipe(v.tuple([amountSchema, amountSchema]), v.readonly())), v.maxLength(200))), undefined),
	/** What waits and what is used, by service; unreadable reports are ignored. */
	demand: v.fallback(v.optional(v.pipe(v.array(demandSchema), v.maxLength(100))), undefined),
	placements: v.optional(v.array(promptPlacementSchema), []),
	/** Observed versions of the weights, by server and model. */
	weights: v.optional(v.array(v.object({server: v.string(), model: v.string(), version: v.number()})), []),
	/** Servers about to load weights, with the maximum time in milliseconds; 0 once the load has ended or the order has failed. */
	loading: v.optional(v.array(v.object({server: v.string(), time: v.number()})), []),
	/** Servers that could not be reached. */
	unreachable: v.optional(v.array(v.string()), []),
	/** Servers that have said in a response that they are leaving. */
	leaving: v.optional(v.array(v.object({id: v.string(), incarnation: v.string()})), []),
	/** Servers that are draining for a rollout, before they load weights. */
	emptying: v.optional(v.array(v.string()), []),
	/** Requests that were in flight when a server crashed; `age` is the time since the crash in milliseconds. */
	deaths: v.optional(v.array(v.object({
		fingerprint: v.number(), parts: v.optional(v.pipe(v.array(v.number()), v.readonly()), []), server: v.string(), incarnation: v.string(), failureDomain: v.string(), age: v.number(),
	})), []),
	/** Limits that servers have named or ended: changes, and all that the sender knows if `isWhole`. Rates in requests per second for all hosts together, absent for none. */
	limits: v.optional(v.array(v.object({
		id: v.string(), incarnation: v.string(), requestsPerSecond: v.optional(v.number()), age: v.number(),
	})), []),
	/** The software versions at which streams began, by hashes of their requests' ids. */
	origins: v.optional(v.array(v.object({service: v.string(), version: v.string(), streams: v.array(v.number())})), []),
	/** How slow servers were in a number of requests compared to the assumed speed of their service: the mean natural logarithm. */
	paces: v.optional(v.array(v.object({server: v.string(), mean: v.number(), count: v.number()})), []),
	/**
	 * Running rollouts: the latest grant (term, number, share and age), and, to relays, the answers counted since the last message, each with
	 * its route, whether the server has the target version, the code of the outcome and the number.
	 */
	rollouts: v.optional(v.array(v.object({
		service: v.string(),
		request: v.string(),
		grant: v.optional(v.tuple([v.number(), v.number(), v.number(), v.number()])),
		answers: v.optional(v.array(v.tuple([v.string(), v.boolean(), v.number(), v.number()])), []),
	}))),
	/** Suspected prompt parts that a server has executed; `age` is the time since its response began. */
	executed: v.optional(v.array(v.object({part: v.number(), age: v.number()})), []),
	/** Prompt parts that the sender keeps from the servers; `age` is the time since the last crash. Present if `isWhole`. */
	quarantined: v.optional(v.array(v.object({part: v.number(), age: v.number(), trialInterval: v.number()})), []),
	/** Hosts that the sender reports: new ones, and those whose state or role has changed. */
	hosts: v.optional(v.array(hostReportSchema), []),
	/** Names of hosts that the sender no longer reports. */
	departed: v.optional(v.array(v.string()), []),
	/** Changes of the cluster state, each with the state version to which it leads; to members and to relays of the same failure domain. */
	updates: v.optional(v.array(v.object({version: v.number(), change: stateUpdateSchema})), []),
	/** Whether the host has lost its links to all servers. */
	isDetached: v.optional(v.boolean(), false),
}), v.transform(decodeState));

/** The content of one datagram between hosts. */
export type HostMessage = v.InferOutput<typeof hostMessageSchema>;

/** Where the parts of a prompt are or will be cached. */
export type PromptPlacement = v.InferOutput<typeof promptPlacementSchema>;

/** A change of the cluster state that is pushed to peers. */
export type StateUpdate = v.InferOutput<typeof stateUpdateSchema>;

const parseMessage = compileSchema(hostMessageSchema);

/** Limit on the items of a list. */
const maximumItems = 1024;

const messageLimits = {values: 65_536, depth: 16} as const;

const decoder = new Decoder({maxArrayLength: maximumItems});

/** Values that are not sent, because the recipient assumes them. */
const assumedValues: Partial<HostMessage> = {
	role: 'relay', hostCount: 1, hasStoreContact: false, isWhole: false,
};

/**
 * Encodes a message, without its empty fields and those that have the assumed value.
 *
 * @param message - A gossip message to peers.
 * @returns The datagram's payload.
 */
export function encodeHostMessage(message: HostMessage): Uint8Array {
	const wireMessage = encodeState({...message, hosts: message.hosts.map(report => encodeState(report))});
	const entries = Object.entries(wireMessage) as Array<[keyof HostMessage, HostMessage[keyof HostMessage]]>;
	return encode(Object.fromEntries(entries.filter(([field, value]) => value !== assumedValues[field] && !isEmpty(value))), {ignoreUndefined: true});
}

function isEmpty(value: HostMessage[keyof HostMessage]): boolean {
	return value === undefined || (typeof value === 'object' && Object.keys(value).length === 0);
}

/**
 * Decodes and validates a datagram.
 *
 * @param bytes - The datagram's payload.
 * @returns The message; undefined if the payload is not a valid one.
 */
export function decodeHostMessage(bytes: Uint8Array): HostMessage | undefined {
	if (!isMessagePackWithin(bytes, messageLimits)) {
		return undefined;
	}

	try {
		const message = parseMessage(decoder.decode(bytes));
		return message === invalid ? undefined : message;
	} catch {
		// The port may receive other traffic; the caller counts it.
		return undefined;
	}
}

/**
 * Converts a change of the cluster state for a datagram.
 *
 * @param change - The change; `undefined` for a change of the configuration.
 * @returns The change, or `undefined` if it is not sent in datagrams.
 */
export function toStateUpdate(change: StateChange | undefined): StateUpdate | undefined {
	if (change?.type === 'weights') {
		return {...change, age: change.age ?? 0, isAgeAssumed: change.isAgeAssumed ?? false};
	}

	return change?.type === 'server' || change?.type === 'server-gone' ? change : undefined;
}
