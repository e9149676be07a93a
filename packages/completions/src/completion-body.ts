import type {RequestDecodeError} from '@lacewingpoint/host';
import {Result} from 'true-myth';
import * as v from 'valibot';
import {hasValuesWithin} from './json-size.js';

const completionBodySchema = v.pipe(
	v.looseObject({
		model: v.string(),
		messages: v.optional(v.pipe(v.array(v.looseObject({role: v.string(), content: v.unknown()})), v.minLength(1))),
		prompt: v.optional(v.string()),
		max_tokens: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
		max_completion_tokens: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
		n: v.optional(v.literal(1)),
		stream: v.optional(v.nullable(v.boolean())),
	}),
	v.check(body => body.messages !== undefined || body.prompt !== undefined, 'messages or prompt'),
);

/** The validated body of a completion request. Fields outside the schema are forwarded unchanged. */
export type CompletionBody = Readonly<v.InferOutput<typeof completionBodySchema>>;

/**
 * Parses and validates the body of a completion request.
 *
 * @param bytes - The body, JSON encoded as UTF-8.
 * @param maximumValues - Limit on the number of values in the body, names of fields included.
 * @returns The validated body, or an error: with status 413, the body has too many values; with status 400, it is not JSON encoded as UTF-8, or
 * the path of the first invalid field.
 */
export function parseCompletionBody(bytes: Uint8Array, maximumValues: number): Result<CompletionBody, RequestDecodeError> {
	if (!hasValuesWithin(bytes, maximumValues)) {
		return Result.err({status: 413, message: `the body has more than ${maximumValues} values`});
	}

	let json: unknown;
	try {
		json = JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(bytes));
	} catch {
		return Result.err({status: 400, message: 'the body is not JSON encoded as UTF-8'});
	}

	const result = v.safeParse(completionBodySchema, json);
	if (result.success) {
		return Result.ok(result.output);
	}

	const [issue] = result.issues;
	return Result.err({status: 400, message: `${v.getDotPath(issue) ?? 'body'}: expected ${issue.expected ?? issue.message}, found ${issue.received}`});
}

/**
 * Extracts the prompt of a completion request, with its messages in the order in which a model server processes them.
 *
 * @param body - The request body.
 * @returns The prompt as a single string: `prompt` if present, otherwise one `role: content` entry for each message.
 */
export function extractPromptText(body: Pick<CompletionBody, 'messages' | 'prompt'>): string {
	if (body.prompt !== undefined) {
		return body.prompt;
	}

	return (body.messages ?? []).map(({role, content}) => `${role}: ${typeof content === 'string' ? content : JSON.stringify(content)}\n`).join('');
}
