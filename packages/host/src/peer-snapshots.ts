import {type Server, createServer} from 'node:http';
import {type LayerError, type Milliseconds, getErrorMessage} from '@lacewingpoint/shared';
import {createTRPCClient, httpLink} from '@trpc/client';
import {initTRPC} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {Result} from 'true-myth';
import {listen} from './client-listener.js';
import type {ChangeBatch} from './ports.js';

type SnapshotContext = {readonly snapshot: () => ChangeBatch};

const trpc = initTRPC.context<SnapshotContext>().create();

const procedures = trpc.router({
	snapshot: trpc.procedure.query(({ctx}) => ctx.snapshot()),
});

/** A peer that does not answer within this time is asked again later. */
const snapshotTimeout: Milliseconds = 700;

/**
 * Serves this host's beliefs to peers that are behind.
 *
 * @param address - Where to listen.
 * @param snapshot - Gives the beliefs.
 * @returns The server, once it listens.
 */
export async function serveSnapshots(address: string, snapshot: () => ChangeBatch): Promise<Server> {
	const server = createServer(createHTTPHandler({router: procedures, createContext: () => ({snapshot})}));
	await listen(server, address);
	return server;
}

/**
 * Asks a peer for its beliefs.
 *
 * @param address - The peer.
 * @returns The beliefs.
 */
export async function fetchSnapshot(address: string): Promise<Result<ChangeBatch, LayerError<'unreachable'>>> {
	const client = createTRPCClient<typeof procedures>({links: [httpLink({url: `http://${address}`})]});
	try {
		return Result.ok(await client.snapshot.query(undefined, {signal: AbortSignal.timeout(snapshotTimeout)}));
	} catch (error) {
		return Result.err({layer: 'host', code: 'unreachable', message: `peer ${address}: ${getErrorMessage(error)}`});
	}
}
