import {createSeededRandom} from '@lacewingpoint/shared';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findPartOwners, sampleMatchingServers, sampleServers} from '../src/index.js';

const test = suite('sampleServers');
const seed = 4751;
const createServers = (count: number) => Array.from({length: count}, (_, index) => ({id: `server-${index}`}));

test('few servers are all compared', () => {
	const servers = createServers(16);
	assert.is(sampleServers(servers, new Set(), createSeededRandom(1)), servers);
});

test('a sample has the given size, holds the owners, and holds no server twice', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 200}), fc.array(fc.nat({max: 250}), {maxLength: 4}), fc.nat(), (count, owners, randomSeed) => {
		const servers = createServers(count);
		const ownerIds = new Set(owners.map(index => `server-${index}`));
		const ids = sampleServers(servers, ownerIds, createSeededRandom(randomSeed), 8).map(server => server.id);
		assert.is(ids.length, Math.min(count, 8));
		assert.is(new Set(ids).size, ids.length);
		for (const {id} of servers) {
			assert.ok(!ownerIds.has(id) || ids.includes(id));
		}
	}), {seed});
});

test('every server is selected about as often', () => {
	const random = createSeededRandom(seed);
	const servers = createServers(40);
	const counts = new Map<string, number>();
	for (let round = 0; round < 4000; round++) {
		for (const {id} of sampleServers(servers, new Set(), random, 8)) {
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}
	}

	for (const {id} of servers) {
		assert.ok(Math.abs(counts.get(id)! - 800) < 160, `${id}: ${counts.get(id)}`);
	}
});

test('a sample of matching servers has the given size if enough match, and holds no server twice', () => {
	fc.assert(fc.property(fc.integer({min: 0, max: 60}), fc.integer({min: 1, max: 5}), fc.nat(), (count, divisor, randomSeed) => {
		const numbers = Array.from({length: count}, (_, index) => index);
		const matches = (number: number) => number % divisor === 0;
		let checked = 0;
		const selected = sampleMatchingServers(numbers, number => {
			checked++;
			return matches(number);
		}, createSeededRandom(randomSeed), 8);
		const matching = numbers.filter(number => matches(number));
		assert.is(selected.length, Math.min(matching.length, 8));
		assert.is(new Set(selected).size, selected.length);
		assert.ok(selected.every(number => matches(number)));
		assert.ok(checked <= count);
		if (divisor === 1) {
			assert.is(checked, selected.length);
		}
	}), {seed});
});

test('every matching server is sampled about as often', () => {
	const random = createSeededRandom(seed);
	const numbers = Array.from({length: 80}, (_, index) => index);
	const counts = new Map<number, number>();
	for (let round = 0; round < 4000; round++) {
		for (const number of sampleMatchingServers(numbers, candidate => candidate % 2 === 0, random, 8)) {
			counts.set(number, (counts.get(number) ?? 0) + 1);
		}
	}

	assert.is(counts.size, 40);
	for (const [number, count] of counts) {
		assert.ok(Math.abs(count - 800) < 160, `${number}: ${count}`);
	}
});

test('the owners of parts are the same whatever the order of the servers, and few change when a server is added', () => {
	const parts = Array.from({length: 200}, (_, index) => ({id: `part-${index}`, tokens: 1}));
	const servers = createServers(20);
	const ownersOf = (list: typeof servers) => parts.map(part => [...findPartOwners([part], list)][0]);
	assert.equal(ownersOf(servers), ownersOf(servers.toReversed()));
	const moved = ownersOf([...servers, {id: 'new'}]).filter((owner, index) => owner !== ownersOf(servers)[index]);
	assert.ok(moved.length < 30 && moved.every(owner => owner === 'new'), String(moved.length));
});

test.run();
