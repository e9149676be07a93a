import type {Milliseconds, RandomSource} from '@lacewingpoint/shared';
import {Agent} from 'undici';
import {createEvent, createPlainBody, eventCount} from './soak-server.js';

/** What a client requests. Only `look`, `check` and `chat` may run more than once. */
export type RequestKind = 'look' | 'book' | 'check' | 'draft' | 'chat' | 'long';

/** Kinds of which each request may run once at most. */
export const onceKinds: ReadonlySet<RequestKind> = new Set(['book', 'draft', 'long']);

/** The outcome of a request, as its client saw it. */
export type ClientOutcome = {
	readonly id: string;
	readonly kind: RequestKind;
	readonly host: string;
	/** 0 if there was no response. */
	readonly status: number;
	readonly body: string;
	/** Whether the response ended as its framing says. */
	readonly isComplete: boolean;
	/** Monotonic times at which the request was sent and at which its response or connection ended. */
	readonly sentAt: Milliseconds;
	readonly endedAt: Milliseconds;
};

const kinds: readonly RequestKind[] = ['look', 'book', 'check', 'draft', 'chat', 'long'];

const streamKinds: ReadonlySet<RequestKind> = new Set(['check', 'draft', 'chat']);

/** How long clients wait. Two kinds of requests may run longer than a stopping host has left. */
export const deadlines: Readonly<Record<RequestKind, Milliseconds>> = {
	look: 3000, book: 3000, check: 3000, draft: 3000, chat: 10_000, long: 10_000,
};

/** Lines that are no part of an event; each execution writes others. */
const comments = /^:.*(?:\n|$)/gmv;

const longestPauseBetweenRequests: Milliseconds = 30;

/** A client that sends one request after the other and keeps its connections open until their host is gone. */
export class SoakClient {
	readonly outcomes: ClientOutcome[] = [];
	readonly #name: string;
	readonly #random: RandomSource;
	readonly #agent = new Agent({connections: 2, bodyTimeout: deadlines.chat * 2, headersTimeout: deadlines.chat * 2});
	#isStopped = false;

	/**
	 * @param name - Prefix of the ids of its requests.
	 * @param random - Source of the random numbers.
	 */
	constructor(name: string, random: RandomSource) {
		this.#name = name;
		this.#random = random;
	}

	/**
	 * Sends requests until the client is stopped.
	 *
	 * @param selectHost - Returns the address to send the next request to.
	 */
	async run(selectHost: () => string): Promise<void> {
		for (let index = 0; !this.#isStopped; index++) {
			const kind = kinds[Math.floor(this.#random.next() * kinds.length)]!;
			this.outcomes.push(await this.send(selectHost(), kind, `${this.#name}-${index}`));
			await new Promise(resolve => {
				setTimeout(resolve, this.#random.next() * longestPauseBetweenRequests);
			});
		}
	}

	/**
	 * Sends one request and reads its response to the end.
	 *
	 * @param host - Address of the host.
	 * @param kind - What to request.
	 * @param id - Id of the request.
	 * @returns The outcome.
	 */
	async send(host: string, kind: RequestKind, id: string): Promise<ClientOutcome> {
		const sentAt = performance.now();
		let [status, received, isComplete] = [0, '', false];
		try {
			const response = await this.#agent.request({
				origin: `http://${host}`,
				path: `/${kind}/${id}`,
				method: kind === 'look' ? 'GET' : 'POST',
				headers: {
					host: 'h.example',
					'attempt-id': id,
					'api-key': 'red-key',
					'deadline-ms': String(deadlines[kind]),
					...(streamKinds.has(kind) ? {model: 'm', 'token-count': '30,10', 'prompt-prefix': `a1:10,b2:10,${id.replaceAll(/\D/gv, '')}:10`} : {}),
				},
			});
			status = response.statusCode;
			for await (const chunk of response.body) {
				received += String(chunk);
			}

			isComplete = true;
		} catch {
			// The response stays incomplete; what arrived of it is checked.
		}

		return {
			id, kind, host, status, body: received.replaceAll(comments, ''), isComplete, sentAt, endedAt: performance.now(),
		};
	}

	/** Ends the client after the request that is under way. */
	stop(): void {
		this.#isStopped = true;
	}

	/** Closes all connections. */
	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}
}

/**
 * Creates the response that a request must get if it is successful.
 *
 * @param outcome - The request.
 * @returns The whole body.
 */
export function createExpectedBody({id, kind}: Pick<ClientOutcome, 'id' | 'kind'>): string {
	return streamKinds.has(kind)
		? Array.from({length: eventCount}, (_, index) => createEvent(id, index + 1)).join('')
		: createPlainBody(id);
}
