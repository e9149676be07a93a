import {createHash} from 'node:crypto';
import {answerText} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {
	type CallEnd, Caller, LocalCluster, waitFor,
} from '../src/index.js';

const test = suite('Real processes: kills, freezes, restarts, stops');
const secret = 'a-secret-of-the-test';
const caller = new Caller();
let cluster: LocalCluster;

test.before.each(async () => {
	cluster = new LocalCluster({
		name: 'test', hosts: 3, controllers: 1, engines: 3, services: 0, engineParameters: ['--token-interval', '10'], settings: {engines: {stateIntervalMilliseconds: 200}},
	});
	await cluster.startBackends();
	await cluster.startHosts();
	const submitted = await cluster.submit({
		number: 1, author: 'test', objects: [
			{kind: 'workspace', name: 'w', state: {tokensPerSecond: 1_000_000, burstTokens: 1_000_000}},
			{kind: 'key', name: 'k', state: {sha256: createHash('sha256').update(secret).digest('hex'), workspace: 'w'}},
			{kind: 'model', name: 'general', state: {version: 'v1', loadsAtOnce: 1}},
			{kind: 'route', name: 'general', state: {type: 'model', model: 'general'}},
			...cluster.engines.map(engine => ({
				kind: 'backend', name: engine.name, state: {
					type: 'engine', address: engine.address, failureDomain: engine.failureDomain, model: 'general', checksFencing: true,
				},
			})),
		],
	});
	assert.is(submitted.code, 0, submitted.output + submitted.errors);
});

test.after.each(async () => cluster.dispose());
test.after(async () => caller.dispose());

const answerTokens = 40;

async function ask(prompt: string, host = 0): Promise<CallEnd> {
	return caller.call(cluster.hosts[host]!.callersAddress, {
		path: '/v1/completions', key: secret, body: {
			model: 'general', prompt, max_tokens: answerTokens, stream: true,
		},
	});
}

async function readiness(address: string): Promise<number | undefined> {
	try {
		const response = await request(`http://${address}/readyz`);
		return response.statusCode;
	} catch {
		return undefined;
	}
}

async function addresses(host: number): Promise<string[]> {
	const answer = await caller.call(cluster.hosts[host]!.callersAddress, {path: '/v1/entry-hosts', method: 'GET'});
	return (JSON.parse(answer.text) as {readonly hosts: ReadonlyArray<{readonly address: string}>}).hosts.map(entry => entry.address);
}

test('a planned stop leaves the address answers, cuts off no request and exits with 0', async () => {
	const {callersAddress, id} = cluster.hosts[0]!;
	const streams = Array.from({length: 5}, async (_, index) => ask(`stream ${index}`));
	const child = cluster.processes.get(id)!;
	child.signal('SIGTERM');
	await waitFor('the addresses', async () => !(await addresses(1)).includes(callersAddress));
	// Callers that keep the old answer a while are still served.
	const late = await ask('late');
	assert.ok(late.isComplete);
	for (const [index, end] of (await Promise.all(streams)).entries()) {
		assert.equal([end.text, end.isComplete], [answerText(`stream ${index}`, answerTokens), true]);
	}

	assert.is(await child.ended(), 0);
});

test('all routers killed and restarted with the store up serve again; with the store down none does until it is back', async () => {
	const ids = cluster.hosts.map(host => host.id);
	const killAll = async () => {
		await Promise.all(ids.map(async id => cluster.processes.get(id)!.kill()));
		for (const id of ids) {
			cluster.startRouter(id);
		}
	};

	await killAll();
	await cluster.waitForReady(ids);
	const end = await ask('after the herd');
	assert.ok(end.isComplete);
	await cluster.setFaults(cluster.platformAddress, {down: true});
	await killAll();
	await waitFor('the operators\' ports', async () => {
		const answers = await Promise.all(cluster.hosts.map(async host => readiness(host.operatorsAddress)));
		assert.not(answers.includes(200), 'a router that knows no key called itself ready');
		return answers.every(status => status === 503);
	});
	const refused = await ask('nobody knows the keys');
	assert.is(refused.status, 0);
	await cluster.setFaults(cluster.platformAddress, {});
	await cluster.waitForReady(ids);
	const again = await ask('and again');
	assert.ok(again.isComplete);
});

test('one router restarted while the store is down learns all it needs from the others', async () => {
	await cluster.setFaults(cluster.platformAddress, {down: true});
	await waitFor('contact by quorum', () => cluster.hosts.every(host => cluster.processes.get(host.id)!.errors.includes('"contact":"quorum"')));
	await cluster.processes.get('host-1')!.kill();
	cluster.startRouter('host-1');
	// Of three hosts two others are the majority that a restarted one needs.
	await cluster.waitForReady(['host-1']);
	const end = await ask('served without the store');
	assert.ok(end.isComplete);
});

test('a router frozen past the bound wakes up without a withdrawn key', async () => {
	const frozen = cluster.processes.get('host-1')!;
	frozen.signal('SIGSTOP');
	const submitted = await cluster.submit({number: 2, author: 'test', objects: [{kind: 'key', name: 'k', state: null}]});
	// Accepted by the other two; the frozen one is told of by name.
	assert.is(submitted.code, 5, submitted.output + submitted.errors);
	assert.match(submitted.output, 'host-1');
	const pending = ask('sent while it was frozen');
	frozen.signal('SIGCONT');
	const end = await pending;
	assert.is(end.error?.run, 'not-run');
	const counts = await Promise.all(cluster.engines.map(async engine => {
		const response = await request(`http://${engine.address}/seen`);
		const {runs} = await response.body.json() as {readonly runs: number};
		return runs;
	}));
	assert.equal(counts, [0, 0, 0]);
});

test('an engine frozen in the middle of streams is given up and its streams end elsewhere', async () => {
	const prompts = Array.from({length: 6}, (_, index) => `frozen ${index} `);
	const streams = prompts.map(async prompt => ask(prompt));
	await waitFor('the streams', async () => {
		const response = await request(`http://${cluster.hosts[0]!.operatorsAddress}/metrics`);
		const text = await response.body.text();
		return /^lacewingpoint_in_flight 6$/mv.test(text);
	});
	cluster.processes.get('engine-1')!.signal('SIGSTOP');
	for (const [index, end] of (await Promise.all(streams)).entries()) {
		assert.equal([end.text, end.isComplete], [answerText(prompts[index]!, answerTokens), true]);
	}
});

test('a change of weights rolls through all engines while requests are served', async () => {
	let isDone = false;
	const ends: CallEnd[] = [];
	const traffic = (async () => {
		for (let index = 0; !isDone; index++) {
			ends.push(await ask(`during the change ${index}`, index % 3));
		}
	})();
	const submitted = await cluster.submit({number: 2, author: 'test', objects: [{kind: 'model', name: 'general', state: {version: 'v2', loadsAtOnce: 1}}]});
	assert.is(submitted.code, 0, submitted.output + submitted.errors);
	await waitFor('the new weights', async () => {
		const states = await Promise.all(cluster.engines.map(async engine => {
			const response = await request(`http://${engine.address}/v1/state`);
			const {weightsVersion} = await response.body.json() as {readonly weightsVersion: string};
			return weightsVersion;
		}));
		return states.every(version => version === 'v2');
	});
	isDone = true;
	await traffic;
	assert.ok(ends.length > 0);
	for (const [index, end] of ends.entries()) {
		assert.equal([end.text, end.isComplete], [answerText(`during the change ${index}`, answerTokens), true]);
	}
});

test.run();
