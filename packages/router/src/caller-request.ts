import type {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {type Refusal, notRun} from './router-error.js';

/**
 * Reads a caller's body up to a limit.
 *
 * @param request - The caller's request.
 * @param limit - The most bytes.
 * @returns The body, or a refusal.
 */
export async function readBody(request: IncomingMessage, limit: number): Promise<Result<Uint8Array, Refusal>> {
	if (Number(request.headers['content-length'] ?? 0) > limit) {
		return Result.err(notRun('body-too-large', `the body is over ${limit} bytes`));
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of request) {
			const bytes = chunk as Uint8Array;
			size += bytes.length;
			if (size > limit) {
				return Result.err(notRun('body-too-large', `the body is over ${limit} bytes`));
			}

			chunks.push(bytes);
		}
	} catch {
		return Result.err(notRun('malformed-request', 'the body broke off'));
	}

	return Result.ok(Buffer.concat(chunks));
}

/**
 * Reads the bearer key of a request.
 *
 * @param request - The caller's request.
 * @returns The secret, or nothing.
 */
export function bearerKey(request: IncomingMessage): string | undefined {
	return /^Bearer +(\S+)\s*$/iv.exec(request.headers.authorization ?? '')?.[1];
}

/**
 * Looks for the caller's key where it would be passed on to a backend server.
 *
 * @param secret - The key.
 * @param texts - What goes on: path, query, headers, body.
 * @returns True when the key stands in one of them, plainly or percent-encoded.
 */
export function isKeyIn(secret: string | undefined, texts: readonly string[]): boolean {
	return secret !== undefined && texts.some(text => text.includes(secret) || decodeLoosely(text).includes(secret));
}

function decodeLoosely(text: string): string {
	return text.replaceAll(/%[\da-f]{2}/giv, code => String.fromCodePoint(Number.parseInt(code.slice(1), 16)));
}
