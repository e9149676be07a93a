import {
	type Epoch, type Register, ContactTable, CreditTable, TicketTable, decodeAges, encodeAges,
} from '@lacewingpoint/coordination';
import {
	PredictedTimePlacement, PrefixIndex, ServerTable, hashBlocks, placementOptions, usableServers,
} from '@lacewingpoint/routing';
import {createSeededRandom} from '@lacewingpoint/shared';
import {type Point, type Slope, fitSlope} from './slope-fit.js';

const microseconds = 1000;
const repetitions = 5;

type Prepared = {readonly run: () => void; readonly count: number};

// The median of several runs: one run on a shared machine says little.
function timeOf(prepare: () => Prepared): number {
	const samples = Array.from({length: repetitions}, () => {
		const {run, count} = prepare();
		const startedAt = performance.now();
		run();
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

const points = (xs: readonly number[], measure: (x: number) => number): Point[] => xs.map(x => ({x, y: measure(x)}));

function epochOf(hosts: number): Epoch {
	return {
		number: 1,
		hosts: Array.from({length: hosts}, (_, index) => ({
			id: `host-${index}`, failureDomain: `domain-${index % 11}`, callersAddress: `10.0.0.1:${index}`, peerAddress: `10.0.0.2:${index}`,
		})),
	};
}

function contactOf(epoch: Epoch): ContactTable {
	const contact = new ContactTable({self: 'host-0', bound: 12_000, startedAt: 0});
	contact.adoptEpoch(epoch);
	contact.noteStoreRead(0);
	contact.noteExchange(0, {store: 0, hosts: epoch.hosts.map(host => ({id: host.id, age: 0, epoch: 1}))});
	return contact;
}

function contactSlopes(): Slope[] {
	const hosts = [9, 50, 150, 300, 550];
	return [
		fitSlope('ages of one exchange, packed', {unit: 'bytes', per: 'host'}, points(hosts, count => {
			const epoch = epochOf(count);
			return JSON.stringify(encodeAges(contactOf(epoch).ages(100), epoch)).length;
		})),
		fitSlope('packing and taking in the ages of one exchange', {unit: 'microseconds', per: 'host'}, points(hosts, count => {
			const epoch = epochOf(count);
			const contact = contactOf(epoch);
			return timeOf(() => ({
				count: 200,
				run() {
					for (let round = 0; round < 200; round++) {
						contact.noteExchange(round, decodeAges(encodeAges(contact.ages(round), epoch), epoch));
					}
				},
			}));
		})),
		fitSlope('contact decision by quorum', {unit: 'microseconds', per: 'host'}, points(hosts, count => {
			const contact = contactOf(epochOf(count));
			return timeOf(() => ({
				count: 1000,
				run() {
					for (let round = 0; round < 1000; round++) {
						contact.isEpochHeldByQuorum();
					}
				},
			}));
		})),
	];
}

const registerOf = (index: number): Register => ({
	kind: 'key', name: `key-${index}`, number: index + 1, state: {sha256: 'a'.repeat(64), workspace: `workspace-${index % 390}`},
});

function ticketSlopes(): Slope[] {
	const objects = [500, 1000, 2000, 4000];
	return [
		fitSlope('taking in a whole configuration', {unit: 'microseconds', per: 'object'}, points(objects, count => timeOf(() => {
			const registers = Array.from({length: count}, (_, index) => registerOf(index));
			return {
				count: 1,
				run() {
					new TicketTable().merge(registers);
				},
			};
		}))),
		fitSlope('memory of a configuration', {unit: 'bytes', per: 'object'}, points(objects, count => memoryOf(() => {
			const table = new TicketTable();
			table.merge(Array.from({length: count}, (_, index) => registerOf(index)));
			return table;
		}))),
		fitSlope('a changed object on the wire', {unit: 'bytes', per: 'object'}, points([1, 10, 100], count => JSON.stringify(Array.from({length: count}, (_, index) => registerOf(index))).length)),
	];
}

function creditSlopes(): Slope[] {
	const workspaces = [5, 50, 150, 390];
	const create = (count: number) => {
		const credit = new CreditTable({
			self: 'host-0', homeHosts: 9, loanLifetime: 400, loanMargin: 200, longestGap: 1000,
		}, 0);
		credit.setEpoch(epochOf(9));
		for (let index = 0; index < count; index++) {
			credit.setLimit(`workspace-${index}`, {tokensPerSecond: 1000, burstTokens: 4000});
		}

		return credit;
	};

	return [
		fitSlope('one tick of all rate shares', {unit: 'microseconds', per: 'workspace'}, points(workspaces, count => {
			const credit = create(count);
			let now = 1000;
			return timeOf(() => ({
				count: 500,
				run() {
					for (let round = 0; round < 500; round++) {
						now += 20;
						credit.tick(now, true);
					}
				},
			}));
		})),
		fitSlope('memory of rate shares', {unit: 'bytes', per: 'workspace'}, points(workspaces, count => memoryOf(() => create(count)))),
	];
}

function prefixSlopes(): Slope[] {
	const blocks = [20_000, 50_000, 100_000, 200_000];
	const create = (count: number) => {
		const index = new PrefixIndex({blocksPerServer: count, lifetime: 60_000});
		index.observe('server-0', '1', 'v1');
		for (let first = 0; first < count; first += 100) {
			index.learn('server-0', '1', Array.from({length: 100}, (_, offset) => (first + offset) * 7919), 0);
		}

		return index;
	};

	return [
		fitSlope('memory of prefix knowledge', {unit: 'bytes', per: 'block'}, points(blocks, count => memoryOf(() => create(count)))),
		fitSlope('taking in cache events of one stored and one removed block', {unit: 'microseconds', per: 'event'}, points([1000, 5000, 20_000], count => timeOf(() => {
			const index = create(20_000);
			return {
				count: 1,
				run() {
					for (let event = 1; event <= count; event++) {
						index.apply('server-0', {
							incarnation: '1', sequence: event, stored: [event * 31], removed: [event * 7919],
						}, 1);
					}
				},
			};
		}))),
		fitSlope('hashing a prompt', {unit: 'microseconds', per: 'block'}, points([10, 40, 80, 160], count => {
			const text = 'x'.repeat(count * 256);
			return timeOf(() => ({
				count: 200,
				run() {
					for (let round = 0; round < 200; round++) {
						hashBlocks('salt', text);
					}
				},
			}));
		})),
	];
}

/**
 * Times one placement decision.
 *
 * @param servers - The backend servers of the model.
 * @returns Microseconds, over a prompt of 80 blocks of which servers know parts.
 */
export function placementTime(servers: number): number {
	const table = new ServerTable({
		cellSize: 16, initialTokensPerSecond: 20_000, firstBackoff: 500, longestBackoff: 8000,
	});
	const index = new PrefixIndex({blocksPerServer: 2000, lifetime: 60_000});
	table.configure(Array.from({length: servers}, (_, number) => ({
		id: `server-${number}`, address: `10.0.0.1:${number}`, failureDomain: `domain-${number % 3}`, serves: 'model', isDrained: false,
	})));
	const prompts = Array.from({length: 50}, (_, prompt) => Array.from({length: 80}, (_block, block) => (prompt * 1000) + block));
	const random = createSeededRandom(1);
	const cell = table.cells('model').rank('workspace')[0]!;
	const members = table.cells('model').members(cell);
	for (const server of members) {
		index.observe(server, '1', 'v1');
		for (const prompt of prompts) {
			index.learn(server, '1', prompt.slice(0, Math.floor(random.next() * 80)), 0);
		}
	}

	const policy = new PredictedTimePlacement(index, placementOptions);
	return timeOf(() => ({
		count: 5000,
		run() {
			for (let round = 0; round < 5000; round++) {
				const blocks = prompts[round % prompts.length]!;
				const [own] = table.cells('model').rank('workspace');
				const rows = table.cells('model').members(own!).map(id => table.get(id)!);
				policy.choose({
					promptTokens: 5120, homeKey: blocks[15], avoided: new Set(), blocksFor: () => blocks,
				}, usableServers(rows, 1), 1);
			}
		},
	}));
}

/** @returns The slopes of the decision code, measured in this process. */
export function measureCoreSlopes(): Slope[] {
	return [
		...contactSlopes(),
		...ticketSlopes(),
		...creditSlopes(),
		...prefixSlopes(),
		fitSlope('one placement decision', {unit: 'microseconds', per: 'server'}, points([13, 100, 1000, 6000], servers => placementTime(servers))),
	];
}
