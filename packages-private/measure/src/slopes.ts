import {DistributedRateLimiter} from '@lacewingpoint/coordination';
import {type HostMessage, decodeHostMessage, encodeHostMessage} from '@lacewingpoint/host';
import {
	type EngineCandidate, EnginePlacer, PromptCacheIndex, RouteIndex, noLoad,
} from '@lacewingpoint/routing';
import {type DataPoint, type LinearFit, fitLine} from './linear-fit.js';

const microsecondsPerMillisecond = 1000;
const repetitions = 5;

// Returns the time of one call in microseconds: the median of several runs, because a single run on a shared machine is unreliable.
function measureTime(count: number, prepare: () => () => void): number {
	const samples = Array.from({length: repetitions}, () => {
		const run = prepare();
		const startedAt = performance.now();
		for (let iteration = 0; iteration < count; iteration++) {
			run();
		}

		return (performance.now() - startedAt) * microsecondsPerMillisecond / count;
	});
	return samples.toSorted((left, right) => left - right)[Math.floor(repetitions / 2)]!;
}

function measureMemory(create: () => unknown): number {
	globalThis.gc?.();
	const heapBefore = process.memoryUsage().heapUsed;
	const value = create();
	globalThis.gc?.();
	const heapAfter = process.memoryUsage().heapUsed;
	return value === undefined ? 0 : heapAfter - heapBefore;
}

const measurePoints = (xs: readonly number[], measure: (x: number) => number): DataPoint[] => xs.map(x => ({x, y: measure(x)}));

const createNames = (count: number, prefix: string) => Array.from({length: count}, (_, index) => `${prefix}-${index}`);

function createHostMessage(workspaces: number, servers: number): HostMessage {
	return {
		name: 'host-1',
		incarnation: '0123456789ab',
		isWhole: true,
		host: {
			name: 'host-1', incarnation: '0123456789ab', failureDomain: 'domain', region: 'region', clientAddress: '10.1.0.24:8606', peerAddress: '10.1.0.24:7600', snapshotAddress: '10.1.0.24:7601', capacity: 1,
		},
		state: 'serving',
		role: 'relay',
		hostCount: 1,
		hasStoreContact: true,
		configuration: 17,
		revision: 120_000,
		charged: Object.fromEntries(createNames(workspaces, 'workspace').map(name => [name, 1_234_567])),
		loads: Object.fromEntries(createNames(servers, 'i-0123456').map(name => [name, [12, 34_567, 45_678]])),
		placements: [],
		weights: [],
		loading: [],
		unreachable: [], leaving: [],
		emptying: [],
		deaths: [], limits: [], origins: [], executed: [], paces: [], quarantined: [],
		hosts: [],
		departed: [],
		updates: [],
	};
}

function createRateLimiter(workspaces: number): DistributedRateLimiter {
	const rateLimiter = new DistributedRateLimiter({heartbeatTimeout: 750, startupShare: 0.25, unresponsivePeerShare: 0.5});
	rateLimiter.setLimits(new Map(createNames(workspaces, 'workspace').map(name => [name, {unitsPerSecond: 1000, burstUnits: 1000}])), 0);
	rateLimiter.setPeers([{name: 'peer', hostCount: 1, isMember: false}], 0);
	return rateLimiter;
}

function createCandidates(count: number): EngineCandidate[] {
	return createNames(count, 'server').map(id => ({
		id, address: id, failureDomain: 'a', weightsVersion: 1, isOutdated: false, slots: 32, memoryTokens: 171_052, load: noLoad, slowness: 1, isRolloutDraining: false, isFailing: false,
	}));
}

/**
 * Measures how message sizes, processing times and memory of a host grow with the number of workspaces, servers, routes and prompt
 * parts.
 *
 * @returns A linear fit for each measured quantity.
 */
export function measureSlopes(): LinearFit[] {
	const parts = createNames(3, 'part').map(id => ({id, tokens: 3000}));
	return [
		fitLine('a datagram', {unit: 'bytes', per: 'workspace'}, measurePoints([5, 50, 390], count => encodeHostMessage(createHostMessage(count, 0)).length)),
		fitLine('a datagram', {unit: 'bytes', per: 'server'}, measurePoints([8, 16, 32], count => encodeHostMessage(createHostMessage(0, count)).length)),
		fitLine('packing and taking in a datagram', {unit: 'microseconds', per: 'workspace'}, measurePoints([5, 50, 390], count => measureTime(300, () => {
			const message = createHostMessage(count, 8);
			return () => {
				decodeHostMessage(encodeHostMessage(message));
			};
		}))),
		fitLine('taking in a peer\'s charges', {unit: 'microseconds', per: 'workspace'}, measurePoints([5, 50, 390], count => measureTime(300, () => {
			const rateLimiter = createRateLimiter(count);
			let total = 0;
			return () => {
				total++;
				rateLimiter.mergePeerTotals('peer', 'start', new Map(createNames(count, 'workspace').map(name => [name, total])), total);
			};
		}))),
		fitLine('a placement', {unit: 'microseconds', per: 'server'}, measurePoints([8, 13, 26, 52], count => measureTime(200, () => {
			const placer = new EnginePlacer(new PromptCacheIndex());
			const candidates = createCandidates(count);
			return () => {
				placer.choosePlacement({
					parts, promptTokens: 9000, outputTokens: 10, objective: 500, cacheSaltFor: version => `v${version}`,
				}, candidates, {failureDomain: 'a', stores: [{address: 'store', failureDomain: 'a'}], now: 1000});
			};
		}))),
		fitLine('memory of a configuration', {unit: 'bytes', per: 'route'}, measurePoints([100, 400, 1600], count => measureMemory(() => new RouteIndex({
			version: 1,
			routes: createNames(count, 'route').map(name => ({
				name, host: `${name}.example`, prefix: `/${name}/`, repeatability: 'idempotent', timeout: 1000, objective: 200, rank: 0, services: [{service: 'plain', weight: 1}], maxServers: 2, isOpen: false,
			})),
			services: [],
			limits: {
				headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1,
			},
		})))),
		fitLine('memory of known prompt parts', {unit: 'bytes', per: 'part'}, measurePoints([20_000, 80_000, 200_000], count => measureMemory(() => {
			const index = new PromptCacheIndex();
			for (const id of createNames(count, 'part')) {
				index.recordParts('server', 'salt', [{id, tokens: 3000}], 0);
			}

			return index;
		}))),
	];
}
