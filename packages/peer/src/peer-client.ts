import {type LayerError, type Milliseconds, messageOf} from '@lacewingpoint/shared';
import {createTRPCClient, httpLink} from '@trpc/client';
import {Result} from 'true-myth';
import {Pool} from 'undici';
import * as v from 'valibot';
import {
	type ClaimQuestion, type ClaimReply, type CreditReply, type CreditRequest, type ExchangeReply, type ExchangeRequest,
	type PrefixReply, claimReplySchema, creditReplySchema, exchangeReplySchema, prefixReplySchema,
} from './messages.js';
import type {PeerProcedures} from './peer-server.js';

/** How a call to a peer failed; whether the peer acted on it is unknown. */
export type PeerError = LayerError<'unreachable' | 'malformed'>;

/** The calls that one host makes to another. */
export type Peer = {
	exchange(request: ExchangeRequest): Promise<Result<ExchangeReply, PeerError>>;
	lendCredit(request: CreditRequest): Promise<Result<CreditReply, PeerError>>;
	claimOutcome(question: ClaimQuestion): Promise<Result<ClaimReply, PeerError>>;
	prefixes(): Promise<Result<PrefixReply, PeerError>>;
	/** Closes the connections. */
	dispose(): Promise<void>;
};

type FetchEsque = NonNullable<Parameters<typeof httpLink>[0]['fetch']>;

// The leanest of the fetches tried: undici's request, dressed as the little that the link needs.
function createFetch(pool: Pool, timeout: Milliseconds): FetchEsque {
	return async (input, init) => {
		const {pathname, search} = new URL(String(input));
		const response = await pool.request({
			path: pathname + search,
			method: 'POST',
			body: init?.body as string | undefined,
			headers: {'content-type': 'application/json'},
			signal: AbortSignal.timeout(timeout),
		});
		return {
			ok: response.statusCode < 300,
			status: response.statusCode,
			statusText: '',
			url: String(input),
			body: null,
			async json() {
				return response.body.json();
			},
		};
	};
}

async function call<Schema extends v.GenericSchema>(schema: Schema, send: () => Promise<unknown>): Promise<Result<v.InferOutput<Schema>, PeerError>> {
	try {
		const checked = v.safeParse(schema, await send());
		return checked.success
			? Result.ok(checked.output)
			: Result.err({layer: 'peer', code: 'malformed', message: checked.issues[0].message});
	} catch (error) {
		return Result.err({layer: 'peer', code: 'unreachable', message: messageOf(error)});
	}
}

/**
 * Connects to a peer; the connection is opened by the first call.
 *
 * @param address - The peer's IP number and port.
 * @param timeout - How long a call may take.
 * @returns The peer.
 */
export function createPeer(address: string, timeout: Milliseconds): Peer {
	const pool = new Pool(`http://${address}`, {connections: 4, connect: {timeout}});
	const client = createTRPCClient<PeerProcedures>({
		links: [httpLink({url: `http://${address}`, fetch: createFetch(pool, timeout)})],
	});
	return {
		exchange: async request => call(exchangeReplySchema, async () => client.exchange.mutate(request)),
		lendCredit: async request => call(creditReplySchema, async () => client.lendCredit.mutate(request)),
		claimOutcome: async question => call(claimReplySchema, async () => client.claimOutcome.mutate(question)),
		prefixes: async () => call(prefixReplySchema, async () => client.prefixes.mutate()),
		async dispose() {
			await pool.destroy();
		},
	};
}
