import type {
	ClientProtocol, ClientRequest, HeaderList, RequestHead,
} from '@lacewingpoint/host';
import {type Milliseconds, type Tokens, millisecondsPerSecond} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {parseCompletionBody, extractPromptText} from './completion-body.js';
import {estimateTokenCount, splitPrompt} from './prompt-parts.js';

export type CompletionProtocolOptions = {
	/** The longest answer of a request that names none. */
	readonly defaultOutputTokens: Tokens;
	/** Makes the id of a request that brings none; ids must never repeat. */
	createRequestId(): string;
};

/** A completion is asked for below the prefix of its route, as clients append these to their base address. */
const completionPath = /\/v1\/(?:chat\/)?completions$/v;

/** Headers that servers get; what else a client sends is for the system or for one connection. */
const passedOn: ReadonlySet<string> = new Set(['accept', 'accept-language', 'content-type', 'idempotency-key', 'if-match', 'if-none-match', 'user-agent']);

/** Headers of answers that clients get. */
const passedBack: ReadonlySet<string> = new Set(['cache-control', 'content-language', 'content-length', 'content-type', 'etag', 'last-modified', 'location', 'retry-after']);

/** Statuses that say that the request did not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([400, 401, 404, 408, 413, 421, 429, 431, 503]);

function filterHeaders(headers: HeaderList, names: ReadonlySet<string>): string[] {
	const kept: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		if (names.has(headers[index]!.toLowerCase())) {
			kept.push(headers[index]!, headers[index + 1]!);
		}
	}

	return kept;
}

function valueOf(head: RequestHead, name: string): string | undefined {
	const index = head.rawHeaders.findIndex((text, position) => position % 2 === 0 && text.toLowerCase() === name);
	return index === -1 ? undefined : head.rawHeaders[index + 1];
}

function pathOf(target: string): string {
	const query = target.indexOf('?');
	return query === -1 ? target : target.slice(0, query);
}

/**
 * Makes the product's own interface: completions in the usual shapes, keys as bearer tokens, any other call for plain services.
 * Routes are found by host and path as on every interface.
 *
 * @param options - What requests may leave open.
 * @returns The wire form.
 */
export function createCompletionProtocol(options: CompletionProtocolOptions): ClientProtocol {
	return {
		decodeHead(head) {
			const host = valueOf(head, 'host');
			if (host === undefined) {
				return Result.err({status: 400, message: 'the header Host is missing'});
			}

			if (valueOf(head, 'transfer-encoding') !== undefined && valueOf(head, 'content-length') !== undefined) {
				return Result.err({status: 400, message: 'a request has either a length or chunks'});
			}

			const request: ClientRequest = {
				id: valueOf(head, 'x-request-id') ?? options.createRequestId(),
				host,
				method: head.method,
				target: head.target,
				credential: /^Bearer +(?<key>\S+)\s*$/iv.exec(valueOf(head, 'authorization') ?? '')?.groups?.key,
				generation: undefined,
				deadline: undefined,
				lastEvent: valueOf(head, 'last-event-id'),
				headers: filterHeaders(head.rawHeaders, passedOn),
				describesItself: false,
			};
			return Result.ok(request);
		},

		decodeBody(request, body) {
			if (!completionPath.test(pathOf(request.target))) {
				return Result.ok(request);
			}

			return parseCompletionBody(body).map(completion => {
				const text = extractPromptText(completion);
				return {
					...request,
					generation: {
						model: completion.model,
						parts: splitPrompt(text),
						promptTokens: estimateTokenCount(text),
						outputTokens: completion.max_completion_tokens ?? completion.max_tokens ?? options.defaultOutputTokens,
						expectedTokens: undefined,
					},
				};
			});
		},

		responseHeaders(request, headers) {
			return [...filterHeaders(headers, passedBack), 'X-Request-Id', request.id];
		},

		errorResponse({id, status, message, retryAfter}) {
			const run = notRunStatuses.has(status) ? 'not-run' : 'unknown';
			return {
				headers: [...idHeader(id), ...retryHeader(retryAfter)],
				body: `${JSON.stringify({
					error: {
						type: 'lacewingpoint_error', code: status, message, run, retry_after_ms: retryAfter,
					},
				})}\n`,
			};
		},
	};
}

function idHeader(id: string | undefined): HeaderList {
	return id === undefined ? [] : ['X-Request-Id', id];
}

// The usual clients read whole seconds only.
function retryHeader(retryAfter: Milliseconds | undefined): HeaderList {
	return retryAfter === undefined ? [] : ['Retry-After', String(Math.max(Math.ceil(retryAfter / millisecondsPerSecond), 1))];
}
