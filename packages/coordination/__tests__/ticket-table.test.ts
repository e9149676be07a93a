import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type Register, TicketTable} from '../src/index.js';

const test = suite('TicketTable');
const seed = 4711;

const registers = fc.array(fc.record({
	kind: fc.constant('workspace' as const),
	name: fc.constantFrom('a', 'b', 'c'),
	number: fc.integer({min: 1, max: 9}),
	state: fc.option(fc.record({tokensPerSecond: fc.integer({min: 0, max: 3}), burstTokens: fc.constant(1), weight: fc.constant(1)})),
}), {maxLength: 20});

function tableOf(list: readonly Register[]): TicketTable {
	const table = new TicketTable();
	table.merge(list);
	return table;
}

test('any order, repetition and grouping of tickets ends in the same state', () => {
	const repeated = registers.chain(list => fc.shuffledSubarray([...list, ...list], {minLength: 2 * list.length}).map(shuffled => ({list, shuffled})));
	fc.assert(fc.property(repeated, ({list, shuffled}) => {
		assert.is(tableOf(shuffled).digest(), tableOf(list).digest());
	}), {seed});
});

test('no object ever goes back to a lower number', () => {
	fc.assert(fc.property(registers, list => {
		const table = new TicketTable();
		for (const register of list) {
			const before = table.get('workspace', register.name)?.number ?? 0;
			table.merge([register]);
			assert.ok(table.get('workspace', register.name)!.number >= before);
		}
	}), {seed});
});

test('a replica that follows cursors through losses and restarts of the other ends in its state', () => {
	fc.assert(fc.property(registers, fc.array(fc.boolean(), {maxLength: 20}), (list, losses) => {
		const source = new TicketTable();
		const follower = new TicketTable();
		let cursor = 0;
		for (const [index, register] of list.entries()) {
			source.merge([register]);
			const changes = source.changesSince(cursor);
			if (losses[index] !== true) {
				follower.merge(changes.registers);
				cursor = changes.cursor;
			}
		}

		follower.merge(source.changesSince(cursor).registers);
		assert.is(follower.digest(), source.digest());
	}), {seed});
});

test('a deletion keeps its number, so an older ticket cannot bring the object back', () => {
	const state = {tokensPerSecond: 1, burstTokens: 1, weight: 1};
	const table = tableOf([{
		kind: 'workspace', name: 'a', number: 5, state: null,
	}]);
	table.merge([{
		kind: 'workspace', name: 'a', number: 4, state,
	}]);
	assert.is(table.get('workspace', 'a')!.state, null);
	assert.equal(table.list('workspace'), []);
});

test.run();
