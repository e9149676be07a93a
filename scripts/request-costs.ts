import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, readdir, readFile, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Agent} from 'undici';
import {
	PlatformServerStandIn, PlatformStoreStandIn, createConfiguration, respondWithBody, streamCompletion,
} from '../packages-private/stand-ins/src/index.js';

// Measures the processor time of one host for each request, for several builds in turns. Usage: tsx scripts/request-costs.ts [--profile] PROGRAM...
const isProfiled = process.argv[2] === '--profile';
const programs = process.argv.slice(isProfiled ? 3 : 2);
const serversPerService = Number(process.env.SERVERS ?? 12);
const warmUp = {plain: 1500, stream: 150};
const counted = {plain: 1000, stream: 100};
const rounds = 3;
const plainConcurrency = 8;
const streamConcurrency = 8;
const eventsPerStream = 32;
/** In milliseconds. */
const eventInterval = 2;
const startPollInterval = 50;
const firstPort = 20_000 + (process.pid % 2000 * 10);

let nextAttempt = 0;

class MeasuredHost {
	readonly results = {plain: [] as number[], stream: [] as number[]};
	failed = 0;
	readonly #address: string;
	readonly #ready: string;
	readonly #agent = new Agent({connections: plainConcurrency});
	readonly #child: ReturnType<typeof spawn>;

	constructor(program: string, index: number, directory: string) {
		const ip = `127.0.3.${index + 1}`;
		this.#address = `${ip}:${firstPort}`;
		this.#ready = `${ip}:${firstPort + 1}`;
		this.#child = spawn(process.execPath, [...(isProfiled ? ['--cpu-prof', `--cpu-prof-dir=${directory}`] : []), program], {
			stdio: ['ignore', 'ignore', 'inherit'], env: {...process.env, LACEWINGPOINT_NODE_FILE: path.join(directory, `${index}.toml`)},
		});
	}

	async waitUntilReady(): Promise<void> {
		for (let attempt = 0; attempt < 200; attempt++) {
			try {
				const response = await this.#agent.request({origin: `http://${this.#ready}`, path: '/readiness', method: 'GET'});
				await response.body.dump();
				if (response.statusCode === 200) {
					return;
				}
			} catch {
				// It does not listen yet.
			}

			await new Promise(resolve => {
				setTimeout(resolve, startPollInterval);
			});
		}

		throw new Error(`the host at ${this.#ready} did not become ready`);
	}

	async send(kind: 'plain' | 'stream', count: number): Promise<void> {
		let remaining = count;
		await Promise.all(Array.from({length: kind === 'plain' ? plainConcurrency : streamConcurrency}, async () => {
			while (remaining-- > 0) {
				const index = nextAttempt++;
				const response = await this.#agent.request({
					origin: `http://${this.#address}`, path: kind === 'plain' ? '/look/1' : '/chat/1', method: 'POST', body: '{}', headers: {
						host: 'h.example', 'attempt-id': `a-${index}`, 'api-key': 'red-key', 'deadline-ms': '2500',
						...(kind === 'plain' ? {} : {model: 'm', 'token-count': '30,32', 'prompt-prefix': `a${index % 20}:10,b${index % 20}:10,c${index}:10`}),
					},
				});
				await response.body.dump();
				if (response.statusCode !== 200) {
					this.failed++;
				}
			}
		}));
	}

	async measure(kind: 'plain' | 'stream'): Promise<void> {
		const before = await this.#readProcessorTime();
		await this.send(kind, counted[kind]);
		this.results[kind].push((await this.#readProcessorTime() - before) / counted[kind]);
	}

	async stop(): Promise<void> {
		await this.#agent.destroy();
		this.#child.kill('SIGTERM');
		if (this.#child.exitCode === null) {
			await once(this.#child, 'exit');
		}
	}

	// In microseconds, of all threads.
	async #readProcessorTime(): Promise<number> {
		let nanoseconds = 0;
		for (const thread of await readdir(`/proc/${this.#child.pid}/task`)) {
			const statistics = await readFile(`/proc/${this.#child.pid}/task/${thread}/schedstat`, 'utf8');
			nanoseconds += Number(statistics.split(' ')[0]);
		}

		return nanoseconds / 1000;
	}
}

async function startHost(program: string, index: number, directory: string, storeAddress: string): Promise<MeasuredHost> {
	const ip = `127.0.3.${index + 1}`;
	await writeFile(path.join(directory, `${index}.toml`), `
nodeName = "host-${index}"
ip = "${ip}"
zone = "a"
region = "r"
portRange = [${firstPort + 5}, ${firstPort + 7}]
seeds = []
[listen]
front = "${ip}:${firstPort}"
ready = "${ip}:${firstPort + 1}"
directory = "${ip}:${firstPort + 2}"
[limits]
memoryMb = 200
[bounds]
leaseMs = 1000
ttl_max_s = 1
[platform]
address = "${storeAddress}"
`);
	const host = new MeasuredHost(program, index, directory);
	await host.waitUntilReady();
	return host;
}

const directory = await mkdtemp(path.join(tmpdir(), 'request-costs-'));
const servers: PlatformServerStandIn[] = [];
const store = new PlatformStoreStandIn();
await store.start();
store.put('op/config', createConfiguration(1));
for (let index = 0; index < serversPerService * 2; index++) {
	const isPlain = index < serversPerService;
	const server = new PlatformServerStandIn(`s${index}`, isPlain ? respondWithBody('x'.repeat(300)) : streamCompletion(eventsPerStream, eventInterval));
	await server.start();
	servers.push(server);
	store.put(`servers/${server.id}`, server.createEntry(isPlain ? 'plain' : 'models', {address: server.address, ...(isPlain ? {} : {models: [{name: 'm', version: server.weightsVersion}]})}));
}

for (const [index, program] of programs.entries()) {
	process.stderr.write(`${index}: ${program}\n`);
}

// One host at a time, so that builds of different messages do not meet; their turns alternate.
const countConnections = () => servers.reduce((sum, server) => sum + server.connectionCount, 0);
const all = programs.map(() => ({
	connections: 0, plain: [] as number[], stream: [] as number[], failed: 0,
}));
for (let round = 0; round < (isProfiled ? 1 : rounds); round++) {
	for (const [index, program] of programs.entries()) {
		const host = await startHost(program, index, directory, store.address);
		await host.send('plain', warmUp.plain);
		await host.send('stream', warmUp.stream);
		const connectionsBefore = countConnections();
		const failedBefore = host.failed;
		for (let part = 0; part < 2; part++) {
			await host.measure('plain');
			await host.measure('stream');
		}

		all[index]!.plain.push(...host.results.plain);
		all[index]!.stream.push(...host.results.stream);
		all[index]!.failed += host.failed - failedBefore;
		all[index]!.connections += countConnections() - connectionsBefore;
		await host.stop();
	}
}

const formatTimes = (values: readonly number[]) => {
	const sorted = values.map(value => Math.round(value)).toSorted((left, right) => left - right);
	return `${sorted[Math.floor(sorted.length / 2)]!} us (${sorted.join(' ')})`;
};

for (const [index, {plain, stream, failed, connections}] of all.entries()) {
	process.stdout.write(`${index}: plain ${formatTimes(plain)}, stream ${formatTimes(stream)}, failed ${failed}, connections ${connections}\n`);
}

process.stdout.write(`${directory}\n`);
process.exit(0);
