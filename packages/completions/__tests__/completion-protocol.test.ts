import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createCompletionProtocol} from '../src/index.js';

const test = suite('completions on the wire');

const protocol = createCompletionProtocol({defaultOutputTokens: 512, createRequestId: () => 'made'});

function decode(target: string, rawHeaders: readonly string[], body?: unknown) {
	const text = typeof body === 'string' ? body : JSON.stringify(body ?? '');
	return protocol.decodeHead({method: 'POST', target, rawHeaders}).andThen(request => protocol.decodeBody(request, Buffer.from(text)));
}

test('a chat completion tells its model, its prompt parts and the longest answer', () => {
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
	assert.not.ok(request.describesItself);
});

test('a request that names no longest answer gets that of the settings', () => {
	const decoded = decode('/v1/completions', ['Host', 'h'], {model: 'm', prompt: 'hello'});
	assert.ok(decoded.isOk && decoded.value.generation?.outputTokens === 512);
});

test('any other call is no generation, whatever its body', () => {
	const decoded = decode('/bookings', ['Host', 'h'], 'reels=3');
	assert.ok(decoded.isOk && decoded.value.generation === undefined);
});

test('neither the key nor what only the system may say is handed on', () => {
	const decoded = decode('/bookings', ['Host', 'h', 'Authorization', 'Bearer secret', 'X-Workspace', 'other', 'X-Salt', 's', 'X-Request-Id', 'r-1', 'Content-Type', 'text/plain', 'Idempotency-Key', 'k']);
	assert.ok(decoded.isOk);
	assert.equal(decoded.value.headers, ['Content-Type', 'text/plain', 'Idempotency-Key', 'k']);
	assert.is(decoded.value.id, 'r-1');
});

test('a body that is no completion is refused with the place of its fault', () => {
	const faultOf = (body: unknown) => {
		const decoded = decode('/v1/completions', ['Host', 'h'], body);
		assert.ok(decoded.isErr);
		assert.is(decoded.error.status, 400);
		return decoded.error.message;
	};

	assert.match(faultOf('{"model"'), /not JSON/v);
	assert.match(faultOf({prompt: 'x'}), /^model: /v);
	assert.match(faultOf({model: 'm'}), /messages or prompt/v);
	assert.match(faultOf({model: 'm', prompt: 'x', max_tokens: 0}), /^max_tokens: /v);
	assert.match(faultOf({model: 'm', prompt: 'x', n: 2}), /^n: /v);
	assert.match(faultOf({model: 'm', messages: [{content: 'x'}]}), /^messages\.0\.role: /v);
});

test('a head without a host, or with two framings, is refused', () => {
	assert.ok(decode('/', []).isErr);
	assert.ok(decode('/', ['Host', 'h', 'Content-Length', '3', 'Transfer-Encoding', 'chunked']).isErr);
});

test('refusals say whether the request ran and when to come back, in whole seconds', () => {
	const refusalOf = (status: number, retryAfter?: number) => protocol.errorResponse({
		id: 'r', status, message: 'why', retryAfter,
	});
	assert.equal(refusalOf(429, 420).headers, ['X-Request-Id', 'r', 'Retry-After', '1']);
	assert.equal(JSON.parse(refusalOf(429, 420).body), {
		error: {
			type: 'lacewingpoint_error', code: 429, message: 'why', run: 'not-run', retry_after_ms: 420,
		},
	});
	for (const status of [502, 504]) {
		assert.match(refusalOf(status).body, '"run":"unknown"');
	}
});

test('answers keep what concerns the client and bear the request\'s id', () => {
	const decoded = decode('/bookings', ['Host', 'h']);
	assert.ok(decoded.isOk);
	assert.equal(protocol.responseHeaders(decoded.value, ['Content-Type', 'text/plain', 'X-Stamp', 's', 'X-Attempt', 'made', 'Content-Length', '3']), ['Content-Type', 'text/plain', 'Content-Length', '3', 'X-Request-Id', 'made']);
});

test.run();
