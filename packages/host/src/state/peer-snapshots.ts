import {type Server, createServer} from 'node:http';
import {type LayerError, type Milliseconds, getErrorMessage} from '@lacewingpoint/shared';
import {createTRPCClient, httpLink} from '@trpc/client';
import {initTRPC} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {Result} from 'true-myth';
import {listen} from '../requests/client-listener.js';
import type {ChangeBatch} from '../ports.js';

type SnapshotContext = {readonly snapshot: () => ChangeBatch};

const trpc = initTRPC.context<SnapshotContext>().create();

const snapshotRouter = trpc.router({
	snapshot: trpc.procedure.query(({ctx}) => ctx.snapshot()),
});

/** A request for a snapshot fails after this time; the caller retries it later. */
const snapshotTimeout: Milliseconds = 700;

/**
 * Serves snapshots of this host's cluster state to peers that are outdated.
 *
 * @param address - The address to listen on, `host:port`.
 * @param snapshot - Creates a snapshot.
 * @returns The server, once it is listening; rejects if the address cannot be bound.
 */
export async function serveSnapshots(address: string, snapshot: () => ChangeBatch): Promise<Server> {
	const server = createServer(createHTTPHandler({router: snapshotRouter, createContext: () => ({snapshot})}));
	await listen(server, address);
	return server;
}

/**
 * Fetches a snapshot of a peer's cluster state.
 *
 * @param address - The peer's snapshot address, `host:port`.
 * @returns The snapshot; the error `unreachable` if the request failed or timed out.
 */
export async function fetchSnapshot(address: string): Promise<Result<ChangeBatch, LayerError<'unreachable'>>> {
	const client = createTRPCClient<typeof snapshotRouter>({links: [httpLink({url: `http://${address}`})]});
	try {
		return Result.ok(await client.snapshot.query(undefined, {signal: AbortSignal.timeout(snapshotTimeout)}));
	} catch (error) {
		return Result.err({layer: 'host', code: 'unreachable', message: `could not fetch a snapshot from ${address}: ${getErrorMessage(error)}`});
	}
}
