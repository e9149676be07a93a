import {answerText} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {
	type CallEnd, InProcessSystem, testSecrets, waitFor,
} from '../src/index.js';

const test = suite('Whole streams, own answers');
const system = new InProcessSystem({hosts: 1, engines: 3, services: 0});
const tokens = 30;

test.before(async () => system.start());
test.after(async () => system.dispose());
test.before.each(() => {
	for (const engine of system.engines) {
		engine.faults = {};
	}
});

async function ask(content: string, options: {readonly stream?: boolean; readonly model?: string; readonly key?: string | undefined} = {}): Promise<CallEnd> {
	return system.caller.call(system.address(), {
		path: '/v1/chat/completions',
		key: 'key' in options ? options.key : testSecrets.alpha,
		body: {
			model: options.model ?? 'general', messages: [{role: 'user', content}], max_tokens: tokens, stream: options.stream ?? true,
		},
	});
}

const expected = (content: string) => answerText(`user: ${content}\n`, tokens);

test('a stream arrives complete, in order and with its terminal marker', async () => {
	const end = await ask('a datasheet');
	assert.is(end.text, expected('a datasheet'));
	assert.ok(end.isComplete);
});

test('a hundred crossed calls each get their own answer', async () => {
	const contents = Array.from({length: 100}, (_, index) => `case ${index}`);
	const ends = await Promise.all(contents.map(async (content, index) => ask(content, {stream: index % 2 === 0})));
	for (const [index, content] of contents.entries()) {
		assert.is(ends[index]!.text, expected(content));
	}
});

test('a stream that its engine cuts off is resumed elsewhere from the tokens delivered', async () => {
	for (const engine of system.engines.slice(0, 2)) {
		engine.faults = {cutAfter: 7};
	}

	const ends = await Promise.all(Array.from({length: 6}, async (_, index) => ask(`cut ${index}`)));
	for (const [index, end] of ends.entries()) {
		assert.is(end.text, expected(`cut ${index}`));
		assert.ok(end.isComplete);
	}
});

test('a stream that no engine finishes ends in an explicit error, never with the terminal marker', async () => {
	for (const engine of system.engines) {
		engine.faults = {cutAfter: 0};
	}

	const end = await ask('hopeless');
	assert.not(end.isComplete);
	assert.is(end.error?.run, 'unknown');
});

test('an engine that repeats or skips a number is not believed; the rest comes from another', async () => {
	system.engines[0]!.faults = {scrambleAfter: 4};
	system.engines[1]!.faults = {scrambleAfter: 9};
	const ends = await Promise.all(Array.from({length: 6}, async (_, index) => ask(`scrambled ${index}`)));
	for (const [index, end] of ends.entries()) {
		assert.is(end.text, expected(`scrambled ${index}`));
	}
});

test('an answer that is not a stream is repeated whole elsewhere when its engine breaks off', async () => {
	system.engines[0]!.faults = {cutAfter: 0};
	const ends = await Promise.all(Array.from({length: 4}, async (_, index) => ask(`whole ${index}`, {stream: false})));
	for (const [index, end] of ends.entries()) {
		assert.is(end.text, expected(`whole ${index}`));
	}
});

test('an engine that declines has not run the request: when all decline, the refusal says so', async () => {
	for (const engine of system.engines) {
		engine.faults = {decline: true};
	}

	const before = system.engines.map(engine => engine.runs);
	const end = await ask('declined');
	assert.is(end.error?.run, 'not-run');
	assert.equal(system.engines.map(engine => engine.runs), before);
});

test('a caller that goes away ends its work at the engine', async () => {
	const abort = new AbortController();
	const running = async () => {
		const states = await Promise.all(system.engines.map(async engine => {
			const response = await request(`http://${engine.server.address}/v1/state`);
			return await response.body.json() as {readonly runningRequests: number};
		}));
		return states.filter(state => state.runningRequests > 0).length;
	};

	// Far more tokens than the engine could send while the test waits: only the caller's leaving ends it.
	const call = system.caller.call(system.address(), {
		path: '/v1/completions', key: testSecrets.alpha, signal: abort.signal, body: {
			model: 'general', prompt: 'left', max_tokens: 1_000_000, stream: true,
		},
	});
	await waitFor('the stream', async () => await running() === 1);
	abort.abort();
	await call;
	await waitFor('its end at the engine', async () => await running() === 0);
});

test.run();
