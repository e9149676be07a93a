import {decode, encode} from '@msgpack/msgpack';
import * as v from 'valibot';

const hostDescriptionSchema = v.object({
	name: v.string(),
	incarnation: v.string(),
	failureDomain: v.string(),
	region: v.string(),
	clientAddress: v.string(),
	peerAddress: v.string(),
	snapshotAddress: v.string(),
});

const promptPlacementSchema = v.object({
	salt: v.string(),
	/** Id and token count of each part. */
	parts: v.array(v.tuple([v.string(), v.number()])),
	/** Servers and prompt stores with the milliseconds until the parts are available there; null if they will not be, because the server did not prefill them. */
	places: v.array(v.tuple([v.string(), v.nullable(v.number())])),
});

const hostMessageSchema = v.object({
	name: v.string(),
	incarnation: v.string(),
	state: v.picklist(['starting', 'serving', 'stopping']),
	configuration: v.number(),
	revision: v.number(),
	/** Whether the message holds the host's description and all its charges and loads, not only those changed since the last message. */
	isWhole: v.optional(v.boolean(), false),
	/** The sender's description; present if `isWhole`. */
	host: v.optional(hostDescriptionSchema),
	/** Units charged to rate limits since the host started, by workspace. */
	charged: v.optional(v.record(v.string(), v.number()), {}),
	/** Running requests, uncached prompt tokens that await prefill, and occupied memory tokens, by server. */
	loads: v.optional(v.record(v.string(), v.tuple([v.number(), v.number(), v.number()])), {}),
	placements: v.optional(v.array(promptPlacementSchema), []),
	/** Observed versions of the weights, by server and model. */
	weights: v.optional(v.array(v.object({server: v.string(), model: v.string(), version: v.number()})), []),
	/** Servers about to load weights, with the maximum time in milliseconds; 0 once the load has ended or the order has failed. */
	loading: v.optional(v.array(v.object({server: v.string(), time: v.number()})), []),
	/** Servers that could not be reached. */
	unreachable: v.optional(v.array(v.string()), []),
	/** Servers that are draining for a rollout, before they load weights. */
	emptying: v.optional(v.array(v.string()), []),
	/** Requests that were in flight when a server crashed; `age` is the time since the crash in milliseconds. */
	deaths: v.optional(v.array(v.object({
		fingerprint: v.number(), server: v.string(), incarnation: v.string(), failureDomain: v.string(), age: v.number(),
	})), []),
});

/** The content of one datagram between hosts. */
export type HostMessage = v.InferOutput<typeof hostMessageSchema>;

/** Where the parts of a prompt are or will be cached. */
export type PromptPlacement = v.InferOutput<typeof promptPlacementSchema>;

/**
 * Encodes a message, without its empty fields.
 *
 * @param message - A gossip message to peers.
 * @returns The datagram's payload.
 */
export function encodeHostMessage(message: HostMessage): Uint8Array {
	return encode(Object.fromEntries(Object.entries(message).filter(([, value]) => !isEmpty(value))));
}

function isEmpty(value: HostMessage[keyof HostMessage]): boolean {
	return value === undefined || value === false || (typeof value === 'object' && Object.keys(value).length === 0);
}

/**
 * Decodes and validates a datagram.
 *
 * @param bytes - The datagram's payload.
 * @returns The message; undefined if the payload is not a valid one.
 */
export function decodeHostMessage(bytes: Uint8Array): HostMessage | undefined {
	try {
		const parsed = v.safeParse(hostMessageSchema, decode(bytes));
		return parsed.success ? parsed.output : undefined;
	} catch {
		// The port may receive other traffic; the caller counts it.
		return undefined;
	}
}
