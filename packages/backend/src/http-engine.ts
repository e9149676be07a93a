import type {Milliseconds} from '@lacewingpoint/shared';
import {type EventSourceMessage, createParser} from 'eventsource-parser';
import {Result} from 'true-myth';
import type {Dispatcher, Pool} from 'undici';
import * as v from 'valibot';
import {type BackendError, backendErrorOf} from './backend-error.js';
import {type BackendConnectionOptions, createConnectionPool} from './connection-pool.js';
import type {
	CacheEvent, Engine, EngineAnswer, EngineChunk, EngineReport, EngineRequest, EngineState, LoadOrder,
} from './engine.js';

const stateSchema = v.object({
	incarnation: v.string(),
	weightsVersion: v.string(),
	queuedTokens: v.number(),
	runningRequests: v.number(),
	model: v.string(),
	adapters: v.array(v.string()),
	loading: v.boolean(),
	leaving: v.boolean(),
});

const cacheEventSchema = v.object({
	incarnation: v.string(),
	sequence: v.number(),
	stored: v.array(v.number()),
	removed: v.array(v.number()),
});

/** The headers in which an engine reports its load, so that it rides on the data path. */
export const engineHeaders = {
	incarnation: 'x-engine-incarnation',
	weightsVersion: 'x-engine-weights-version',
	queuedTokens: 'x-engine-queued-tokens',
	runningRequests: 'x-engine-running-requests',
	/** Set to `true` on an error status when the request did not run. */
	notRun: 'x-not-run',
} as const;

type Headers = Dispatcher.ResponseData['headers'];

const header = (headers: Headers, name: string): string | undefined => {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
};

function reportOf(headers: Headers): EngineReport | undefined {
	const incarnation = header(headers, engineHeaders.incarnation);
	const weightsVersion = header(headers, engineHeaders.weightsVersion);
	if (incarnation === undefined || weightsVersion === undefined) {
		return undefined;
	}

	return {
		incarnation,
		weightsVersion,
		queuedTokens: Number(header(headers, engineHeaders.queuedTokens) ?? 0),
		runningRequests: Number(header(headers, engineHeaders.runningRequests) ?? 0),
	};
}

/**
 * Judges an error status: only the backend server itself can say that a request did not run.
 *
 * @param address - The backend server.
 * @param status - The HTTP status.
 * @param headers - The head of the answer.
 * @returns The error, or nothing when the answer is to be passed on.
 */
export function declinedError(address: string, status: number, headers: Headers): BackendError | undefined {
	if (header(headers, engineHeaders.notRun) !== 'true') {
		return undefined;
	}

	const seconds = Number(header(headers, 'retry-after') ?? 0);
	return {
		layer: 'backend', code: 'declined', message: `${address} answered ${status}`, retryAfter: Number.isFinite(seconds) ? seconds * 1000 : 0,
	};
}

/** A model engine over the usual HTTP shapes: completions with server-sent events. */
export class HttpEngine implements Engine {
	readonly address: string;
	readonly #pool: Pool;

	constructor(options: BackendConnectionOptions) {
		this.address = options.address;
		this.#pool = createConnectionPool(options);
	}

	async start(request: EngineRequest, signal: AbortSignal): Promise<Result<EngineAnswer, BackendError>> {
		try {
			const response = await this.#pool.request({
				path: request.path,
				method: 'POST',
				body: request.body,
				signal,
				headers: {
					'content-type': 'application/json',
					'x-request-id': request.requestId,
					...(request.resumeAfter === undefined ? {} : {'last-event-id': String(request.resumeAfter)}),
				},
			});
			const declined = declinedError(this.address, response.statusCode, response.headers);
			if (declined !== undefined) {
				await response.body.dump();
				return Result.err(declined);
			}

			return Result.ok(this.#answerOf(response));
		} catch (error) {
			return Result.err(backendErrorOf(error, this.address));
		}
	}

	async state(timeout: Milliseconds): Promise<Result<EngineState, BackendError>> {
		try {
			const response = await this.#pool.request({path: '/v1/state', method: 'GET', signal: AbortSignal.timeout(timeout)});
			const checked = v.safeParse(stateSchema, await response.body.json());
			return checked.success ? Result.ok(checked.output) : Result.err(this.#malformed(checked.issues[0].message));
		} catch (error) {
			return Result.err(backendErrorOf(error, this.address));
		}
	}

	async load(order: LoadOrder): Promise<Result<void, BackendError>> {
		try {
			const response = await this.#pool.request({
				path: '/v1/orders/load', method: 'POST', body: JSON.stringify(order), headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(5000),
			});
			await response.body.dump();
			return response.statusCode < 300
				? Result.ok(undefined)
				: Result.err({layer: 'backend', code: 'declined', message: `${this.address} refused the order: ${response.statusCode}`});
		} catch (error) {
			return Result.err(backendErrorOf(error, this.address));
		}
	}

	async followCacheEvents(onEvent: (event: CacheEvent) => void, signal: AbortSignal): Promise<void> {
		try {
			const response = await this.#pool.request({
				path: '/v1/cache-events', method: 'GET', signal, bodyTimeout: 0,
			});
			for await (const events of this.#serverSentEvents(response.body)) {
				for (const event of events) {
					const checked = v.safeParse(cacheEventSchema, JSON.parse(event.data));
					if (checked.success) {
						onEvent(checked.output);
					}
				}
			}
		} catch {
			// The subscriber reopens; the gap in the sequence numbers tells it what it missed.
		}
	}

	async dispose(): Promise<void> {
		await this.#pool.destroy();
	}

	#answerOf(response: Dispatcher.ResponseData): EngineAnswer {
		return {
			status: response.statusCode,
			report: reportOf(response.headers),
			chunks: this.#chunks(response.body),
			text: async () => {
				try {
					return Result.ok(await response.body.text());
				} catch (error) {
					return Result.err(backendErrorOf(error, this.address));
				}
			},
		};
	}

	// Events that arrive together are handed on together: a step for each would cost more than the event itself.
	async * #serverSentEvents(body: Dispatcher.ResponseData['body']): AsyncGenerator<readonly EventSourceMessage[]> {
		let pending: EventSourceMessage[] = [];
		const decoder = new TextDecoder();
		const parser = createParser({
			onEvent(event) {
				pending.push(event);
			},
		});
		for await (const bytes of body) {
			parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
			if (pending.length > 0) {
				const events = pending;
				pending = [];
				yield events;
			}
		}
	}

	async * #chunks(body: Dispatcher.ResponseData['body']): AsyncGenerator<Result<readonly EngineChunk[], BackendError>> {
		let isDone = false;
		try {
			// Read on to the end of the body after the terminal marker: a body left unread costs its connection.
			for await (const events of this.#serverSentEvents(body)) {
				const chunks = events.map(event => chunkOf(event));
				isDone ||= chunks.at(-1)!.type === 'done';
				yield Result.ok(chunks);
			}

			if (isDone) {
				return;
			}

			yield Result.err({layer: 'backend', code: 'incomplete', message: `${this.address} ended the stream early`});
		} catch (error) {
			yield Result.err(backendErrorOf(error, this.address));
		}
	}

	#malformed(message: string): BackendError {
		return {layer: 'backend', code: 'malformed', message: `${this.address}: ${message}`};
	}
}

function chunkOf({id, data}: EventSourceMessage): EngineChunk {
	return data === '[DONE]' ? {type: 'done'} : {type: 'chunk', sequence: Number(id ?? Number.NaN), data};
}
