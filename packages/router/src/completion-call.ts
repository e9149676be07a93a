import {countTokens, promptText} from '@lacewingpoint/routing';
import {type Tokens, hashText} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import * as v from 'valibot';
import {type Refusal, notRun} from './router-error.js';

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

/** A checked completion request. */
export type CompletionCall = {
	readonly path: '/v1/chat/completions' | '/v1/completions';
	readonly body: Readonly<v.InferOutput<typeof bodySchema>>;
	readonly route: string;
	readonly streams: boolean;
	readonly prompt: string;
	readonly promptTokens: Tokens;
	/** The longest answer that the request allows. */
	readonly answerTokens: Tokens;
};

export type CompletionLimits = {readonly answerTokens: Tokens};

/**
 * Reads a completion request.
 *
 * @param path - The path that was called.
 * @param bytes - The body.
 * @param limits - The longest answer when the request names none.
 * @returns The call, or a refusal that names the fault.
 */
export function parseCompletion(path: CompletionCall['path'], bytes: Uint8Array, limits: CompletionLimits): Result<CompletionCall, Refusal> {
	const parsed = parseObject(bytes);
	if (parsed.isErr) {
		return Result.err(parsed.error);
	}

	const checked = v.safeParse(bodySchema, parsed.value);
	if (!checked.success) {
		const [issue] = checked.issues;
		const place = issue.path?.map(item => String(item.key)).join('.') ?? 'body';
		return Result.err(notRun('malformed-request', `${place}: expected ${issue.expected ?? issue.message}, found ${issue.received}`));
	}

	const body = checked.output;
	const prompt = promptText(body);
	return Result.ok({
		path,
		body,
		route: body.model,
		streams: body.stream === true,
		prompt,
		promptTokens: countTokens(prompt),
		answerTokens: body.max_completion_tokens ?? body.max_tokens ?? limits.answerTokens,
	});
}

function parseObject(bytes: Uint8Array): Result<unknown, Refusal> {
	try {
		return Result.ok(JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(bytes)) as unknown);
	} catch {
		return Result.err(notRun('malformed-request', 'the body is not JSON in UTF-8'));
	}
}

/**
 * Tells a request apart by its content, so that a resend by the same workspace is recognized.
 *
 * @param workspace - The workspace.
 * @param call - The call.
 * @returns The fingerprint.
 */
export function fingerprintOf(workspace: string, call: CompletionCall): number {
	return hashText(JSON.stringify([workspace, call.route, call.prompt]));
}
