import {readFile, writeFile} from 'node:fs/promises';
import {runCommand} from '@lacewingpoint/command-line';
import {
	type RequestHandler, createCompletionChunk, resetConnection, respondWithBody, streamCompletion,
} from '@lacewingpoint/stand-ins';
import {request} from 'undici';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	CompletionClient, LocalCluster, type LocalClusterOptions, waitFor,
} from '../src/index.js';

const test = suite('hosts as processes');

const chunkCount = 12;

function createBody(content: string): string {
	return JSON.stringify({
		model: 'm', messages: [{role: 'user', content}], max_tokens: chunkCount, stream: true,
	});
}

function expectedText(body: string): string {
	return Array.from({length: chunkCount}, (_, index) => createCompletionChunk(body, index + 1)).join('');
}

async function withCluster(options: Partial<LocalClusterOptions>, check: (cluster: LocalCluster, client: CompletionClient) => Promise<void>): Promise<void> {
	const cluster = new LocalCluster({
		hostCount: 2, plainHandlers: [respondWithBody('hello')], modelHandlers: [streamCompletion(chunkCount, 5), streamCompletion(chunkCount, 5)], ...options,
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

test('every host delivers a complete completion, and the API key is not forwarded to the model server', async () => {
	await withCluster({}, async (cluster, client) => {
		for (const host of cluster.hosts) {
			const body = createBody(`Does part ${host.name} fit?`);
			const result = await client.complete(host.completionsAddress, 'red-key', body);
			assert.is(result.status, 200);
			assert.ok(result.isComplete);
			assert.is(result.text, expectedText(body));
		}

		const executedRequests = cluster.servers.flatMap(server => server.executedRequests);
		assert.is(executedRequests.length, 2);
		assert.not.match(JSON.stringify(executedRequests.map(request => [...request.headers])), 'red-key');
		assert.equal(new Set(executedRequests.map(request => request.headers.get('tenant'))), new Set(['red']));
	});
});

test('requests with an unknown key or an invalid body are refused without being run', async () => {
	await withCluster({hostCount: 1}, async (cluster, client) => {
		const address = cluster.hosts[0]!.completionsAddress;
		assert.equal(await errorStatusOf(client.complete(address, 'nobody', createBody('x'))), [401, 'not-run']);
		assert.equal(await errorStatusOf(client.complete(address, 'red-key', '{"model": "m"}')), [400, 'not-run']);
		assert.is(cluster.servers.flatMap(server => server.executedRequests).length, 0);
	});
});

test('a stream continues without a gap on another model server when its connection is reset', async () => {
	let remainingResets = 1;
	const streamToEnd = streamCompletion(chunkCount, 5);
	await withCluster({
		hostCount: 1, modelHandlers: [0, 1].map(() => (request, socket, server) => {
			streamToEnd(request, socket, server);
			if (remainingResets-- > 0) {
				setTimeout(() => {
					resetConnection(socket);
				}, 30);
			}
		}),
	}, async (cluster, client) => {
		const body = createBody('Stream continues');
		const result = await client.complete(cluster.hosts[0]!.completionsAddress, 'red-key', body);
		assert.ok(result.isComplete);
		assert.is(result.text, expectedText(body));
		assert.is(cluster.servers.flatMap(server => server.executedRequests).length, 2);
	});
});

test('a host stopped by SIGTERM finishes its streams and exits with code 0', async () => {
	await withCluster({modelHandlers: [streamCompletion(chunkCount, 60)]}, async (cluster, client) => {
		const [first, second] = cluster.hosts;
		const body = createBody('Long enough');
		const pendingResult = client.complete(first!.completionsAddress, 'red-key', body);
		await waitFor('the stream to run', () => cluster.servers.some(server => server.executedRequests.length > 0));
		first!.process.sendSignal('SIGTERM');
		await waitFor('the other host to list only itself', async () => (await cluster.lookUpAddresses(second!)).length === 1);
		assert.is((await pendingResult).text, expectedText(body));
		assert.is(await first!.process.waitForExit(), 0);
	});
});

test('a killed host is no longer listed, and serves requests after its restart', async () => {
	await withCluster({hostCount: 3}, async (cluster, client) => {
		const [first, second] = cluster.hosts;
		await first!.process.kill();
		await waitFor('the killed host to be removed', async () => (await cluster.lookUpAddresses(second!)).length === 2);
		cluster.restart(first!);
		await cluster.waitUntilServing();
		const result = await client.complete(first!.completionsAddress, 'red-key', createBody('Back again'));
		assert.ok(result.isComplete);
	});
});

test('hosts continue to serve while the store does not respond', async () => {
	await withCluster({}, async (cluster, client) => {
		cluster.store.failureMode = 'silent';
		const results = await Promise.all(cluster.hosts.map(async host => client.complete(host.completionsAddress, 'red-key', createBody('No store'))));
		assert.ok(results.every(result => result.isComplete));
		cluster.store.failureMode = 'none';
	});
});

test('changed bounds are applied without a restart, and an invalid file is rejected without effect', async () => {
	await withCluster({hostCount: 1}, async (cluster, client) => {
		const [host] = cluster.hosts;
		const text = await readFile(host!.settingsFile, 'utf8');
		await writeFile(host!.settingsFile, text.replace('[bounds]', '[bounds]\ngraceS = 5'));
		host!.process.sendSignal('SIGHUP');
		await waitFor('the new bound', () => host!.process.standardOutput.includes('"event":"reload","outcome":"applied","changed":["stopGrace"]'));
		await writeFile(host!.settingsFile, '[bounds]');
		await waitFor('the rejection, without a signal', () => host!.process.standardOutput.includes('"event":"reload","outcome":"refused"'));
		const result = await client.complete(host!.completionsAddress, 'red-key', createBody('Still there'));
		assert.ok(result.isComplete);
	});
});

test('the explain command finds the cause of a refusal in the logs of the hosts', async () => {
	await withCluster({modelHandlers: [streamCompletion(chunkCount)]}, async (cluster, client) => {
		const address = cluster.hosts[0]!.completionsAddress;
		const firstResult = await client.complete(address, 'blue-key', createBody('x'.repeat(4000)));
		const secondResult = await client.complete(address, 'blue-key', createBody('x'.repeat(4000)));
		const [status, executionStatus] = [secondResult.status, secondResult.executionStatus];
		assert.equal([status, executionStatus], [429, 'not-run'], `first: ${firstResult.status}`);
		let output = '';
		await waitFor('the log line', async () => {
			const code = await runCommand({
				isJson: false, readText: async path => cluster.hosts.find(host => host.name === path)!.process.standardOutput, print(text) {
					output = text;
				}, printError() {/* The log line has not been written yet. */},
			}, ['explain', secondResult.requestId!, ...cluster.hosts.map(host => host.name)]);
			return code === 0;
		});
		assert.match(output, /host-1 request refused with 429; workspace blue is over its quota/v);
	});
});

// Guards against a host that handles nothing else for seconds while Node.js parses the minified program, to compose the message of an
// assertion of the HTTP client library that a malformed response has failed.
test('a response with status 000 does not keep a host from answering other requests', async () => {
	const respondWithInvalidStatus: RequestHandler = (received, socket, server) => {
		server.executedRequests.push(received);
		socket.write('HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n');
	};

	await withCluster({hostCount: 1, plainHandlers: [respondWithInvalidStatus]}, async (cluster, client) => {
		const [host] = cluster.hosts;
		const headers = {
			host: 'h.example', 'attempt-id': 'odd', 'api-key': 'red-key', 'deadline-ms': '2500',
		};
		const odd = request(`http://${host!.clientAddress}/book/1`, {method: 'POST', headers});
		await waitFor('the response', () => cluster.servers.some(server => server.executedRequests.length > 0));
		const startedAt = performance.now();
		assert.is((await client.complete(host!.completionsAddress, 'red-key', createBody('Meanwhile'))).status, 200);
		assert.ok(performance.now() - startedAt < 1500, `${Math.round(performance.now() - startedAt)} ms`);
		const response = await odd;
		await response.body.dump();
		assert.is(response.statusCode, 502);
	});
});

async function errorStatusOf(pendingResult: ReturnType<CompletionClient['complete']>): Promise<[number, string | undefined]> {
	const result = await pendingResult;
	return [result.status, result.executionStatus];
}

test.run();
