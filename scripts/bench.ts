import {createHash} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {writeFile} from 'node:fs/promises';
import {request} from 'undici';
import {Caller, LocalCluster} from '../packages-private/local-cluster/src/index.js';
import {placementTime} from '../packages-private/measure/src/index.js';

// What a router adds to the same calls made directly to the same stand-in, in the same run. Figures are of this machine.

const secret = 'a-secret-of-the-benchmark';
const tokenInterval = 10;
const streamTokens = 50;
const openStreams = 1000;
const settings = {
	engines: {
		prefillTokensPerSecond: 1_000_000, followCacheEvents: false, silenceMilliseconds: 60_000, slowStartMilliseconds: 60_000, backlogMilliseconds: 60_000, connections: 1024,
	},
};

const cluster = new LocalCluster({
	name: 'bench', hosts: 1, controllers: 0, engines: 4, services: 0, settings, engineParameters: ['--token-interval', String(tokenInterval), '--prefill', '10000000'],
});
const caller = new Caller(openStreams);
const results: Record<string, number> = {};

function report(name: string, value: number, unit: string): void {
	results[name] = value;
	process.stdout.write(`${name}: ${value.toFixed(2)} ${unit}\n`);
}

function percentile(values: readonly number[], share: number): number {
	return values.toSorted((left, right) => left - right)[Math.min(Math.floor(values.length * share), values.length - 1)] ?? Number.NaN;
}

async function metric(name: string): Promise<number> {
	const response = await request(`http://${cluster.hosts[0]!.operatorsAddress}/metrics`);
	const text = await response.body.text();
	return Number(new RegExp(`^lacewingpoint_${name} (.+)$`, 'mv').exec(text)?.[1]);
}

type Timed = {readonly firstToken: number; readonly gaps: readonly number[]};

async function timeStream(address: string, prompt: string, tokens: number): Promise<Timed> {
	const startedAt = performance.now();
	const response = await request(`http://${address}/v1/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${secret}`},
		body: JSON.stringify({
			model: 'general', prompt, max_tokens: tokens, stream: true,
		}),
	});
	const arrivals: number[] = [];
	for await (const bytes of response.body) {
		if (String(bytes).includes('"delta"')) {
			arrivals.push(performance.now());
		}
	}

	return {firstToken: arrivals[0]! - startedAt, gaps: arrivals.slice(1).map((at, index) => at - arrivals[index]!)};
}

// A daemon runs for days: its code is measured after the compiler has seen it.
async function warmUp(): Promise<void> {
	for (let round = 0; round < 60; round++) {
		const addresses = [cluster.hosts[0]!.callersAddress, ...cluster.engines.map(engine => engine.address)];
		await Promise.all(addresses.flatMap(address => Array.from({length: 10}, async () => timeStream(address, `warm up ${round}`, 5))));
	}
}

// Direct and routed calls take turns, a few at a time, so that both meet the same machine.
async function measureAdded(atOnce: number, rounds: number): Promise<void> {
	const direct: Timed[] = [];
	const routed: Timed[] = [];
	for (let round = 0; round < rounds; round++) {
		const prompt = `round ${round} `.repeat(40);
		const engine = cluster.engines[round % cluster.engines.length]!.address;
		direct.push(...await Promise.all(Array.from({length: atOnce}, async () => timeStream(engine, prompt, 10))));
		routed.push(...await Promise.all(Array.from({length: atOnce}, async () => timeStream(cluster.hosts[0]!.callersAddress, prompt, 10))));
	}

	for (const share of [0.5, 0.99]) {
		const label = `${atOnce} at once, p${share * 100}`;
		const first = (timed: readonly Timed[]) => percentile(timed.map(({firstToken}) => firstToken), share);
		const gap = (timed: readonly Timed[]) => percentile(timed.flatMap(({gaps}) => gaps), share);
		report(`first token, direct, ${label}`, first(direct), 'ms');
		report(`first token, added, ${label}`, first(routed) - first(direct), 'ms');
		report(`next token, direct, ${label}`, gap(direct), 'ms');
		report(`next token, added, ${label}`, gap(routed) - gap(direct), 'ms');
	}
}

