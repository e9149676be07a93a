import {createParser} from 'eventsource-parser';
import {Agent} from 'undici';

/** Result of a completion request, as seen by the client. */
export type CompletionResult = {
	/** HTTP status; 0 if there was no response. */
	readonly status: number;
	readonly text: string;
	/** Whether the stream ended with the `[DONE]` marker. */
	readonly isComplete: boolean;
	/** From an error response: `not-run` if no server ran the request, `unknown` if one may have run it. */
	readonly executionStatus: string | undefined;
	/** In milliseconds; undefined if no chunk arrived. */
	readonly timeToFirstChunk: number | undefined;
	readonly requestId: string | undefined;
};

const emptyResult: CompletionResult = {
	status: 0, text: '', isComplete: false, executionStatus: undefined, timeToFirstChunk: undefined, requestId: undefined,
};

/** A client of the completions API that keeps connections open and reads streams. */
export class CompletionClient {
	readonly #agent = new Agent({bodyTimeout: 30_000, headersTimeout: 30_000});

	/**
	 * Requests a completion and reads the stream to its end.
	 *
	 * @param address - IP address and port of the host's completions API.
	 * @param apiKey - API key of the workspace.
	 * @param body - Request body, as JSON.
	 * @returns The result; it is incomplete if the connection failed.
	 */
	async complete(address: string, apiKey: string, body: string): Promise<CompletionResult> {
		const startedAt = performance.now();
		let result: CompletionResult = emptyResult;
		const parser = createParser({
			onEvent({data}) {
				result = data === '[DONE]'
					? {...result, isComplete: true}
					: {...result, text: result.text + extractContent(data), timeToFirstChunk: result.timeToFirstChunk ?? performance.now() - startedAt};
			},
		});
		try {
			const response = await this.#agent.request({
				origin: `http://${address}`, path: '/chat/v1/chat/completions', method: 'POST', body, headers: {
					'content-type': 'application/json', host: 'h.example', authorization: `Bearer ${apiKey}`,
				},
			});
			result = {...result, status: response.statusCode, requestId: String(response.headers['x-request-id'])};
			if (response.statusCode !== 200) {
				const errorBody = await response.body.json() as {readonly error?: {readonly run?: string}};
				return {...result, executionStatus: errorBody.error?.run};
			}

			const decoder = new TextDecoder();
			for await (const bytes of response.body) {
				parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
			}
		} catch {
			// If the connection fails, the result stays incomplete.
		}

		return result;
	}

	/** Closes all connections. */
	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}
}

function extractContent(data: string): string {
	const chunk = JSON.parse(data) as {readonly choices?: ReadonlyArray<{readonly delta?: {readonly content?: string}}>};
	return chunk.choices?.[0]?.delta?.content ?? '';
}
