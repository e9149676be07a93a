import {
	type CompletionResult, CompletionClient, LocalCluster,
} from '../packages-private/local-cluster/src/index.js';
import {
	type RequestHandler, createCompletionChunk, respondWithBody, streamCompletion,
} from '../packages-private/stand-ins/src/index.js';

// Sends completion requests with long shared prompt prefixes to a local cluster, while a host and a model server are killed, another
// host is restarted, and new weights are rolled out.

const trafficDuration = 9000;
const requestInterval = 40;
const chunkCount = 24;
const chunkInterval = 4;

const modelHandlers: RequestHandler[] = Array.from({length: 8}, () => streamCompletion(chunkCount, chunkInterval));
const cluster = new LocalCluster({hostCount: 9, plainHandlers: [respondWithBody('booked')], modelHandlers});
const client = new CompletionClient();
const requests: Array<{readonly result: CompletionResult; readonly body: string}> = [];
const retries: string[] = [];
const failures: string[] = [];
let requestCount = 0;

function logProgress(text: string): void {
	process.stdout.write(`demo: ${text}\n`);
}

function check(isMet: boolean, text: string): void {
	if (!isMet) {
		failures.push(text);
		logProgress(`FAILED: ${text}`);
	}
}

async function pause(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

const instructions = 'Check the datasheet against the bill of materials. '.repeat(30);

function createNextBody(): string {
	const number = requestCount++;
	const document = number % 5 === 0 ? number : number % 4;
	const content = `${instructions}${`Datasheet ${document} line of figures. `.repeat(120)}Case ${number}: does part ${number} fit?`;
	return JSON.stringify({
		model: 'm', messages: [{role: 'user', content}], max_tokens: chunkCount, stream: true,
	});
}

// Sends a request as clients do: looks up addresses at any host, uses one of them, and tries another one if the request fails.
async function sendRequest(): Promise<void> {
	const body = createNextBody();
	let result: CompletionResult | undefined;
	for (let attempt = 0; attempt < 3; attempt++) {
		const directoryHost = cluster.hosts[(requestCount + attempt) % cluster.hosts.length]!;
		const addresses = await cluster.lookUpAddresses(directoryHost);
		const ipAddress = addresses[(requestCount + attempt) % Math.max(addresses.length, 1)];
		const host = cluster.hosts.find(candidate => candidate.ipAddress === ipAddress);
		if (host !== undefined) {
			result = await client.complete(host.completionsAddress, 'red-key', body);
			if (result.isComplete) {
				break;
			}

			retries.push(`${host.name}: ${result.status === 0 ? 'no connection' : `${result.status}, ${result.executionStatus ?? 'interrupted'}`}`);
		}
	}

	requests.push({result: result!, body});
}

async function generateTraffic(until: number): Promise<void> {
	const pendingRequests: Array<Promise<void>> = [];
	while (performance.now() < until) {
		pendingRequests.push(sendRequest());
		await pause(requestInterval);
	}

	await Promise.all(pendingRequests);
}

async function injectFailures(): Promise<void> {
	const [, killed, stopped] = cluster.hosts;
	await pause(trafficDuration / 4);
	logProgress(`killing ${killed!.name} and ${cluster.servers.at(-1)!.id}; publishing new weights`);
	void killed!.process.kill();
	cluster.servers.at(-1)!.dispose();
	cluster.store.remove(`servers/${cluster.servers.at(-1)!.id}`);
	cluster.store.put('op/version/m', {model: 'm', version: 2});
	await pause(trafficDuration / 4);
	logProgress(`restarting ${killed!.name}; stopping ${stopped!.name}`);
	cluster.restart(killed!);
	stopped!.process.sendSignal('SIGTERM');
	const code = await stopped!.process.waitForExit();
	check(code === 0, `the stopped host ended with code ${code}`);
	cluster.restart(stopped!);
}

function percentile(values: readonly number[], share: number): string {
	return (values.toSorted((left, right) => left - right)[Math.floor(values.length * share)] ?? Number.NaN).toFixed(1);
}

function summarize(): void {
	const createExpectedText = (body: string) => Array.from({length: chunkCount}, (_, index) => createCompletionChunk(body, index + 1)).join('');
	const complete = requests.filter(({result, body}) => result.isComplete && result.text === createExpectedText(body));
	const wrong = requests.filter(({result, body}) => result.isComplete && result.text !== createExpectedText(body));
	const firstChunkTimes = requests.flatMap(({result}) => result.timeToFirstChunk ?? []);
	logProgress(`requests: ${requests.length} sent, ${complete.length} complete, ${requests.length - complete.length} interrupted or refused`);
	logProgress(`retries: ${retries.length === 0 ? 'none' : retries.join('; ')}`);
	logProgress(`time to first chunk in ms: p50 ${percentile(firstChunkTimes, 0.5)}, p95 ${percentile(firstChunkTimes, 0.95)}, p99 ${percentile(firstChunkTimes, 0.99)}`);
	const remainingServers = cluster.servers.filter(server => server.id.startsWith('models')).slice(0, -1);
	logProgress(`weights: ${remainingServers.filter(server => server.weightsVersion === 2).length} of ${remainingServers.length} remaining model servers run version 2, ${
		remainingServers.reduce((sum, server) => sum + server.orderCount, 0)
	} orders`);
	check(wrong.length === 0, `${wrong.length} responses had the wrong content`);
	check(remainingServers.every(server => server.weightsVersion === 2 && server.orderCount === 1), 'not every remaining model server received exactly one order and runs the new weights');
	// A killed host interrupts the streams that it relays; a completion may be requested again.
	check(complete.length === requests.length, `${requests.length - complete.length} requests had no complete response after three attempts`);
}

try {
	logProgress('starting the store, 8 model servers, 1 plain service and 9 hosts');
	await cluster.start();
	logProgress(`sending traffic for ${trafficDuration / 1000} s`);
	await Promise.all([generateTraffic(performance.now() + trafficDuration), injectFailures()]);
	await cluster.waitUntilServing();
	summarize();
} catch (error) {
	check(false, String(error));
} finally {
	await client.dispose();
	await cluster.dispose();
}

process.stdout.write(failures.length === 0 ? 'demo: ok\n' : `demo: failed: ${failures.join('; ')}\n`);
process.exitCode = failures.length === 0 ? 0 : 1;
