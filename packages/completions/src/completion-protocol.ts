import type {
	ClientProtocol, ClientRequest, HeaderList, RequestHead,
} from '@lacewingpoint/host';
import {type Milliseconds, type Tokens, millisecondsPerSecond} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {extractPromptText, parseCompletionBody} from './completion-body.js';
import {estimateTokenCount, splitPrompt} from './prompt-parts.js';

/** Defaults for what a completion request may omit. */
export type CompletionProtocolOptions = {
	/** Maximum output tokens of a request that sets no limit. */
	readonly defaultOutputTokens: Tokens;
	/** Limit on the number of JSON values in a body, names of fields included. */
	readonly maximumValues: number;
	/** Creates the id of a request without `X-Request-Id`. Ids must be unique. */
	createRequestId(): string;
};

/** Matches the end of the path only: clients append these paths to a base URL that contains the route's prefix. */
const completionPath = /\/v1\/(?:chat\/)?completions$/v;

/** Request headers that are forwarded to servers. All others are meant for the router or are hop-by-hop. */
const forwardedRequestHeaders: ReadonlySet<string> = new Set(['accept', 'accept-language', 'content-type', 'idempotency-key', 'if-match', 'if-none-match', 'user-agent']);

/** Response headers that are forwarded to clients. */
const forwardedResponseHeaders: ReadonlySet<string> = new Set(['cache-control', 'content-language', 'content-length', 'content-type', 'etag', 'last-modified', 'location', 'retry-after']);

/** Status codes of refusals which guarantee that the request was not executed and never will be. */
const notExecutedStatuses: ReadonlySet<number> = new Set([400, 401, 404, 408, 413, 421, 429, 431, 503]);

function filterHeaders(headers: HeaderList, names: ReadonlySet<string>): string[] {
	const filtered: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		if (names.has(headers[index]!.toLowerCase())) {
			filtered.push(headers[index]!, headers[index + 1]!);
		}
	}

	return filtered;
}

function findHeader(head: RequestHead, name: string): string | undefined {
	const index = head.rawHeaders.findIndex((header, position) => position % 2 === 0 && header.toLowerCase() === name);
	return index === -1 ? undefined : head.rawHeaders[index + 1];
}

function findCredential(head: RequestHead): string | undefined {
	return /^Bearer +(?<key>\S+)\s*$/iv.exec(findHeader(head, 'authorization') ?? '')?.groups?.key;
}

function removeQuery(target: string): string {
	const query = target.indexOf('?');
	return query === -1 ? target : target.slice(0, query);
}

/**
 * Creates the client protocol of the completions API: chat and text completions below `/v1`, API keys as bearer tokens.
 * Requests with any other path are calls to plain services. Routes are matched by host and path, as for every client protocol.
 *
 * @param options - Defaults for what a request may omit.
 * @returns The client protocol.
 */
export function createCompletionProtocol(options: CompletionProtocolOptions): ClientProtocol {
	return {
		decodeHead(head) {
			const host = findHeader(head, 'host');
			if (host === undefined) {
				return Result.err({status: 400, message: 'the header Host is missing'});
			}

			if (findHeader(head, 'transfer-encoding') !== undefined && findHeader(head, 'content-length') !== undefined) {
				return Result.err({status: 400, message: 'a request must not have both Content-Length and Transfer-Encoding'});
			}

			const request: ClientRequest = {
				id: findHeader(head, 'x-request-id') ?? options.createRequestId(),
				host,
				method: head.method,
				target: head.target,
				credential: findCredential(head),
				generation: undefined,
				deadline: undefined,
				lastEventId: findHeader(head, 'last-event-id'),
				resumedRequestId: undefined,
				headers: filterHeaders(head.rawHeaders, forwardedRequestHeaders),
				hasBackendHeaders: false,
			};
			return Result.ok(request);
		},

		previewHead: head => ({
			id: findHeader(head, 'x-request-id'), host: findHeader(head, 'host'), credential: findCredential(head), deadline: undefined,
		}),

		decodeBody(request, body) {
			if (!completionPath.test(removeQuery(request.target))) {
				return Result.ok(request);
			}

			return parseCompletionBody(body, options.maximumValues).map(completion => {
				const prompt = extractPromptText(completion);
				return {
					...request,
					generation: {
						model: completion.model,
						parts: splitPrompt(prompt),
						promptTokens: estimateTokenCount(prompt),
						outputTokens: completion.max_completion_tokens ?? completion.max_tokens ?? options.defaultOutputTokens,
						expectedOutputTokens: undefined,
					},
				};
			});
		},

		responseHeaders(request, headers) {
			return [...filterHeaders(headers, forwardedResponseHeaders), 'X-Request-Id', request.id];
		},

		errorResponse({id, status, message, retryAfter}) {
			const executionStatus = notExecutedStatuses.has(status) ? 'not-run' : 'unknown';
			return {
				headers: [...requestIdHeader(id), ...retryAfterHeader(retryAfter)],
				body: `${JSON.stringify({
					error: {
						type: 'lacewingpoint_error', code: status, message, run: executionStatus, retry_after_ms: retryAfter,
					},
				})}\n`,
			};
		},
	};
}

function requestIdHeader(id: string | undefined): HeaderList {
	return id === undefined ? [] : ['X-Request-Id', id];
}

// Common clients parse only whole seconds.
function retryAfterHeader(retryAfter: Milliseconds | undefined): HeaderList {
	return retryAfter === undefined ? [] : ['Retry-After', String(Math.max(Math.ceil(retryAfter / millisecondsPerSecond), 1))];
}
