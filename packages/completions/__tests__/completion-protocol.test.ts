import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createCompletionProtocol} from '../src/index.js';

const test = suite('completion protocol');

const protocol = createCompletionProtocol({defaultOutputTokens: 512, maximumValues: 1000, createRequestId: () => 'made'});

function decode(target: string, rawHeaders: readonly string[], body?: unknown) {
	const bodyText = typeof body === 'string' ? body : JSON.stringify(body ?? '');
	return protocol.decodeHead({method: 'POST', target, rawHeaders}).andThen(request => protocol.decodeBody(request, Buffer.from(bodyText)));
}

test('a chat completion is decoded into its model, prompt tokens and output limit', () => {
	const decoded = decode('/checks/v1/chat/completions?x=1', ['Host', 'h.example', 'Authorization', 'Bearer secret'], {
		model: 'm', messages: [{role: 'system', content: 'Check.'}, {role: 'user', content: 'Part 1?'}], max_tokens: 7,
	});
	assert.ok(decoded.isOk);
	const request = decoded.value;
	assert.is(request.id, 'made');
	assert.is(request.credential, 'secret');
	assert.is(request.target, '/checks/v1/chat/completions?x=1');
	assert.is(request.generation?.model, 'm');
	assert.is(request.generation?.outputTokens, 7);
	assert.is(request.generation?.promptTokens, Math.ceil('system: Check.\nuser: Part 1?\n'.length / 4));
	assert.not.ok(request.hasBackendHeaders);
});

test('a completion without an output limit uses the default from the options', () => {
	const decoded = decode('/v1/completions', ['Host', 'h'], {model: 'm', prompt: 'hello'});
	assert.ok(decoded.isOk && decoded.value.generation?.outputTokens === 512);
});

test('a request with another path is not a generation, whatever its body', () => {
	const decoded = decode('/bookings', ['Host', 'h'], 'reels=3');
	assert.ok(decoded.isOk && decoded.value.generation === undefined);
});

test('the API key and headers reserved for the router are not forwarded', () => {
	const decoded = decode('/bookings', ['Host', 'h', 'Authorization', 'Bearer secret', 'X-Workspace', 'other', 'X-Salt', 's', 'X-Request-Id', 'r-1', 'Content-Type', 'text/plain', 'Idempotency-Key', 'k']);
	assert.ok(decoded.isOk);
	assert.equal(decoded.value.headers, ['Content-Type', 'text/plain', 'Idempotency-Key', 'k']);
	assert.is(decoded.value.id, 'r-1');
});

test('an invalid completion body is refused with the path of the invalid field', () => {
	const errorMessageFor = (body: unknown) => {
		const decoded = decode('/v1/completions', ['Host', 'h'], body);
		assert.ok(decoded.isErr);
		assert.is(decoded.error.status, 400);
		return decoded.error.message;
	};

	assert.match(errorMessageFor('{"model"'), /not JSON/v);
	assert.match(errorMessageFor({prompt: 'x'}), /^model: /v);
	assert.match(errorMessageFor({model: 'm'}), /messages or prompt/v);
	assert.match(errorMessageFor({model: 'm', prompt: 'x', max_tokens: 0}), /^max_tokens: /v);
	assert.match(errorMessageFor({model: 'm', prompt: 'x', n: 2}), /^n: /v);
	assert.match(errorMessageFor({model: 'm', messages: [{content: 'x'}]}), /^messages\.0\.role: /v);
});

test('a request head without Host, or with both framing headers, is refused', () => {
	assert.ok(decode('/', []).isErr);
	assert.ok(decode('/', ['Host', 'h', 'Content-Length', '3', 'Transfer-Encoding', 'chunked']).isErr);
});

test('refusals state whether the request was executed and when to retry, in whole seconds', () => {
	const createRefusal = (status: number, retryAfter?: number) => protocol.errorResponse({
		id: 'r', status, message: 'why', retryAfter,
	});
	assert.equal(createRefusal(429, 420).headers, ['X-Request-Id', 'r', 'Retry-After', '1']);
	assert.equal(JSON.parse(createRefusal(429, 420).body), {
		error: {
			type: 'lacewingpoint_error', code: 429, message: 'why', run: 'not-run', retry_after_ms: 420,
		},
	});
	for (const status of [502, 504]) {
		assert.match(createRefusal(status).body, '"run":"unknown"');
	}
});

test('responses keep only the headers meant for clients and carry the request id', () => {
	const decoded = decode('/bookings', ['Host', 'h']);
	assert.ok(decoded.isOk);
	assert.equal(protocol.responseHeaders(decoded.value, ['Content-Type', 'text/plain', 'X-Stamp', 's', 'X-Attempt', 'made', 'Content-Length', '3']), ['Content-Type', 'text/plain', 'Content-Length', '3', 'X-Request-Id', 'made']);
});

test.run();
