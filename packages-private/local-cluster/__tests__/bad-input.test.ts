import {connect} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {InProcessSystem, testSecrets, waitFor} from '../src/index.js';

const test = suite('Bad input');
const system = new InProcessSystem({
	hosts: 1, engines: 1, services: 0, settings: {limits: {bodyBytes: 10_000, headerBytes: 8192}},
});

test.before(async () => system.start());
test.after(async () => system.dispose());

type Refused = {readonly error: {readonly code: string; readonly run: string}};

async function post(body: string, headers: Readonly<Record<string, string>> = {}) {
	const response = await request(`http://${system.address()}/v1/completions`, {method: 'POST', body, headers: {authorization: `Bearer ${testSecrets.alpha}`, ...headers}});
	return {status: response.statusCode, text: await response.body.text()};
}

const good = JSON.stringify({model: 'general', prompt: 'x', max_tokens: 2});

test('malformed, incomplete and oversize bodies get a typed refusal and nothing runs', async () => {
	const bodies = [
		'{',
		'[]',
		'null',
		'{"model": "general"}',
		'{"model": 7, "prompt": "x"}',
		'{"model": "general", "prompt": "x", "max_tokens": -1}',
		'{"model": "general", "messages": []}',
		`{"model": "general", "prompt": "${'x'.repeat(20_000)}"}`,
	];
	const before = system.engines[0]!.runs;
	for (const body of bodies) {
		const {status, text} = await post(body);
		const {error} = JSON.parse(text) as Refused;
		assert.ok(status === 400 || status === 413, body.slice(0, 60));
		assert.is(error.run, 'not-run');
	}

	assert.is(system.engines[0]!.runs, before);
});

test('headers over the limit are refused', async () => {
	const {status} = await post(good, {'x-long': 'x'.repeat(20_000)});
	assert.is(status, 431);
});

test('bytes that are no HTTP, a caller that closes half-way and one that sends half a body leave the process up', async () => {
	const [ip, port] = system.address().split(':');
	const texts = ['rubbish\r\n\r\n', 'POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{"model"', 'GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n'];
	for (const text of texts) {
		await new Promise<void>(resolve => {
			const socket = connect(Number(port), ip);
			socket.on('error', () => undefined);
			socket.end(text);
			socket.on('close', () => {
				resolve();
			});
			socket.resume();
		});
	}

	assert.is((await post(good)).status, 200);
});

test('a platform that answers rubbish counts as lost, and its return is noticed', async () => {
	system.platform.faults = {rubbish: true};
	await waitFor('loss of the store', () => system.logLines.some(line => line.includes('store-lost')));
	system.platform.faults = {};
	await waitFor('the store again', () => (system.logLines.findLast(line => line.includes('store-')) ?? '').includes('store-reached'));
	assert.is((await post(good)).status, 200);
});

test.run();
