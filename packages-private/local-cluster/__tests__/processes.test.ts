import {readFile, writeFile} from 'node:fs/promises';
import {runCommand} from '@lacewingpoint/command-line';
import {
	streamCompletion, respondWithBody, createCompletionChunk, resetConnection,
} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	CompletionClient, LocalCluster, type LocalClusterOptions, waitFor,
} from '../src/index.js';

const test = suite('hosts as processes');

const pieces = 12;

function bodyOf(content: string): string {
	return JSON.stringify({
		model: 'm', messages: [{role: 'user', content}], max_tokens: pieces, stream: true,
	});
}

function expectedText(body: string): string {
	return Array.from({length: pieces}, (_, index) => createCompletionChunk(body, index + 1)).join('');
}

async function withCluster(options: Partial<LocalClusterOptions>, check: (cluster: LocalCluster, client: CompletionClient) => Promise<void>): Promise<void> {
	const cluster = new LocalCluster({
		hostCount: 2, plainHandlers: [respondWithBody('hello')], modelHandlers: [streamCompletion(pieces, 5), streamCompletion(pieces, 5)], ...options,
	});
	const client = new CompletionClient();
	try {
		await cluster.start();
		await check(cluster, client);
	} finally {
		await client.dispose();
		await cluster.dispose();
	}
}

test('a completion comes whole through any host, and its model server never sees the key', async () => {
	await withCluster({}, async (cluster, client) => {
		for (const host of cluster.hosts) {
			const body = bodyOf(`Does part ${host.name} fit?`);
			const end = await client.complete(host.completionsAddress, 'red-key', body);
			assert.is(end.status, 200);
			assert.ok(end.isComplete);
			assert.is(end.text, expectedText(body));
		}

		const seen = cluster.servers.flatMap(server => server.executedRequests);
		assert.is(seen.length, 2);
		assert.not.match(JSON.stringify(seen.map(request => [...request.headers])), 'red-key');
		assert.equal(new Set(seen.map(request => request.headers.get('tenant'))), new Set(['red']));
	});
});

test('an unknown key, a bad body and an unknown route are refused as not run', async () => {
	await withCluster({hostCount: 1}, async (cluster, client) => {
		const address = cluster.hosts[0]!.completionsAddress;
		assert.equal(await refusalOf(client.complete(address, 'nobody', bodyOf('x'))), [401, 'not-run']);
		assert.equal(await refusalOf(client.complete(address, 'red-key', '{"model": "m"}')), [400, 'not-run']);
		assert.is(cluster.servers.flatMap(server => server.executedRequests).length, 0);
	});
});

test('a stream whose model server dies goes on at another one without a gap', async () => {
	let remaining = 1;
	const dies = streamCompletion(pieces, 5);
	await withCluster({
		hostCount: 1, modelHandlers: [0, 1].map(() => (request, socket, server) => {
			dies(request, socket, server);
			if (remaining-- > 0) {
				setTimeout(() => {
					resetConnection(socket);
				}, 30);
			}
		}),
	}, async (cluster, client) => {
		const body = bodyOf('Goes on');
		const end = await client.complete(cluster.hosts[0]!.completionsAddress, 'red-key', body);
		assert.ok(end.isComplete);
		assert.is(end.text, expectedText(body));
		assert.is(cluster.servers.flatMap(server => server.executedRequests).length, 2);
	});
});

test('a stop by SIGTERM ends no stream, and its exit code is 0', async () => {
	await withCluster({modelHandlers: [streamCompletion(pieces, 60)]}, async (cluster, client) => {
		const [first, second] = cluster.hosts;
		const body = bodyOf('Long enough');
		const running = client.complete(first!.completionsAddress, 'red-key', body);
		await waitFor('the stream to run', () => cluster.servers.some(server => server.executedRequests.length > 0));
		first!.process.sendSignal('SIGTERM');
		await waitFor('the other host to name itself alone', async () => (await cluster.lookUpAddresses(second!)).length === 1);
		assert.is((await running).text, expectedText(body));
		assert.is(await first!.process.waitForExit(), 0);
	});
});

test('a killed host is named no longer; started again it serves at once', async () => {
	await withCluster({hostCount: 3}, async (cluster, client) => {
		const [first, second] = cluster.hosts;
		await first!.process.kill();
		await waitFor('the dead host to be forgotten', async () => (await cluster.lookUpAddresses(second!)).length === 2);
		cluster.restart(first!);
		await cluster.waitUntilServing();
		const end = await client.complete(first!.completionsAddress, 'red-key', bodyOf('Back again'));
		assert.ok(end.isComplete);
	});
});

test('hosts go on serving what they know while the store is away', async () => {
	await withCluster({}, async (cluster, client) => {
		cluster.store.failureMode = 'silent';
		const ends = await Promise.all(cluster.hosts.map(async host => client.complete(host.completionsAddress, 'red-key', bodyOf('No store'))));
		assert.ok(ends.every(end => end.isComplete));
		cluster.store.failureMode = 'none';
	});
});

test('changed bounds are applied without a restart, a bad file is refused and changes nothing', async () => {
	await withCluster({hostCount: 1}, async (cluster, client) => {
		const [host] = cluster.hosts;
		const text = await readFile(host!.settingsFile, 'utf8');
		await writeFile(host!.settingsFile, text.replace('[bounds]', '[bounds]\ngraceS = 5'));
		host!.process.sendSignal('SIGHUP');
		await waitFor('the new bound', () => host!.process.standardOutput.includes('"event":"reload","outcome":"applied","changed":["stopGrace"]'));
		await writeFile(host!.settingsFile, '[bounds]');
		await waitFor('the refusal, without a signal', () => host!.process.standardOutput.includes('"event":"reload","outcome":"refused"'));
		const end = await client.complete(host!.completionsAddress, 'red-key', bodyOf('Still there'));
		assert.ok(end.isComplete);
	});
});

test('a refusal is explained from the logs of the hosts by its id', async () => {
	await withCluster({modelHandlers: [streamCompletion(pieces)]}, async (cluster, client) => {
		const address = cluster.hosts[0]!.completionsAddress;
		const refused = await client.complete(address, 'blue-key', bodyOf('x'.repeat(4000)));
		const second = await client.complete(address, 'blue-key', bodyOf('x'.repeat(4000)));
		const [status, run] = [second.status, second.executionStatus];
		assert.equal([status, run], [429, 'not-run'], `first: ${refused.status}`);
		let output = '';
		await waitFor('the log line', async () => {
			const code = await runCommand({
				isJson: false, readText: async path => cluster.hosts.find(host => host.name === path)!.process.standardOutput, print(text) {
					output = text;
				}, printError() {/* Not written yet. */},
			}, ['explain', second.requestId!, ...cluster.hosts.map(host => host.name)]);
			return code === 0;
		});
		assert.match(output, /host-1 request refused with 429; workspace blue is over its quota/v);
	});
});

async function refusalOf(running: ReturnType<CompletionClient['complete']>): Promise<[number, string | undefined]> {
	const end = await running;
	return [end.status, end.executionStatus];
}

test.run();
