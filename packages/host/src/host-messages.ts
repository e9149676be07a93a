import {decode, encode} from '@msgpack/msgpack';
import * as v from 'valibot';

const descriptionSchema = v.object({
	name: v.string(),
	incarnation: v.string(),
	failureDomain: v.string(),
	region: v.string(),
	clientAddress: v.string(),
	peerAddress: v.string(),
	snapshotAddress: v.string(),
});

/** A prompt that was placed. */
const placementNoteSchema = v.object({
	salt: v.string(),
	/** Id and tokens of each part. */
	parts: v.array(v.tuple([v.string(), v.number()])),
	/** Servers and stores that will hold the parts, and in how long; nothing where they will not: the server did not run it. */
	places: v.array(v.tuple([v.string(), v.nullable(v.number())])),
});

const hostMessageSchema = v.object({
	name: v.string(),
	incarnation: v.string(),
	state: v.picklist(['starting', 'serving', 'stopping']),
	configuration: v.number(),
	revision: v.number(),
	/** What the host says of itself, its charges and loads in full; otherwise what has changed since the last message. */
	isWhole: v.optional(v.boolean(), false),
	/** Present in whole messages. */
	host: v.optional(descriptionSchema),
	/** Tokens charged since the start, by workspace. */
	charged: v.optional(v.record(v.string(), v.number()), {}),
	/** Requests, unread tokens and memory tokens under way, by server. */
	loads: v.optional(v.record(v.string(), v.tuple([v.number(), v.number(), v.number()])), {}),
	placements: v.optional(v.array(placementNoteSchema), []),
	/** Weights seen, by server and model. */
	weights: v.optional(v.array(v.object({server: v.string(), model: v.string(), version: v.number()})), []),
	/** Servers about to load weights, and for how long at most. */
	loading: v.optional(v.array(v.object({server: v.string(), time: v.number()})), []),
	/** Servers that could not be reached. */
	unreachable: v.optional(v.array(v.string()), []),
	/** Servers to be left to run empty, before they load weights. */
	emptying: v.optional(v.array(v.string()), []),
	/** Requests that were in flight at the death of a server. */
	deaths: v.optional(v.array(v.object({
		fingerprint: v.number(), server: v.string(), incarnation: v.string(), failureDomain: v.string(), age: v.number(),
	})), []),
});

/** What a host tells its peers in one datagram. */
export type HostMessage = v.InferOutput<typeof hostMessageSchema>;
export type PromptPlacement = v.InferOutput<typeof placementNoteSchema>;

/**
 * Encodes a message; what is empty is left out.
 *
 * @param message - The message.
 * @returns The datagram.
 */
export function encodeHostMessage(message: HostMessage): Uint8Array {
	return encode(Object.fromEntries(Object.entries(message).filter(([, value]) => !isEmpty(value))));
}

function isEmpty(value: HostMessage[keyof HostMessage]): boolean {
	return value === undefined || value === false || (typeof value === 'object' && Object.keys(value).length === 0);
}

/**
 * Decodes a datagram.
 *
 * @param bytes - The datagram.
 * @returns The message; nothing when the bytes are no message.
 */
export function decodeHostMessage(bytes: Uint8Array): HostMessage | undefined {
	try {
		const checked = v.safeParse(hostMessageSchema, decode(bytes));
		return checked.success ? checked.output : undefined;
	} catch {
		// Whatever else arrives at the port is not for this program; the caller counts it.
		return undefined;
	}
}
