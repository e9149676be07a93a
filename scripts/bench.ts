import {readFile, writeFile} from 'node:fs/promises';
import {CompletionClient, LocalCluster} from '../packages-private/local-cluster/src/index.js';
import {respondWithBody, streamCompletion} from '../packages-private/stand-ins/src/index.js';

// Times what one host adds to a first piece, and how many pieces it relays in a second of its processor.

const warmUps = 100;
const samples = 500;
const streams = 20;
const piecesPerStream = 500;
const rounds = 5;

/** Processor time is counted in hundredths of a second by Linux. */
const ticksPerSecond = 100;

async function processorSeconds(pid: number): Promise<number> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function bodyOf(number: number): string {
	return JSON.stringify({
		model: 'm', messages: [{role: 'user', content: `Case ${number}`}], max_tokens: 1, stream: true,
	});
}

async function firstPieces(client: CompletionClient, address: string): Promise<number[]> {
	const times: number[] = [];
	for (let index = 0; index < warmUps + samples; index++) {
		const end = await client.complete(address, 'red-key', bodyOf(index));
		if (!end.isComplete) {
			throw new Error(`request ${index} at ${address} ended with status ${end.status}`);
		}

		if (index >= warmUps) {
			times.push(end.timeToFirstChunk!);
		}
	}

	return times.toSorted((left, right) => left - right);
}

const round = (value: number) => Math.round(value * 100) / 100;
const at = (sorted: readonly number[], share: number) => sorted[Math.floor(sorted.length * share)]!;

const short = new LocalCluster({hostCount: 1, plainHandlers: [respondWithBody('x')], modelHandlers: [streamCompletion(1)]});
const long = new LocalCluster({hostCount: 1, plainHandlers: [respondWithBody('x')], modelHandlers: [streamCompletion(piecesPerStream)]});
const client = new CompletionClient();
try {
	await short.start();
	const direct = await firstPieces(client, short.servers.at(-1)!.address);
	const through = await firstPieces(client, short.hosts[0]!.completionsAddress);
	await long.start();
	const [host] = long.hosts;
	const before = await processorSeconds(host!.process.pid);
	for (let turn = 0; turn < rounds; turn++) {
		await Promise.all(Array.from({length: streams}, async (_, index) => client.complete(host!.completionsAddress, 'red-key', bodyOf(index))));
	}

	const seconds = await processorSeconds(host!.process.pid) - before;
	const result = {
		samples,
		firstPieceDirect: {p50: round(at(direct, 0.5)), p99: round(at(direct, 0.99))},
		firstPieceThroughHost: {p50: round(at(through, 0.5)), p99: round(at(through, 0.99))},
		addedAtP50: round(at(through, 0.5) - at(direct, 0.5)),
		piecesPerProcessorSecond: Math.round(rounds * streams * piecesPerStream / seconds),
	};
	process.stdout.write(`${JSON.stringify(result, undefined, '\t')}\n`);
	await writeFile('docs/bench.json', `${JSON.stringify(result, undefined, '\t')}\n`);
} finally {
	await client.dispose();
	await short.dispose();
	await long.dispose();
}
