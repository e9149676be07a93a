import {readFile, writeFile} from 'node:fs/promises';
import {CompletionClient, LocalCluster} from '../packages-private/local-cluster/src/index.js';
import {respondWithBody, streamCompletion} from '../packages-private/stand-ins/src/index.js';

// Measures the time that a host adds to the first chunk of a stream, and the number of chunks that it relays per second of CPU time.

const warmUpRequests = 100;
const samples = 500;
const streams = 20;
const chunksPerStream = 500;
const rounds = 5;

/** Unit of the CPU times in /proc/PID/stat on Linux (USER_HZ). */
const ticksPerSecond = 100;

async function readProcessorTime(pid: number): Promise<number> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function createBody(number: number): string {
	return JSON.stringify({
		model: 'm', messages: [{role: 'user', content: `Case ${number}`}], max_tokens: 1, stream: true,
	});
}

async function measureFirstChunks(client: CompletionClient, address: string): Promise<number[]> {
	const times: number[] = [];
	for (let index = 0; index < warmUpRequests + samples; index++) {
		const result = await client.complete(address, 'red-key', createBody(index));
		if (!result.isComplete) {
			throw new Error(`request ${index} to ${address} was incomplete, status ${result.status}`);
		}

		if (index >= warmUpRequests) {
			times.push(result.timeToFirstChunk!);
		}
	}

	return times.toSorted((left, right) => left - right);
}

const round = (value: number) => Math.round(value * 100) / 100;
const percentile = (sorted: readonly number[], share: number) => sorted[Math.floor(sorted.length * share)]!;

const firstChunkCluster = new LocalCluster({hostCount: 1, plainHandlers: [respondWithBody('x')], modelHandlers: [streamCompletion(1)]});
const relayCluster = new LocalCluster({hostCount: 1, plainHandlers: [respondWithBody('x')], modelHandlers: [streamCompletion(chunksPerStream)]});
const client = new CompletionClient();
try {
	await firstChunkCluster.start();
	const directTimes = await measureFirstChunks(client, firstChunkCluster.servers.at(-1)!.address);
	const relayedTimes = await measureFirstChunks(client, firstChunkCluster.hosts[0]!.completionsAddress);
	await relayCluster.start();
	const [host] = relayCluster.hosts;
	const processorTimeBefore = await readProcessorTime(host!.process.pid);
	for (let completedRounds = 0; completedRounds < rounds; completedRounds++) {
		await Promise.all(Array.from({length: streams}, async (_, index) => client.complete(host!.completionsAddress, 'red-key', createBody(index))));
	}

	const processorTime = await readProcessorTime(host!.process.pid) - processorTimeBefore;
	const result = {
		samples,
		firstPieceDirect: {p50: round(percentile(directTimes, 0.5)), p99: round(percentile(directTimes, 0.99))},
		firstPieceThroughHost: {p50: round(percentile(relayedTimes, 0.5)), p99: round(percentile(relayedTimes, 0.99))},
		addedAtP50: round(percentile(relayedTimes, 0.5) - percentile(directTimes, 0.5)),
		piecesPerProcessorSecond: Math.round(rounds * streams * chunksPerStream / processorTime),
	};
	process.stdout.write(`${JSON.stringify(result, undefined, '\t')}\n`);
	await writeFile('docs/bench.json', `${JSON.stringify(result, undefined, '\t')}\n`);
} finally {
	await client.dispose();
	await firstChunkCluster.dispose();
	await relayCluster.dispose();
}
