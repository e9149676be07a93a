import type {RequestDecodeError} from '@lacewingpoint/host';
import {Result} from 'true-myth';
import * as v from 'valibot';

const bodySchema = v.pipe(
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

/** A checked completion request; fields that it does not name are handed on as they are. */
export type CompletionBody = Readonly<v.InferOutput<typeof bodySchema>>;

/**
 * Reads the body of a completion request.
 *
 * @param bytes - The body.
 * @returns The request, or the first fault with its place.
 */
export function parseCompletionBody(bytes: Uint8Array): Result<CompletionBody, RequestDecodeError> {
	let value: unknown;
	try {
		value = JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(bytes));
	} catch {
		return Result.err({status: 400, message: 'the body is not JSON in UTF-8'});
	}

	const checked = v.safeParse(bodySchema, value);
	if (checked.success) {
		return Result.ok(checked.output);
	}

	const [issue] = checked.issues;
	return Result.err({status: 400, message: `${v.getDotPath(issue) ?? 'body'}: expected ${issue.expected ?? issue.message}, found ${issue.received}`});
}

/**
 * Reads the prompt out of a completion request, in the order in which a model server reads it.
 *
 * @param body - The request.
 * @returns The prompt as one text.
 */
export function extractPromptText(body: Pick<CompletionBody, 'messages' | 'prompt'>): string {
	if (body.prompt !== undefined) {
		return body.prompt;
	}

	return (body.messages ?? []).map(({role, content}) => `${role}: ${typeof content === 'string' ? content : JSON.stringify(content)}\n`).join('');
}
