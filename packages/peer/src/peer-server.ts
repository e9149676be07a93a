import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Disposable} from '@lacewingpoint/shared';
import {initTRPC} from '@trpc/server';
import {createHTTPServer} from '@trpc/server/adapters/standalone';
import * as v from 'valibot';
import {
	type ClaimQuestion, type ClaimReply, type CreditReply, type CreditRequest, type ExchangeReply, type ExchangeRequest,
	type PrefixReply, claimQuestionSchema, creditRequestSchema, exchangeRequestSchema,
} from './messages.js';

/** What a host answers its peers. */
export type PeerHandler = {
	/** Answers with this host's changes and the ages of its knowledge. */
	exchange(request: ExchangeRequest): ExchangeReply;
	/** Gives credit away. */
	lendCredit(request: CreditRequest): CreditReply;
	/** Tells what became of a claim that this host took. */
	claimOutcome(question: ClaimQuestion): ClaimReply;
	/** Copies the hot heads of the prefix index. */
	prefixes(): PrefixReply;
};

type PeerContext = {readonly handler: PeerHandler};

const trpc = initTRPC.context<PeerContext>().create();

/** The procedures between entry hosts. */
export const peerProcedures = trpc.router({
	exchange: trpc.procedure.input(v.parser(exchangeRequestSchema)).mutation(({ctx, input}) => ctx.handler.exchange(input)),
	lendCredit: trpc.procedure.input(v.parser(creditRequestSchema)).mutation(({ctx, input}) => ctx.handler.lendCredit(input)),
	claimOutcome: trpc.procedure.input(v.parser(claimQuestionSchema)).mutation(({ctx, input}) => ctx.handler.claimOutcome(input)),
	prefixes: trpc.procedure.mutation(({ctx}) => ctx.handler.prefixes()),
});

export type PeerProcedures = typeof peerProcedures;

/** A server for peers that counts what passes over its connections. */
export type PeerServer = Disposable & {
	/** @returns The bytes read and written so far, headers included. */
	bytes(): number;
};

/**
 * Serves the peers of this host.
 *
 * @param handler - Answers the calls.
 * @param address - The IP number and port to listen at.
 * @returns The server, once it listens.
 */
export async function servePeers(handler: PeerHandler, address: string): Promise<PeerServer> {
	const [ip, port] = address.split(':');
	const server: Server = createHTTPServer({router: peerProcedures, createContext: () => ({handler})});
	const open = new Set<Socket>();
	let closedBytes = 0;
	server.on('connection', (socket: Socket) => {
		open.add(socket);
		socket.once('close', () => {
			open.delete(socket);
			closedBytes += bytesOf(socket);
		});
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), ip, resolve);
	});
	return {
		bytes() {
			let total = closedBytes;
			for (const socket of open) {
				total += bytesOf(socket);
			}

			return total;
		},
		async dispose() {
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}

function bytesOf(socket: Socket): number {
	return socket.bytesRead + socket.bytesWritten;
}
