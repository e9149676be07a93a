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

/** A prompt that was placed: the place will hold its parts. */
const placementNoteSchema = v.object({
	place: v.string(),
	salt: v.string(),
	parts: v.array(v.object({id: v.string(), tokens: v.number()})),
	/** Time until the prompt will have been read; nothing when it will not be: the server did not run it. */
	readyIn: v.optional(v.number()),
});

const hostMessageSchema = v.object({
	host: descriptionSchema,
	state: v.picklist(['starting', 'serving', 'stopping']),
	configuration: v.number(),
	revision: v.number(),
	/** Tokens charged since the start, by workspace. */
	charged: v.record(v.string(), v.number()),
	/** Requests, unread tokens and memory tokens under way, by server. */
	loads: v.record(v.string(), v.tuple([v.number(), v.number(), v.number()])),
	placements: v.array(placementNoteSchema),
	/** Weights seen, by server and model. */
	weights: v.array(v.object({server: v.string(), model: v.string(), version: v.number()})),
	/** Servers about to load weights, and for how long at most. */
	loading: v.array(v.object({server: v.string(), time: v.number()})),
	/** Servers that could not be reached. */
	unreachable: v.array(v.string()),
	/** Servers to be left to run empty, before they load weights. */
	emptying: v.array(v.string()),
	/** Requests that were in flight at the death of a server. */
	deaths: v.array(v.object({
		fingerprint: v.number(), server: v.string(), incarnation: v.string(), failureDomain: v.string(), age: v.number(),
	})),
});

/** What a host tells its peers in one datagram. */
export type HostMessage = v.InferOutput<typeof hostMessageSchema>;
export type PlacementNote = v.InferOutput<typeof placementNoteSchema>;

/**
 * Encodes a message.
 *
 * @param message - The message.
 * @returns The datagram.
 */
export function encodeHostMessage(message: HostMessage): Uint8Array {
	return encode(message);
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
