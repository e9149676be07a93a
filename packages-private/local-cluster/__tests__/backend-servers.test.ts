import {answerText, poisonMarker} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {
	type CallEnd, InProcessSystem, testSecrets, waitFor,
} from '../src/index.js';

const test = suite('Backend servers that leave, die and come back');
let system: InProcessSystem;

test.before.each(async () => {
	system = new InProcessSystem({hosts: 2, engines: 4, services: 0});
	await system.start();
});

test.after.each(async () => system.dispose());

async function ask(prompt: string, host = 0): Promise<CallEnd> {
	return system.caller.call(system.address(host), {
		path: '/v1/completions', key: testSecrets.alpha, body: {
			model: 'general', prompt, max_tokens: 8, stream: true,
		},
	});
}

const runs = () => system.engines.map(engine => engine.runs);

test('a drained server receives no new work, at any host', async () => {
	const {address} = system.engines[0]!.server;
	await system.submit([{
		kind: 'backend', name: 'engine-0', state: {
			type: 'engine', address, failureDomain: 'domain-0', model: 'general', drained: true,
		},
	}]);
	const [before] = runs();
	await Promise.all(Array.from({length: 20}, async (_, index) => ask(`drained ${index}`, index % 2)));
	assert.is(runs()[0], before);
});

test('a server that the host list calls leaving stays so, though the list forgets it again', async () => {
	const {address} = system.engines[1]!.server;
	const listHosts = async (hosts: unknown) => {
		await request(`http://${system.platform.server.address}/v1/hosts`, {method: 'PUT', body: JSON.stringify(hosts)});
	};

	await listHosts([{address, state: 'leaving'}]);
	await waitFor('the list to be read', async () => (await statuses()).every(status => status.find(server => server.id === 'engine-1')!.leaving));
	await listHosts([{address, state: 'live'}]);
	const [, before] = runs();
	await Promise.all(Array.from({length: 20}, async (_, index) => ask(`leaving ${index}`, index % 2)));
	assert.is(runs()[1], before);
});

test('a server that says itself that it is leaving receives no new work', async () => {
	system.engines[2]!.faults = {leaving: true};
	await waitFor('the state to be read', async () => (await statuses()).every(status => status.find(server => server.id === 'engine-2')!.leaving));
	const before = runs()[2];
	await Promise.all(Array.from({length: 20}, async (_, index) => ask(`going ${index}`, index % 2)));
	assert.is(runs()[2], before);
});

type ServerStatus = {readonly id: string; readonly leaving: boolean; readonly incarnation: string};

async function statuses(): Promise<ServerStatus[][]> {
	return Promise.all(system.deployment.hosts.map(async host => {
		const response = await request(`http://${host.operatorsAddress}/v1/status`);
		const status = await response.body.json() as {readonly servers: ServerStatus[]};
		return status.servers;
	}));
}

test('an engine that dies loses nothing, and one that comes back empty at its address is not believed to have its old blocks', async () => {
	const prompt = 'a shared opening '.repeat(200);
	const expected = answerText(prompt, 8);
	await ask(prompt);
	const index = system.engines.findIndex(engine => engine.runs > 0);
	const {address} = system.engines[index]!.server;
	const calls = Array.from({length: 10}, async () => ask(prompt));
	await system.engines[index]!.server.dispose();
	for (const end of await Promise.all(calls)) {
		assert.equal([end.text, end.isComplete], [expected, true]);
	}

	const old = await statuses();
	await system.restartEngine(index, address);
	await waitFor('the new incarnation', async () => {
		const now = await statuses();
		return now.every((servers, host) => servers[index]!.incarnation !== old[host]![index]!.incarnation);
	});
	const end = await ask(prompt);
	assert.is(end.text, expected);
});

test('a request that crashes engines is quarantined after two, also when it is sent again elsewhere', async () => {
	const poisonous = `${poisonMarker} please`;
	const first = await ask(poisonous);
	assert.is(first.error?.run, 'unknown');
	const second = await ask(poisonous, 0);
	assert.is(second.error?.code, 'quarantined');
	await waitFor('the other host to be told', async () => {
		const end = await ask(poisonous, 1);
		return end.error?.code === 'quarantined';
	});
	// Of four engines two were taken down; the caller's further resends found the door shut.
	const alive = await Promise.all(system.engines.map(async engine => {
		try {
			await request(`http://${engine.server.address}/v1/state`);
			return true;
		} catch {
			return false;
		}
	}));
	assert.ok(alive.some(Boolean));
	const bystander = await ask('an innocent request');
	assert.ok(bystander.isComplete);
});

test.run();
