import {
	type CompletionResult, CompletionClient, LocalCluster,
} from '../packages-private/local-cluster/src/index.js';
import {
	type RequestHandler, createCompletionChunk, respondWithBody, streamCompletion,
} from '../packages-private/stand-ins/src/index.js';

// The traffic of one firm in small: datasheet checks with long shared openings through the completions interface, while a host and
// a model server are killed, another host is stopped, and new weights are rolled out.

const trafficTime = 9000;
const callPause = 40;
const pieces = 24;
const piecePause = 4;

const models: RequestHandler[] = Array.from({length: 8}, () => streamCompletion(pieces, piecePause));
const cluster = new LocalCluster({hostCount: 9, plainHandlers: [respondWithBody('booked')], modelHandlers: models});
const client = new CompletionClient();
const ends: Array<{readonly end: CompletionResult; readonly body: string}> = [];
const retried: string[] = [];
const failures: string[] = [];
let sequence = 0;

function progress(text: string): void {
	process.stdout.write(`demo: ${text}\n`);
}

function expect(isTrue: boolean, text: string): void {
	if (!isTrue) {
		failures.push(text);
		progress(`FAILED: ${text}`);
	}
}

async function pause(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

const instructions = 'Check the datasheet against the bill of materials. '.repeat(30);

function nextBody(): string {
	const number = sequence++;
	const document = number % 5 === 0 ? number : number % 4;
	const content = `${instructions}${`Datasheet ${document} line of figures. `.repeat(120)}Case ${number}: does part ${number} fit?`;
	return JSON.stringify({
		model: 'm', messages: [{role: 'user', content}], max_tokens: pieces, stream: true,
	});
}

// As the callers do: asks any host for addresses, uses one of them, and goes on to another when it is lost or refuses.
async function sendCheck(): Promise<void> {
	const body = nextBody();
	let end: CompletionResult | undefined;
	for (let attempt = 0; attempt < 3; attempt++) {
		const asked = cluster.hosts[(sequence + attempt) % cluster.hosts.length]!;
		const named = await cluster.lookUpAddresses(asked);
		const ip = named[(sequence + attempt) % Math.max(named.length, 1)];
		const host = cluster.hosts.find(candidate => candidate.ipAddress === ip);
		if (host !== undefined) {
			end = await client.complete(host.completionsAddress, 'red-key', body);
			if (end.isComplete) {
				break;
			}

			retried.push(`${host.name}: ${end.status === 0 ? 'no connection' : `${end.status}, ${end.executionStatus ?? 'broken off'}`}`);
		}
	}

	ends.push({end: end!, body});
}

async function traffic(until: number): Promise<void> {
	const running: Array<Promise<void>> = [];
	while (performance.now() < until) {
		running.push(sendCheck());
		await pause(callPause);
	}

	await Promise.all(running);
}

async function disturb(): Promise<void> {
	const [, killed, stopped] = cluster.hosts;
	await pause(trafficTime / 4);
	progress(`killing ${killed!.name} and ${cluster.servers.at(-1)!.id}; naming new weights`);
	void killed!.process.kill();
	cluster.servers.at(-1)!.dispose();
	cluster.store.remove(`servers/${cluster.servers.at(-1)!.id}`);
	cluster.store.put('op/version/m', {model: 'm', version: 2});
	await pause(trafficTime / 4);
	progress(`starting ${killed!.name} again; stopping ${stopped!.name}`);
	cluster.restart(killed!);
	stopped!.process.sendSignal('SIGTERM');
	const code = await stopped!.process.waitForExit();
	expect(code === 0, `the stopped host ended with code ${code}`);
	cluster.restart(stopped!);
}

function percentile(values: readonly number[], share: number): string {
	return (values.toSorted((left, right) => left - right)[Math.floor(values.length * share)] ?? Number.NaN).toFixed(1);
}

function summarize(): void {
	const expected = (body: string) => Array.from({length: pieces}, (_, index) => createCompletionChunk(body, index + 1)).join('');
	const complete = ends.filter(({end, body}) => end.isComplete && end.text === expected(body));
	const wrong = ends.filter(({end, body}) => end.isComplete && end.text !== expected(body));
	const firsts = ends.flatMap(({end}) => end.timeToFirstChunk ?? []);
	progress(`answers: ${ends.length} asked, ${complete.length} complete, ${ends.length - complete.length} broken off or refused`);
	progress(`asked again: ${retried.length === 0 ? 'none' : retried.join('; ')}`);
	progress(`first piece in ms: p50 ${percentile(firsts, 0.5)}, p95 ${percentile(firsts, 0.95)}, p99 ${percentile(firsts, 0.99)}`);
	const live = cluster.servers.filter(server => server.id.startsWith('models')).slice(0, -1);
	progress(`weights: ${live.filter(server => server.weightsVersion === 2).length} of ${live.length} living model servers run version 2, ${live.reduce((sum, server) => sum + server.orderCount, 0)} orders`);
	expect(wrong.length === 0, `${wrong.length} answers were not the caller's own`);
	expect(live.every(server => server.weightsVersion === 2 && server.orderCount === 1), 'each living model server got one order and runs the new weights');
	// A killed host breaks off what it relays; a completion may be asked for again.
	expect(complete.length === ends.length, `${ends.length - complete.length} checks had no answer after three tries`);
}

try {
	progress('starting the store, 8 model servers, 1 plain service and 9 hosts');
	await cluster.start();
	progress(`sending traffic for ${trafficTime / 1000} s`);
	await Promise.all([traffic(performance.now() + trafficTime), disturb()]);
	await cluster.waitUntilServing();
	summarize();
} catch (error) {
	expect(false, String(error));
} finally {
	await client.dispose();
	await cluster.dispose();
}

process.stdout.write(failures.length === 0 ? 'demo: ok\n' : `demo: failed: ${failures.join('; ')}\n`);
process.exitCode = failures.length === 0 ? 0 : 1;
