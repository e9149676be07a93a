import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Register} from '../src/index.js';
import {FakeFleet, bound} from './fake-fleet.js';

const test = suite('ContactTable');
const seed = 4712;
const size = 5;

const id = fc.nat({max: size}).map(index => `h${index}`);
const index = fc.nat({max: 40});

const someHosts = fc.uniqueArray(id, {minLength: 2, maxLength: size + 1});

type Step = (fleet: FakeFleet) => void;

let number = 0;

const key = (ticket: number): Register => ({
	kind: 'key', name: `k${ticket % 3}`, number: ticket, state: null,
});

function exchange(fleet: FakeFleet, from: string, to: string): void {
	fleet.sendExchange(from, to);
	fleet.answerExchange(-1);
	fleet.deliverExchange(-1);
}

function readStore(fleet: FakeFleet, host: string): void {
	fleet.readStore(host);
	fleet.answerStoreRead(-1);
	fleet.deliverStoreRead(-1);
}

// What goes on whether the store is up or not. Whole rounds among some hosts stand beside single steps, which alone rarely
// line up to an acceptance or to a majority.
const peerStep: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 6, arbitrary: fc.integer({min: 1, max: 1500}).map(time => (fleet: FakeFleet) => {
			fleet.advance(time);
		}),
	},
	{
		weight: 2, arbitrary: id.map(host => (fleet: FakeFleet) => {
			fleet.restart(host);
		}),
	},
	{
		weight: 4, arbitrary: fc.tuple(id, id).map(([from, to]) => (fleet: FakeFleet) => {
			if (from !== to) {
				fleet.sendExchange(from, to);
			}
		}),
	},
	{
		weight: 4, arbitrary: index.map(place => (fleet: FakeFleet) => {
			fleet.answerExchange(place);
		}),
	},
	{
		weight: 4, arbitrary: index.map(place => (fleet: FakeFleet) => {
			fleet.deliverExchange(place);
		}),
	},
	{
		weight: 8, arbitrary: fc.tuple(id, someHosts).map(([from, others]) => (fleet: FakeFleet) => {
			for (const to of others.filter(other => other !== from)) {
				exchange(fleet, from, to);
			}
		}),
	},
);

const storeStep: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 2, arbitrary: id.map(host => (fleet: FakeFleet) => {
			fleet.readStore(host);
			fleet.answerStoreRead(0);
		}),
	},
	{
		weight: 2, arbitrary: index.map(place => (fleet: FakeFleet) => {
			fleet.deliverStoreRead(place);
		}),
	},
	{
		weight: 2, arbitrary: id.map(host => (fleet: FakeFleet) => {
			fleet.maintainEpoch(host);
		}),
	},
	{
		weight: 4, arbitrary: id.map(host => (fleet: FakeFleet) => {
			fleet.askAcceptance(host);
		}),
	},
	{
		weight: 2, arbitrary: someHosts.map(hosts => (fleet: FakeFleet) => {
			for (const host of [...hosts, ...hosts]) {
				fleet.askAcceptance(host);
			}
		}),
	},
	{
		weight: 4, arbitrary: someHosts.map(hosts => (fleet: FakeFleet) => {
			number++;
			fleet.submit([key(number)]);
			for (const host of hosts) {
				readStore(fleet, host);
			}

			for (const host of [...hosts, ...hosts]) {
				fleet.askAcceptance(host);
			}
		}),
	},
);

// Phases in which the store is up and phases in which it is out, in turn.
const phases = fc.array(fc.tuple(
	fc.array(fc.oneof(peerStep, storeStep), {maxLength: 40}),
	fc.array(peerStep, {maxLength: 60}),
), {minLength: 1, maxLength: 4}).map(pairs => pairs.flatMap(([up, out]) => [...up, ...out]));

// What letting a host serve means: no ticket accepted longer ago than the bound may be missing there.
function assertServingHostsKnow(fleet: FakeFleet): void {
	for (const host of fleet.hosts.filter(candidate => candidate.contact.state(fleet.now) !== 'lost')) {
		for (const ticket of fleet.accepted.filter(({at}) => at < fleet.now - bound)) {
			assert.ok(host.tickets.holds(ticket.registers), `${host.id} serves at ${fleet.now} without the ticket accepted at ${ticket.at}`);
		}
	}
}

test('no host serves without a ticket accepted longer ago than the bound, whatever is lost, late, cut, restarted or replaced', () => {
	fc.assert(fc.property(phases, steps => {
		number = 0;
		const fleet = new FakeFleet(size, 1);
		for (const run of steps) {
			run(fleet);
			assertServingHostsKnow(fleet);
		}
	}), {seed, numRuns: 1500});
});

