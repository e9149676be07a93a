import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	Cells, ServerTable, rankEntryHosts, usableServers,
} from '../src/index.js';

const test = suite('Cells and addresses');
const seed = 4719;

const serverIds = (count: number) => Array.from({length: count}, (_, index) => `server-${index}`);

test('every server is in exactly one cell, whatever their number', () => {
	fc.assert(fc.property(fc.integer({min: 0, max: 300}), count => {
		const cells = new Cells('m', serverIds(count), 16);
		assert.equal(cells.names.flatMap(cell => cells.members(cell)).toSorted(), serverIds(count).toSorted());
	}), {seed, numRuns: 50});
});

test('a server that goes moves no other one to another cell while their number of cells stays', () => {
	const before = new Cells('m', serverIds(100), 16);
	const after = new Cells('m', serverIds(99), 16);
	for (const cell of after.names) {
		assert.equal(after.members(cell), before.members(cell).filter(id => id !== 'server-99'));
	}
});

test('of a model with many cells only those in use are known in detail', () => {
	const table = new ServerTable({
		cellSize: 16, initialTokensPerSecond: 1000, firstBackoff: 500, longestBackoff: 8000,
	});
	table.configure(serverIds(100).map(id => ({
		id, address: id, failureDomain: 'd', serves: 'm', isDrained: false,
	})));
	const [cell] = table.cells('m').rank('workspace');
	assert.equal(table.rowsInUse('m', 0), []);
	table.noteCellUsed(cell!, 0);
	assert.equal(table.rowsInUse('m', 1000).map(row => row.description.id), table.cells('m').members(cell!));
});

test('servers passed over after failures are used when no other is left, drained and leaving ones never', () => {
	const table = new ServerTable({
		cellSize: 16, initialTokensPerSecond: 1000, firstBackoff: 500, longestBackoff: 8000,
	});
	table.configure(serverIds(3).map((id, index) => ({
		id, address: id, failureDomain: 'd', serves: 'm', isDrained: index === 0,
	})));
	table.setLeaving('server-1', true);
	table.noteFailure('server-2', 0);
	assert.equal(usableServers(table.rows(), 1).map(row => row.description.id), ['server-2']);
});

const hosts = Array.from({length: 9}, (_, index) => ({id: `h${index}`, failureDomain: `d${index % 3}`, callersAddress: `h${index}`}));

test('all callers of a cell are given the same primary; its fallback of a lost domain is in another one', () => {
	const rankings = ['d0', 'd1', 'd2', undefined].map(failureDomain => rankEntryHosts({cell: 'm 0', failureDomain}, hosts));
	assert.is(new Set(rankings.map(([primary]) => primary!.id)).size, 1);
	for (const ranking of rankings) {
		assert.is(ranking.length, hosts.length);
		assert.is(new Set(ranking.slice(-4).map(host => host.failureDomain)).size > 1, true);
	}
});

test('when the primary goes, the others keep their order', () => {
	const [primary, ...rest] = rankEntryHosts({cell: 'm 0', failureDomain: undefined}, hosts);
	const without = rankEntryHosts({cell: 'm 0', failureDomain: undefined}, hosts.filter(host => host !== primary));
	assert.is(without.length, rest.length);
	assert.not(without.includes(primary!));
});

test.run();
