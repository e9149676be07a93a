import {createParser} from 'eventsource-parser';
import {Agent} from 'undici';

/** The end of one completion as its client saw it. */
export type CompletionResult = {
	readonly status: number;
	readonly text: string;
	/** The stream ended with the terminal marker. */
	readonly isComplete: boolean;
	/** What a refusal says of the request: it did not run, or nobody knows. */
	readonly executionStatus: string | undefined;
	readonly timeToFirstChunk: number | undefined;
	readonly requestId: string | undefined;
};

const nothing: CompletionResult = {
	status: 0, text: '', isComplete: false, executionStatus: undefined, timeToFirstChunk: undefined, requestId: undefined,
};

/** A client as an application would be: keeps connections open and reads streams. */
export class CompletionClient {
	readonly #agent = new Agent({bodyTimeout: 30_000, headersTimeout: 30_000});

	/**
	 * Asks for a completion and reads it to its end.
	 *
	 * @param address - The host's address for completions.
	 * @param key - The workspace's key.
	 * @param body - The request's body.
	 * @returns What came back; status 0 when the connection failed.
	 */
	async complete(address: string, key: string, body: string): Promise<CompletionResult> {
		const startedAt = performance.now();
		let end: CompletionResult = nothing;
		const parser = createParser({
			onEvent({data}) {
				end = data === '[DONE]'
					? {...end, isComplete: true}
					: {...end, text: end.text + pieceOf(data), timeToFirstChunk: end.timeToFirstChunk ?? performance.now() - startedAt};
			},
		});
		try {
			const response = await this.#agent.request({
				origin: `http://${address}`, path: '/chat/v1/chat/completions', method: 'POST', body, headers: {
					'content-type': 'application/json', host: 'h.example', authorization: `Bearer ${key}`,
				},
			});
			end = {...end, status: response.statusCode, requestId: String(response.headers['x-request-id'])};
			if (response.statusCode !== 200) {
				const refusal = await response.body.json() as {readonly error?: {readonly run?: string}};
				return {...end, executionStatus: refusal.error?.run};
			}

			const decoder = new TextDecoder();
			for await (const bytes of response.body) {
				parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
			}
		} catch {
			// A connection that breaks leaves the answer incomplete; that is what the client sees.
		}

		return end;
	}

	/** Closes the connections. */
	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}
}

function pieceOf(data: string): string {
	const chunk = JSON.parse(data) as {readonly choices?: ReadonlyArray<{readonly delta?: {readonly content?: string}}>};
	return chunk.choices?.[0]?.delta?.content ?? '';
}