test('a host cut off from the store and the others refuses once the bound has passed', () => {
	const fleet = new FakeFleet(size);
	fleet.advance(bound);
	assert.is(fleet.host('h0').contact.state(fleet.now), 'store');
	fleet.advance(1);
	assert.is(fleet.host('h0').contact.state(fleet.now), 'lost');
});

test('with the store out, hosts that hear a majority go on serving', () => {
	const fleet = new FakeFleet(size);
	fleet.advance(bound + 1);
	exchange(fleet, 'h0', 'h1');
	assert.is(fleet.host('h0').contact.state(fleet.now), 'lost');
	exchange(fleet, 'h0', 'h2');
	assert.is(fleet.host('h0').contact.state(fleet.now), 'quorum');
});

test('three of five hosts cut off together keep serving, and so a ticket stored on the other side is not accepted', () => {
	const fleet = new FakeFleet(size);
	fleet.advance(bound + 1);
	fleet.submit([key(1)]);
	for (const side of ['h0', 'h1']) {
		readStore(fleet, side);
		fleet.askAcceptance(side);
		fleet.askAcceptance(side);
	}

	for (const [from, to] of [['h2', 'h3'], ['h2', 'h4']] as const) {
		exchange(fleet, from, to);
	}

	assert.is(fleet.host('h2').contact.state(fleet.now), 'quorum');
	assert.equal(fleet.accepted, []);
});

test('a host that wakes from a freeze refuses before any message has come', () => {
	const fleet = new FakeFleet(size);
	fleet.frozen.add('h0');
	fleet.advance(bound * 10);
	assert.is(fleet.host('h0').contact.state(fleet.now), 'lost');
});

test('a restarted host becomes ready from peers only when as many others as a majority have told it their state', () => {
	const fleet = new FakeFleet(size);
	fleet.advance(bound + 1);
	fleet.restart('h0');
	exchange(fleet, 'h0', 'h1');
	exchange(fleet, 'h0', 'h2');
	assert.not(fleet.host('h0').contact.isReady);
	exchange(fleet, 'h0', 'h3');
	assert.ok(fleet.host('h0').contact.isReady);
});

test('what a restarted host hears of from before its start does not make it ready', () => {
	const fleet = new FakeFleet(size);
	// The others know each other's states of now; then a ticket is accepted by three hosts, and one of them restarts.
	for (const to of ['h1', 'h2', 'h3', 'h4']) {
		exchange(fleet, 'h4', to);
	}

	fleet.advance(100);
	fleet.submit([key(1)]);
	for (const host of ['h0', 'h1', 'h2']) {
		readStore(fleet, host);
	}

	for (const host of ['h0', 'h1', 'h2', 'h0', 'h1', 'h2']) {
		fleet.askAcceptance(host);
	}

	assert.is(fleet.accepted.length, 1);
	fleet.restart('h0');
	exchange(fleet, 'h0', 'h4');
	assert.not(fleet.host('h0').contact.isReady, 'it would answer for a ticket that it acknowledged and forgot');
});

test('when all restart with the store out, none serves; the first that reads the store serves at once', () => {
	const fleet = new FakeFleet(size);
	for (const host of ['h0', 'h1', 'h2', 'h3', 'h4']) {
		fleet.restart(host);
	}

	for (const to of ['h1', 'h2', 'h3', 'h4']) {
		exchange(fleet, 'h0', to);
	}

	assert.is(fleet.host('h0').contact.state(fleet.now), 'lost');
	readStore(fleet, 'h0');
	assert.is(fleet.host('h0').contact.state(fleet.now), 'store');
});

test('a lost host leaves the epoch and a new one joins, each through a joint epoch', () => {
	const fleet = new FakeFleet(size, 1);
	const live = ['h0', 'h1', 'h2', 'h3', 'h5'];
	for (let round = 0; round < 40; round++) {
		fleet.advance(500);
		for (const host of live) {
			readStore(fleet, host);
		}

		for (const from of live) {
			for (const to of live.filter(other => other !== from)) {
				exchange(fleet, from, to);
			}
		}

		for (const host of live) {
			fleet.maintainEpoch(host);
		}
	}

	assert.is(fleet.storeEpoch.previousHosts, undefined);
	assert.equal(fleet.storeEpoch.hosts.map(host => host.id), live);
});

test('a maintainer that wakes from a freeze removes no host that it could not hear', () => {
	const fleet = new FakeFleet(size);
	for (let round = 0; round < 5; round++) {
		fleet.advance(1000);
		readStore(fleet, 'h0');
		fleet.maintainEpoch('h0');
	}

	fleet.advance(bound * 10);
	readStore(fleet, 'h0');
	fleet.maintainEpoch('h0');
	assert.is(fleet.storeEpoch.number, 1);
});

test.run();
