import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFile} from 'node:fs/promises';
import {request} from 'undici';
import {LocalCluster} from '../packages-private/local-cluster/src/index.js';
import {
	type Point, type Slope, fitSlope, measureCoreSlopes, measureStaleness,
} from '../packages-private/measure/src/index.js';

// Measures the slopes that docs/CAPACITY.md works with: the decision code in this process, and idle systems of real processes.

const settleTime = 6000;
const sampleTime = 8000;
const hostCounts = [3, 9, 18, 30];

/** The contact settings of the size of two years: one exchange a second, and bounds that go with it. */
const twoYearContact = {
	exchangeIntervalMilliseconds: 1000,
	exchangeFanout: 1,
	watchersPerFailureDomain: 3,
	boundMilliseconds: 12_000,
	removalMilliseconds: 30_000,
};

type HostSample = {readonly processorSeconds: number; readonly peerBytes: number; readonly residentBytes: number};

type IdleSample = {readonly hosts: number; readonly processor: number; readonly bytes: number; readonly resident: number; readonly reads: number; readonly writes: number};

async function pause(time: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

async function sampleHost(address: string): Promise<HostSample> {
	const response = await request(`http://${address}/metrics`);
	const text = await response.body.text();
	const read = (name: string) => Number(new RegExp(`^lacewingpoint_${name} (.+)$`, 'mv').exec(text)?.[1]);
	return {processorSeconds: read('processor_seconds'), peerBytes: read('peer_bytes'), residentBytes: read('resident_bytes')};
}

async function storeCounters(cluster: LocalCluster): Promise<{readonly reads: number; readonly writes: number}> {
	const response = await request(`http://${cluster.platformAddress}/counters`);
	return await response.body.json() as {readonly reads: number; readonly writes: number};
}

function median(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)]!;
}

async function measureIdle(hosts: number): Promise<IdleSample> {
	const cluster = new LocalCluster({
		name: 'idle', hosts, controllers: 0, engines: 0, services: 0, settings: {contact: twoYearContact},
	});
	try {
		await cluster.startBackends();
		await cluster.startHosts();
		await pause(settleTime);
		const before = await Promise.all(cluster.hosts.map(async host => sampleHost(host.operatorsAddress)));
		const storeBefore = await storeCounters(cluster);
		await pause(sampleTime);
		const after = await Promise.all(cluster.hosts.map(async host => sampleHost(host.operatorsAddress)));
		const storeAfter = await storeCounters(cluster);
		const seconds = sampleTime / 1000;
		return {
			hosts,
			processor: median(after.map((sample, index) => sample.processorSeconds - before[index]!.processorSeconds)) * 1000 / seconds,
			bytes: median(after.map((sample, index) => sample.peerBytes - before[index]!.peerBytes)) / seconds,
			resident: median(after.map(sample => sample.residentBytes)) / 1_048_576,
			reads: (storeAfter.reads - storeBefore.reads) / seconds,
			writes: (storeAfter.writes - storeBefore.writes) / seconds,
		};
	} finally {
		await cluster.dispose();
	}
}

async function bareProcessMemory(): Promise<number> {
	const program = 'require("node:http").createServer().listen(0, "127.0.0.1", () => { setTimeout(() => { console.log(process.memoryUsage.rss()); process.exit(0); }, 1000); });';
	const child = spawn(process.execPath, ['-e', program], {stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	child.stdout.on('data', chunk => {
		output += String(chunk);
	});
	await once(child, 'close');
	return Number(output) / 1_048_576;
}

function print({name, unit, per, slope, intercept, fit, points}: Slope): void {
	const range = `${points[0]!.x} to ${points.at(-1)!.x}`;
	process.stdout.write(`${name}: ${slope.toPrecision(3)} ${unit} per ${per} + ${intercept.toPrecision(3)} (${range}, fit ${fit.toFixed(3)}, last ${points.at(-1)!.y.toPrecision(4)})\n`);
}

const core = measureCoreSlopes();
for (const slope of core) {
	print(slope);
}

const staleness = [9, 50, 150, 550].map(hosts => measureStaleness(hosts));
for (const result of staleness) {
	process.stdout.write(`staleness at ${result.hosts} hosts, one exchange a second: store ${Math.round(result.storeAge)} ms, majority ${Math.round(result.quorumAge)} ms\n`);
}

const idle: IdleSample[] = [];
for (const hosts of hostCounts) {
	const sample = await measureIdle(hosts);
	idle.push(sample);
	process.stdout.write(`idle, ${hosts} hosts: ${sample.processor.toFixed(2)} ms/s processor, ${Math.round(sample.bytes)} bytes/s between peers, `
		+ `${sample.resident.toFixed(0)} MiB resident, store ${sample.reads.toFixed(1)} reads/s ${sample.writes.toFixed(1)} writes/s
`);
}

const pointsOf = (read: (sample: IdleSample) => number): Point[] => idle.map(sample => ({x: sample.hosts, y: read(sample)}));
const processes = [
	fitSlope('processor of an idle router', {unit: 'ms a second', per: 'host'}, pointsOf(sample => sample.processor)),
	fitSlope('bytes between peers of an idle router', {unit: 'bytes a second', per: 'host'}, pointsOf(sample => sample.bytes)),
	fitSlope('resident memory of an idle router', {unit: 'MiB', per: 'host'}, pointsOf(sample => sample.resident)),
];
for (const slope of processes) {
	print(slope);
}

const bareMemory = await bareProcessMemory();
process.stdout.write(`resident memory of a bare process with an HTTP server: ${bareMemory.toFixed(0)} MiB\n`);
await writeFile('docs/slopes.json', `${JSON.stringify({
	core, staleness, idle, processes, bareMemory,
}, undefined, '\t')}\n`);
