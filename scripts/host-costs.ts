import {readFile, readdir} from 'node:fs/promises';
import {Agent} from 'undici';
import {LocalCluster, LocalProcess} from '../packages-private/local-cluster/src/index.js';
import {respondWithBody, streamCompletion} from '../packages-private/stand-ins/src/index.js';

const warmUpRequests = 300;
const requestsPerRound = 300;
const rounds = 3;
const concurrency = 6;
const eventsPerStream = 32;
/** In milliseconds. */
const eventInterval = 1;
const starts = 3;
const idleHosts = 9;
const idleSeconds = 5;
/** In milliseconds. */
const probeInterval = 25;

/** What a host costs, as medians; processor times in milliseconds, memory in MB. */
export type HostCosts = {
	/** Processor time of a start until the readiness probe succeeds. */
	readonly start: number;
	readonly startMemory: number;
	readonly plainCall: number;
	readonly stream: number;
	/** Processor time a second, of one of nine hosts without requests. */
	readonly idleSecond: number;
	readonly memory: number;
	readonly failed: number;
};

// Processor time of all threads of a process.
async function readProcessorTime(pid: number): Promise<number> {
	let nanoseconds = 0;
	for (const thread of await readdir(`/proc/${pid}/task`)) {
		const statistics = await readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8');
		nanoseconds += Number(statistics.split(' ')[0]);
	}

	return nanoseconds / 1e6;
}

async function readMemory(pid: number): Promise<number> {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	return Number(/^VmRSS:\s+(?<kilobytes>\d+)/mv.exec(status)!.groups!.kilobytes) / 1024;
}

function median(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)]!;
}

const pause = async (time: number) => new Promise(resolve => {
	setTimeout(resolve, time);
});

let nextAttempt = 0;

/** One build of the host, before servers of its own. */
class MeasuredBuild {
	readonly plain: number[] = [];
	readonly stream: number[] = [];
	readonly starts: number[] = [];
	readonly startMemory: number[] = [];
	/** Measured requests that were not answered with status 200; costs of a round with such requests do not compare. */
	failed = 0;
	readonly cluster: LocalCluster;
	readonly #directory: string | undefined;
	readonly #agent = new Agent({connections: concurrency});

	constructor(directory: string | undefined, hostCount: number) {
		this.#directory = directory;
		this.cluster = new LocalCluster({
			hostCount,
			buildDirectories: directory === undefined ? [] : Array.from({length: hostCount}, () => directory),
			plainHandlers: Array.from({length: 6}, () => respondWithBody('x'.repeat(300))),
			modelHandlers: Array.from({length: 6}, () => streamCompletion(eventsPerStream, eventInterval)),
		});
	}

	async measureStart(): Promise<void> {
		const [host] = this.cluster.hosts;
		await host!.process.kill();
		const started = new LocalProcess('start', 'lacewingpoint-host', [], {LACEWINGPOINT_NODE_FILE: host!.settingsFile}, this.#directory);
		for (;;) {
			await pause(probeInterval);
			try {
				const response = await this.#agent.request({origin: `http://${host!.readinessAddress}`, path: '/readiness', method: 'GET'});
				await response.body.dump();
				if (response.statusCode === 200) {
					break;
				}
			} catch {
				// It does not listen yet.
			}
		}

		this.starts.push(await readProcessorTime(started.pid));
		this.startMemory.push(await readMemory(started.pid));
		await started.kill();
		this.cluster.restart(host!);
		await this.cluster.waitUntilServing();
	}

	/** Sends requests and returns the processor time of the host for each. */
	async measure(path: string, headers: Readonly<Record<string, string>>, count: number): Promise<number> {
		const [host] = this.cluster.hosts;
		const before = await readProcessorTime(host!.process.pid);
		let remaining = count;
		await Promise.all(Array.from({length: concurrency}, async () => {
			while (remaining-- > 0) {
				const response = await this.#agent.request({
					origin: `http://${host!.clientAddress}`, path, method: 'POST', body: '{}', headers: {
						host: 'h.example', 'attempt-id': `a-${nextAttempt++}`, 'api-key': 'red-key', 'deadline-ms': '2500', ...headers,
					},
				});
				await response.body.dump();
				if (response.statusCode !== 200) {
					this.failed++;
				}
			}
		}));
		return (await readProcessorTime(host!.process.pid) - before) / count;
	}

	async measureIdle(): Promise<number> {
		const pids = this.cluster.hosts.map(host => host.process.pid);
		const before = await Promise.all(pids.map(async pid => readProcessorTime(pid)));
		await pause(idleSeconds * 1000);
		const after = await Promise.all(pids.map(async pid => readProcessorTime(pid)));
		return median(after.map((time, index) => (time - before[index]!) / idleSeconds));
	}

	async dispose(): Promise<void> {
		await this.#agent.destroy();
		await this.cluster.dispose();
	}
}

/**
 * Measures what a host costs in several builds, in turns, so that other work on the machine affects all of them.
 *
 * @param directories - Directories of the builds; `undefined` is the current one.
 * @returns The costs for each build.
 */
export async function measureHostCosts(directories: ReadonlyArray<string | undefined>): Promise<HostCosts[]> {
	const plainHeaders = {};
	const generationHeaders = {model: 'm', 'token-count': '30,10', 'prompt-prefix': 'a1:10,b2:10,c3:10'};
	const builds = directories.map(directory => new MeasuredBuild(directory, 1));
	const fleets = directories.map(directory => new MeasuredBuild(directory, idleHosts));
	try {
		for (const build of builds) {
			await build.cluster.start();
		}

		for (let index = 0; index < starts; index++) {
			for (const build of builds) {
				await build.measureStart();
			}
		}

		for (const build of builds) {
			await build.measure('/look/1', plainHeaders, warmUpRequests);
			await build.measure('/chat/1', generationHeaders, warmUpRequests);
		}

		for (let round = 0; round < rounds; round++) {
			for (const build of builds) {
				build.plain.push(await build.measure('/look/1', plainHeaders, requestsPerRound));
				build.stream.push(await build.measure('/chat/1', generationHeaders, requestsPerRound));
			}
		}

		const memories = await Promise.all(builds.map(async build => readMemory(build.cluster.hosts[0]!.process.pid)));
		await Promise.all(builds.map(async build => build.dispose()));
		const idle: number[] = [];
		for (const fleet of fleets) {
			await fleet.cluster.start();
			await pause(3000);
			idle.push(await fleet.measureIdle());
			await fleet.dispose();
		}

		return builds.map((build, index) => ({
			start: median(build.starts), startMemory: median(build.startMemory), plainCall: median(build.plain), stream: median(build.stream), idleSecond: idle[index]!, memory: memories[index]!, failed: build.failed,
		}));
	} finally {
		await Promise.all([...builds, ...fleets].map(async build => build.dispose()));
	}
}
