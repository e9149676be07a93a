import {createHash} from 'node:crypto';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type CallEnd, InProcessSystem, testSecrets} from '../src/index.js';

const test = suite('Rate and burst over all hosts');
const system = new InProcessSystem({hosts: 3, engines: 2, services: 0});
const secret = 'secret-of-the-small-one';
const tokensPerSecond = 2000;
const burstTokens = 4000;
const charged = 401;

test.before(async () => {
	await system.start();
	await system.submit([
		{kind: 'workspace', name: 'small', state: {tokensPerSecond, burstTokens}},
		{kind: 'key', name: 'key-small', state: {sha256: createHash('sha256').update(secret).digest('hex'), workspace: 'small'}},
	]);
});

test.after(async () => system.dispose());

async function ask(host: number, key: string): Promise<CallEnd> {
	return system.caller.call(system.address(host % 3), {path: '/v1/completions', key, body: {model: 'general', prompt: 'x', max_tokens: charged - 1}});
}

test('a workspace that sends far over its rate to all hosts gets no more than rate and burst; the rest is truthfully not run', async () => {
	const startedAt = performance.now();
	const ends = await Promise.all(Array.from({length: 120}, async (_, index) => ask(index, secret)));
	const elapsed = (performance.now() - startedAt) / 1000;
	const granted = ends.filter(end => end.status === 200);
	const refused = ends.filter(end => end.status !== 200);
	assert.ok(granted.length > 0 && refused.length > 0);
	assert.ok(granted.length * charged <= burstTokens + (tokensPerSecond * elapsed), `${granted.length} were granted in ${elapsed} s`);
	assert.ok(refused.every(end => end.error?.code === 'rate-exceeded' && end.error.run === 'not-run'), JSON.stringify(refused[0]));
	const runs = system.engines.map(engine => engine.runs);
	assert.is(runs[0]! + runs[1]!, granted.length);
});

test('another workspace is served meanwhile, and one host alone can spend what lies with the others', async () => {
	const flood = Promise.all(Array.from({length: 60}, async (_, index) => ask(index, secret)));
	const modest = await ask(0, testSecrets.alpha);
	assert.is(modest.status, 200);
	await flood;
	// More than one host's third of the burst, at one host.
	const end = await system.caller.call(system.address(1), {path: '/v1/completions', key: testSecrets.beta, body: {model: 'general', prompt: 'x'.repeat(3_200_000), max_tokens: 1}});
	assert.is(end.status, 200, end.text);
});

test('a request larger than the burst is told so at once', async () => {
	const end = await system.caller.call(system.address(), {path: '/v1/completions', key: secret, body: {model: 'general', prompt: 'x', max_tokens: burstTokens + 1}});
	assert.equal([end.error?.code, end.error?.run], ['request-exceeds-burst', 'not-run']);
});

test.run();
