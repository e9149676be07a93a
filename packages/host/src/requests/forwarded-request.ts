import {decode, encode} from '@msgpack/msgpack';
import type {Milliseconds} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import * as v from 'valibot';
import {isMessagePackWithin} from '../members/message-pack-limits.js';
import type {ClientRequest, ForwardingTerms, HeaderList} from '../ports.js';

/** More than a head of the largest size can describe. */
const messageLimits = {values: 65_536, depth: 16} as const;

/** Path at which hosts take requests that a peer forwards, on the address of their snapshots. */
export const forwardedRequestPath = '/forwarded';

/** Response header with the head of the server's response, as base64 of JSON. */
const relayedHeadHeader = 'lacewingpoint-head';

/** Response header with the peer's own error response, as base64 of JSON. */
const refusalHeader = 'lacewingpoint-refusal';

const requestSchema = v.object({
	id: v.string(),
	host: v.string(),
	method: v.string(),
	target: v.string(),
	credential: v.optional(v.string()),
	generation: v.optional(v.object({
		model: v.string(),
		parts: v.array(v.object({id: v.string(), tokens: v.number()})),
		promptTokens: v.number(),
		outputTokens: v.number(),
		expectedOutputTokens: v.optional(v.number()),
	})),
	/** How long the request may take from its arrival at the peer, in milliseconds. */
	deadline: v.number(),
	lastEventId: v.optional(v.string()),
	resumedRequestId: v.optional(v.string()),
	headers: v.array(v.string()),
	hasBackendHeaders: v.boolean(),
});

const forwardedRequestSchema = v.object({
	request: requestSchema,
	body: v.instance(Uint8Array),
	/** Version of the protocol between hosts; absent in requests of earlier builds. */
	protocol: v.optional(v.number(), 0),
	/** Name of the host that received the request from the client and charged its quota. */
	origin: v.string(),
	/** The service that the host has selected. */
	service: v.string(),
	/** How many servers may still execute the request. */
	executionsLeft: v.number(),
	/** The software version at which a stream has to go on. */
	requiredVersion: v.optional(v.string()),
});

/** A request as one host forwards it to another. */
export type ForwardedRequest = ForwardingTerms & {readonly protocol: number; readonly request: ClientRequest; readonly body: Uint8Array};

const relayedHeadSchema = v.object({status: v.number(), headers: v.array(v.string())});

const refusalSchema = v.object({status: v.number(), message: v.string(), retryAfter: v.optional(v.number())});

/** The head of a server's response that a peer relays, or the error with which the peer itself responds. */
export type ForwardedHead
	= | {readonly type: 'relayed'; readonly status: number; readonly headers: HeaderList}
		| {readonly type: 'refused'; readonly status: number; readonly message: string; readonly retryAfter?: Milliseconds | undefined};

/**
 * Encodes a request for a peer.
 *
 * @param forwarded - The request, with its time left as its deadline.
 * @returns The body of the call to the peer.
 */
export function encodeForwardedRequest(forwarded: ForwardedRequest): Uint8Array {
	return encode(forwarded, {ignoreUndefined: true});
}

/**
 * Decodes and validates a request of a peer.
 *
 * @param bytes - The body of the call.
 * @returns The request, or why it is invalid.
 */
export function decodeForwardedRequest(bytes: Uint8Array): Result<ForwardedRequest, string> {
	if (!isMessagePackWithin(bytes, messageLimits)) {
		return Result.err('incomplete, or more values or levels than a request has');
	}

	try {
		const parsed = v.safeParse(forwardedRequestSchema, decode(bytes));
		if (!parsed.success) {
			return Result.err(`${v.getDotPath(parsed.issues[0]) ?? 'request'}: ${parsed.issues[0].message}`);
		}

		const {credential, generation, lastEventId, resumedRequestId, ...request} = parsed.output.request;
		return Result.ok({
			...parsed.output,
			request: {
				...request,
				credential,
				generation: generation === undefined ? undefined : {...generation, expectedOutputTokens: generation.expectedOutputTokens},
				lastEventId,
				resumedRequestId,
			},
		});
	} catch (error) {
		return Result.err(`not MessagePack: ${String(error)}`);
	}
}

/**
 * Encodes the head of the response to a peer.
 *
 * @param head - The server's response head, or an error of this host.
 * @returns Alternating header names and values.
 */
export function encodeForwardedHead(head: ForwardedHead): HeaderList {
	const {type, ...content} = head;
	return [type === 'relayed' ? relayedHeadHeader : refusalHeader, Buffer.from(JSON.stringify(content)).toString('base64')];
}

/**
 * Decodes the head of a peer's response.
 *
 * @param headers - The headers of the response.
 * @returns The head; `undefined` if the response is not one to a forwarded request.
 */
export function decodeForwardedHead(headers: Readonly<Record<string, string | string[] | undefined>>): ForwardedHead | undefined {
	const parse = (name: string): unknown => {
		try {
			return JSON.parse(Buffer.from(String(headers[name]), 'base64').toString('utf8'));
		} catch {
			// The caller handles the response as that of another program.
			return undefined;
		}
	};

	const relayed = v.safeParse(relayedHeadSchema, parse(relayedHeadHeader));
	if (relayed.success) {
		return {type: 'relayed', ...relayed.output};
	}

	const refusal = v.safeParse(refusalSchema, parse(refusalHeader));
	return refusal.success ? {type: 'refused', ...refusal.output} : undefined;
}
