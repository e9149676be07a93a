import {createParser} from 'eventsource-parser';
import {type Dispatcher, Agent} from 'undici';

/** The end of one call as the caller saw it. */
export type CallEnd = {
	readonly status: number;
	readonly host: string;
	/** The answer's text; of a stream, its pieces joined. */
	readonly text: string;
	/** True for a whole JSON answer, and for a stream that ended with the terminal marker. */
	readonly isComplete: boolean;
	readonly error: {readonly code: string; readonly run: string} | undefined;
	readonly firstTokenAfter: number | undefined;
	readonly promptTokens: number;
	readonly cachedTokens: number;
};

type Wire = {
	readonly error?: {readonly code: string; readonly run: string};
	readonly choices?: ReadonlyArray<{readonly delta?: {readonly content?: string}; readonly message?: {readonly content: string}}>;
	readonly usage?: {readonly prompt_tokens: number; readonly prompt_tokens_details: {readonly cached_tokens: number}};
};

/** One call. */
export type Call = {
	readonly path: string;
	readonly method?: Dispatcher.HttpMethod;
	readonly key?: string | undefined;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	readonly signal?: AbortSignal;
};

/** A caller as an application would be: keeps connections open and reads streams. */
export class Caller {
	readonly #agent: Agent;

	/**
	 * @param connections - The most connections to one host.
	 */
	constructor(connections = 512) {
		this.#agent = new Agent({connections, bodyTimeout: 30_000, headersTimeout: 30_000});
	}

	/**
	 * Makes one call and reads its whole answer.
	 *
	 * @param address - The entry host's address.
	 * @param call - The call.
	 * @returns What came back; status 0 when the connection failed.
	 */
	async call(address: string, call: Call): Promise<CallEnd> {
		const startedAt = performance.now();
		try {
			const response = await this.#agent.request({
				origin: `http://${address}`,
				path: call.path,
				method: call.method ?? 'POST',
				body: call.body === undefined ? undefined : JSON.stringify(call.body),
				signal: call.signal,
				headers: {
					'content-type': 'application/json',
					...(call.key === undefined ? {} : {authorization: `Bearer ${call.key}`}),
					...call.headers,
				},
			});
			const host = String(response.headers['x-lacewingpoint-host']);
			return String(response.headers['content-type']).startsWith('text/event-stream')
				? await readStream(response, host, startedAt)
				: await readWhole(response, host);
		} catch (error) {
			return {...nothing, text: String(error)};
		}
	}

	/** Closes the connections. */
	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}
}

const nothing: CallEnd = {
	status: 0, host: '', text: '', isComplete: false, error: undefined, firstTokenAfter: undefined, promptTokens: 0, cachedTokens: 0,
};

async function readWhole(response: Dispatcher.ResponseData, host: string): Promise<CallEnd> {
	const text = await response.body.text();
	const wire = parse(text);
	return {
		...nothing,
		status: response.statusCode,
		host,
		text: wire.choices?.[0]?.message?.content ?? text,
		isComplete: response.statusCode < 300,
		error: wire.error,
		promptTokens: wire.usage?.prompt_tokens ?? 0,
		cachedTokens: wire.usage?.prompt_tokens_details.cached_tokens ?? 0,
	};
}

async function readStream(response: Dispatcher.ResponseData, host: string, startedAt: number): Promise<CallEnd> {
	let end: CallEnd = {...nothing, status: response.statusCode, host};
	const decoder = new TextDecoder();
	const parser = createParser({
		onEvent({event, data}) {
			end = event === 'error' ? {...end, error: parse(data).error} : addChunk(end, data, performance.now() - startedAt);
		},
	});
	try {
		for await (const bytes of response.body) {
			parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
		}
	} catch {
		// A connection that breaks leaves the stream incomplete.
	}

	return end;
}

function addChunk(end: CallEnd, data: string, after: number): CallEnd {
	if (data === '[DONE]') {
		return {...end, isComplete: true};
	}

	const wire = parse(data);
	return {
		...end,
		text: end.text + (wire.choices?.[0]?.delta?.content ?? ''),
		firstTokenAfter: end.firstTokenAfter ?? after,
		promptTokens: wire.usage?.prompt_tokens ?? end.promptTokens,
		cachedTokens: wire.usage?.prompt_tokens_details.cached_tokens ?? end.cachedTokens,
	};
}

function parse(text: string): Wire {
	try {
		return JSON.parse(text) as Wire;
	} catch {
		return {};
	}
}
