import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Caller, LocalCluster} from '../src/index.js';

const test = suite('The operators\' command on a running system');
const cluster = new LocalCluster({
	name: 'test', hosts: 3, controllers: 0, engines: 1, services: 0,
});
const caller = new Caller();

test.before(async () => {
	await cluster.startBackends();
	await cluster.startHosts();
});

test.after(async () => {
	await caller.dispose();
	await cluster.dispose();
});

const engineName = 'engine-1';

async function complete(key: string): Promise<number> {
	const end = await caller.call(cluster.hosts[1]!.callersAddress, {path: '/v1/completions', key, body: {model: 'general', prompt: 'x', max_tokens: 2}});
	return end.status;
}

test('a first ticket, a key issued, used and withdrawn, a drain, and the trail of it all', async () => {
	const [engine] = cluster.engines;
	const first = await cluster.submit({
		number: 1, author: 'ana', objects: [
			{kind: 'workspace', name: 'w', state: {tokensPerSecond: 100_000, burstTokens: 100_000}},
			{kind: 'model', name: 'general', state: {version: 'v1', loadsAtOnce: 1}},
			{kind: 'route', name: 'general', state: {type: 'model', model: 'general'}},
			{
				kind: 'backend', name: engineName, state: {
					type: 'engine', address: engine!.address, failureDomain: 'domain-a', model: 'general',
				},
			},
		],
	});
	assert.is(first.code, 0, first.output + first.errors);

	const issued = await cluster.control('key', 'issue', 'w', '--json', '--author', 'ana');
	assert.is(issued.code, 0, issued.output + issued.errors);
	const {key, secret} = JSON.parse(issued.output.trim().split('\n').at(-1)!) as {readonly key: string; readonly secret: string};
	assert.is(await complete(secret), 200);

	const shown = await cluster.control('ticket', 'show', '--json');
	assert.not(shown.output.includes(secret), 'only the hash is kept');
	assert.match(shown.output, key);

	const withdrawn = await cluster.control('key', 'withdraw', key);
	assert.is(withdrawn.code, 0, withdrawn.errors);
	assert.is(await complete(secret), 401);

	const drained = await cluster.control('drain', engineName);
	assert.is(drained.code, 0, drained.errors);
	const ticket = await cluster.control('ticket', 'show', '4');
	assert.match(ticket.output, '"drained": true');

	const status = await cluster.control('status', '--json');
	const statuses = JSON.parse(status.output) as ReadonlyArray<{readonly status: {readonly highestTicket: number; readonly digest: number}}>;
	assert.equal(statuses.map(entry => entry.status.highestTicket), [4, 4, 4]);
	assert.is(new Set(statuses.map(entry => entry.status.digest)).size, 1);

	const audit = await cluster.control('audit');
	for (const number of [1, 2, 3, 4]) {
		assert.match(audit.output, `ticket ${number} by`);
	}
});

test('unknown commands, files, workspaces and backend servers are refused with exit code 2', async () => {
	for (const words of [['nonsense'], ['ticket', 'submit', '/no/such/file'], ['key', 'issue', 'nobody'], ['drain', 'nothing'], ['ticket', 'show', '99']]) {
		const {code, errors} = await cluster.control(...words);
		assert.is(code, 2, words.join(' '));
		assert.ok(errors.length > 0);
	}
});

test.run();
