import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type ContactAges, decodeAges, encodeAges} from '../src/index.js';

const test = suite('Ages on the wire');
const seed = 4714;

const epoch = {
	number: 7,
	hosts: Array.from({length: 6}, (_, index) => ({
		id: `h${index}`, failureDomain: 'd', callersAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2',
	})),
};

const ages: fc.Arbitrary<ContactAges> = fc.record({
	store: fc.option(fc.double({min: 0, max: 20_000, noNaN: true}), {nil: undefined}),
	hosts: fc.uniqueArray(fc.record({
		id: fc.nat({max: 7}).map(index => `h${index}`),
		age: fc.double({min: 0, max: 30_000, noNaN: true}),
		epoch: fc.integer({min: 5, max: 7}),
		isLeaving: fc.constantFrom(true, undefined),
	}), {selector: host => host.id}),
});

test('what is unpacked never looks more recent than it was, and says the same of every member', () => {
	fc.assert(fc.property(ages, original => {
		const unpacked = decodeAges(encodeAges(original, epoch), epoch);
		assert.ok((unpacked.store ?? 0) >= (original.store ?? 0));
		for (const host of unpacked.hosts) {
			const {age, ...rest} = original.hosts.find(candidate => candidate.id === host.id)!;
			assert.ok(host.age >= age);
			assert.equal({epoch: host.epoch, isLeaving: host.isLeaving}, {epoch: rest.epoch, isLeaving: rest.isLeaving});
		}
	}), {seed});
});

test('five hundred and fifty hosts take less than a kilobyte', () => {
	const hosts = Array.from({length: 550}, (_, index) => ({...epoch.hosts[0]!, id: `h${index}`}));
	const encoded = encodeAges({store: 12, hosts: hosts.map(host => ({id: host.id, age: 1000, epoch: 7}))}, {number: 7, hosts});
	assert.ok(JSON.stringify(encoded).length < 1000);
});

test.run();
