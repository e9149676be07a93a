import {DistributedRateLimiter} from '@lacewingpoint/coordination';
import {type HostMessage, decodeHostMessage, encodeHostMessage} from '@lacewingpoint/host';
import {
	type EngineCandidate, EnginePlacer, PromptCacheIndex, RouteIndex, noLoad,
} from '@lacewingpoint/routing';
import {type DataPoint, type LinearFit, fitLine} from './linear-fit.js';

const microseconds = 1000;
const repetitions = 5;

// The median of several runs: one run on a shared machine says little.
function timeOf(count: number, prepare: () => () => void): number {
	const samples = Array.from({length: repetitions}, () => {
		const run = prepare();
		const startedAt = performance.now();
		for (let turn = 0; turn < count; turn++) {
			run();
		}

		return (performance.now() - startedAt) * microseconds / count;
	});
	return samples.toSorted((left, right) => left - right)[Math.floor(repetitions / 2)]!;
}

function memoryOf(create: () => unknown): number {
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const held = create();
	globalThis.gc?.();
	const after = process.memoryUsage().heapUsed;
	return held === undefined ? 0 : after - before;
}

const pointsOf = (xs: readonly number[], measure: (x: number) => number): DataPoint[] => xs.map(x => ({x, y: measure(x)}));

const names = (count: number, prefix: string) => Array.from({length: count}, (_, index) => `${prefix}-${index}`);

function messageOf(workspaces: number, servers: number): HostMessage {
	return {
		name: 'host-1',
		incarnation: '0123456789ab',
		isWhole: true,
		host: {
			name: 'host-1', incarnation: '0123456789ab', failureDomain: 'domain', region: 'region', clientAddress: '10.1.0.24:8606', peerAddress: '10.1.0.24:7600', snapshotAddress: '10.1.0.24:7601',
		},
		state: 'serving',
		configuration: 17,
		revision: 120_000,
		charged: Object.fromEntries(names(workspaces, 'workspace').map(name => [name, 1_234_567])),
		loads: Object.fromEntries(names(servers, 'i-0123456').map(name => [name, [12, 34_567, 45_678]])),
		placements: [],
		weights: [],
		loading: [],
		unreachable: [],
		emptying: [],
		deaths: [],
	};
}

function ledgerOf(workspaces: number): DistributedRateLimiter {
	const ledger = new DistributedRateLimiter({heartbeatTimeout: 750, startupShare: 0.25, unresponsivePeerShare: 0.5});
	ledger.setLimits(new Map(names(workspaces, 'workspace').map(name => [name, {unitsPerSecond: 1000, burstUnits: 1000}])), 0);
	ledger.setPeers(['peer'], 0);
	return ledger;
}

function rowsOf(count: number): EngineCandidate[] {
	return names(count, 'server').map(id => ({
		id, address: id, failureDomain: 'a', weightsVersion: 1, isOutdated: false, slots: 32, memoryTokens: 171_052, load: noLoad, slowness: 1, isRolloutDraining: false, isFailing: false,
	}));
}

/**
 * Measures how the parts of a host grow with what they hold.
 *
 * @returns One line each.
 */
export function measureSlopes(): LinearFit[] {
	const parts = names(3, 'part').map(id => ({id, tokens: 3000}));
	return [
		fitLine('a datagram', {unit: 'bytes', per: 'workspace'}, pointsOf([5, 50, 390], count => encodeHostMessage(messageOf(count, 0)).length)),
		fitLine('a datagram', {unit: 'bytes', per: 'server'}, pointsOf([8, 16, 32], count => encodeHostMessage(messageOf(0, count)).length)),
		fitLine('packing and taking in a datagram', {unit: 'microseconds', per: 'workspace'}, pointsOf([5, 50, 390], count => timeOf(300, () => {
			const message = messageOf(count, 8);
			return () => {
				decodeHostMessage(encodeHostMessage(message));
			};
		}))),
		fitLine('taking in a peer\'s charges', {unit: 'microseconds', per: 'workspace'}, pointsOf([5, 50, 390], count => timeOf(300, () => {
			const ledger = ledgerOf(count);
			let total = 0;
			return () => {
				total++;
				ledger.mergePeerTotals('peer', 'start', new Map(names(count, 'workspace').map(name => [name, total])), total);
			};
		}))),
		fitLine('a placement', {unit: 'microseconds', per: 'server'}, pointsOf([8, 13, 26, 52], count => timeOf(200, () => {
			const placer = new EnginePlacer(new PromptCacheIndex());
			const rows = rowsOf(count);
			return () => {
				placer.choosePlacement({
					parts, promptTokens: 9000, outputTokens: 10, objective: 500, cacheSaltFor: version => `v${version}`,
				}, rows, {failureDomain: 'a', store: {address: 'store', failureDomain: 'a'}, now: 1000});
			};
		}))),
		fitLine('memory of a configuration', {unit: 'bytes', per: 'route'}, pointsOf([100, 400, 1600], count => memoryOf(() => new RouteIndex({
			version: 1,
			routes: names(count, 'route').map(name => ({
				name, host: `${name}.example`, prefix: `/${name}/`, repeatability: 'idempotent', timeout: 1000, objective: 200, rank: 0, services: [{service: 'plain', weight: 1}], maxServers: 2, isOpen: false,
			})),
			services: [],
			limits: {
				headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1,
			},
		})))),
		fitLine('memory of known prompt parts', {unit: 'bytes', per: 'part'}, pointsOf([20_000, 80_000, 200_000], count => memoryOf(() => {
			const index = new PromptCacheIndex();
			for (const id of names(count, 'part')) {
				index.recordParts('server', 'salt', [{id, tokens: 3000}], 0);
			}

			return index;
		}))),
	];
}