async function measureThroughput(): Promise<void> {
	const processorBefore = await metric('processor_seconds');
	const startedAt = performance.now();
	const streams = 400;
	await Promise.all(Array.from({length: streams}, async (_, index) => caller.call(cluster.hosts[0]!.callersAddress, {
		path: '/v1/completions', key: secret, body: {
			model: 'general', prompt: `stream ${index}`, max_tokens: streamTokens, stream: true,
		},
	})));
	const processor = await metric('processor_seconds') - processorBefore;
	report('streamed tokens a second of processor', streams * streamTokens / processor, 'tokens/s per core');
	report('streamed tokens a second, by the clock', streams * streamTokens * 1000 / (performance.now() - startedAt), 'tokens/s');
}

async function measureRequests(): Promise<void> {
	const processorBefore = await metric('processor_seconds');
	const count = 2000;
	for (let sent = 0; sent < count; sent += 50) {
		await Promise.all(Array.from({length: 50}, async (_, index) => caller.call(cluster.hosts[0]!.callersAddress, {
			path: '/v1/completions', key: secret, body: {model: 'general', prompt: `request ${sent + index}`, max_tokens: 1},
		})));
	}

	report('requests a second of processor', count / (await metric('processor_seconds') - processorBefore), 'requests/s per core');
}

async function measureMemory(): Promise<void> {
	report('resident memory before the open streams', await metric('resident_bytes') / 1_048_576, 'MiB');
	const abort = new AbortController();
	setMaxListeners(openStreams, abort.signal);
	const streams = Array.from({length: openStreams}, async (_, index) => caller.call(cluster.hosts[0]!.callersAddress, {
		path: '/v1/completions', key: secret, signal: abort.signal, body: {
			model: 'general', prompt: `open ${index} `.repeat(100), max_tokens: 1000, stream: true,
		},
	}));
	await new Promise(resolve => {
		setTimeout(resolve, 5000);
	});
	report('streams in flight', await metric('in_flight'), 'streams');
	report(`resident memory with ${openStreams} open streams`, await metric('resident_bytes') / 1_048_576, 'MiB');
	abort.abort();
	await Promise.all(streams);
}

try {
	await cluster.startBackends();
	await cluster.startHosts();
	report('resident memory, idle', await metric('resident_bytes') / 1_048_576, 'MiB');
	const submitted = await cluster.submit({
		number: 1, author: 'bench', objects: [
			{kind: 'workspace', name: 'w', state: {tokensPerSecond: 1_000_000_000, burstTokens: 1_000_000_000}},
			{kind: 'key', name: 'k', state: {sha256: createHash('sha256').update(secret).digest('hex'), workspace: 'w'}},
			{kind: 'model', name: 'general', state: {version: 'v1', loadsAtOnce: 1}},
			{kind: 'route', name: 'general', state: {type: 'model', model: 'general'}},
			...cluster.engines.map(engine => ({
				kind: 'backend', name: engine.name, state: {
					type: 'engine', address: engine.address, failureDomain: engine.failureDomain, model: 'general',
				},
			})),
		],
	});
	process.stdout.write(`ticket: ${submitted.output}`);
	await new Promise(resolve => {
		setTimeout(resolve, 3000);
	});
	await warmUp();
	await measureAdded(1, 200);
	await measureAdded(8, 60);
	await measureRequests();
	await measureThroughput();
	await measureMemory();
} finally {
	await caller.dispose();
	await cluster.dispose();
}

for (const servers of [13, 100, 6000]) {
	report(`one placement decision, ${servers} backend servers`, placementTime(servers), 'us');
}

await writeFile('docs/bench.json', `${JSON.stringify(results, undefined, '\t')}\n`);
