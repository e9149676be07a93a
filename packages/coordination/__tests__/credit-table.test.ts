import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Charge} from '../src/index.js';
import {
	FakeFleet, loanLifetime, loanMargin, workspace,
} from './fake-fleet.js';

const test = suite('CreditTable');
const seed = 4713;
const size = 4;
const tokensPerSecond = 600;
const burstTokens = 300;
const rounding = 0.001;

type Granted = {readonly at: number; readonly host: string; readonly charge: Charge; used: number};
type Loan = {readonly borrower: string; readonly incarnation: number; readonly lender: string; readonly askedAt: number; readonly wanted: number; amount: number | undefined};

// A fleet that spends: every grant is remembered with what was finally used of it.
class SpendingFleet {
	readonly fleet = new FakeFleet(size, 1);
	readonly granted: Granted[] = [];
	readonly open: Granted[] = [];
	readonly loans: Loan[] = [];

	charge(id: string, amount: number): boolean {
		const {fleet} = this;
		const host = fleet.host(id);
		if (fleet.frozen.has(id) || host.contact.state(fleet.now) === 'lost') {
			return false;
		}

		const outcome = host.credit.charge(workspace, amount, fleet.now);
		if (outcome.type === 'charged') {
			const granted = {
				at: fleet.now, host: id, charge: outcome.charge, used: amount,
			};
			this.granted.push(granted);
			this.open.push(granted);
		}

		return outcome.type === 'charged';
	}

	spendAll(id: string, amount: number): void {
		while (this.charge(id, amount)) {
			// Spend all there is.
		}
	}

	/** Lets every bucket fill up, so that what is granted afterwards stands at the limit. */
	fill(): void {
		for (let round = 0; round < 20; round++) {
			this.fleet.advance(500);
			for (const host of this.fleet.hosts) {
				readStore(this.fleet, host.id);
			}
		}
	}

	settle(place: number, share: number): void {
		const [granted] = this.open.splice(this.open.length === 0 ? 0 : place % this.open.length, 1);
		if (granted !== undefined) {
			granted.used = granted.charge.amount * share;
			this.fleet.host(granted.host).credit.settle(granted.charge, granted.used, this.fleet.now);
		}
	}

	ask(borrower: string, lender: string, wanted: number): void {
		this.loans.push({
			borrower, lender, wanted, incarnation: this.fleet.host(borrower).incarnation, askedAt: this.fleet.now, amount: undefined,
		});
	}

	lend(place: number): void {
		const loan = pick(this.loans.filter(candidate => candidate.amount === undefined), place);
		if (loan !== undefined && !this.fleet.frozen.has(loan.lender)) {
			loan.amount = this.fleet.host(loan.lender).credit.lend(workspace, loan.wanted, this.fleet.now);
		}
	}

	receive(place: number): void {
		const loan = pick(this.loans.filter(candidate => candidate.amount !== undefined), place);
		if (loan !== undefined) {
			this.loans.splice(this.loans.indexOf(loan), 1);
			const host = this.fleet.host(loan.borrower);
			if (host.incarnation === loan.incarnation) {
				host.credit.receive(workspace, loan.amount!, loan.askedAt);
			}
		}
	}

	// A window of any length holds iff one bucket of the same rate and burst, full at first, could have granted the same.
	assertWithinOneBucket(): void {
		let level = burstTokens;
		let at = 0;
		for (const granted of this.granted) {
			level = Math.min(level + ((granted.at - at) * tokensPerSecond / 1000), burstTokens) - granted.used;
			at = granted.at;
			assert.ok(level >= -rounding, `at ${at} the hosts together had granted ${-level} tokens too many`);
		}
	}
}

function pick<Item>(items: readonly Item[], place: number): Item | undefined {
	return items.length === 0 ? undefined : items.at(place < 0 ? place : place % items.length);
}

type Step = (spending: SpendingFleet) => void;

const id = fc.nat({max: size}).map(index => `h${index}`);
const place = fc.nat({max: 40});

function readStore(fleet: FakeFleet, host: string): void {
	fleet.readStore(host);
	fleet.answerStoreRead(-1);
	fleet.deliverStoreRead(-1);
}

const spendingStep: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 8, arbitrary: fc.integer({min: 1, max: 150}).map((time): Step => ({fleet}) => {
			fleet.advance(time);
		}),
	},
	{
		weight: 4, arbitrary: fc.tuple(id, fc.integer({min: 1, max: 75})).map(([host, amount]): Step => spending => {
			spending.charge(host, amount);
		}),
	},
	{
		weight: 4, arbitrary: id.map((host): Step => spending => {
			spending.spendAll(host, 7);
		}),
	},
	{
		weight: 4, arbitrary: fc.tuple(place, fc.constantFrom(0, 0.1, 0.5, 1)).map(([index, share]): Step => spending => {
			spending.settle(index, share);
		}),
	},
	{
		weight: 3, arbitrary: fc.tuple(id, id, fc.integer({min: 1, max: 200})).map(([borrower, lender, wanted]): Step => spending => {
			spending.ask(borrower, lender, wanted);
		}),
	},
	{
		weight: 2, arbitrary: fc.tuple(id, id).map(([borrower, lender]): Step => spending => {
			spending.ask(borrower, lender, burstTokens);
			spending.lend(-1);
		}),
	},
	{
		weight: 3, arbitrary: place.map((index): Step => spending => {
			spending.lend(index);
		}),
	},
	{
		weight: 3, arbitrary: place.map((index): Step => spending => {
			spending.receive(index);
		}),
	},
);

const failureStep: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 4, arbitrary: id.map((host): Step => ({fleet}) => {
			readStore(fleet, host);
			fleet.maintainEpoch(host);
		}),
	},
	{
		weight: 2, arbitrary: fc.tuple(id, id).map(([from, to]): Step => ({fleet}) => {
			fleet.sendExchange(from, to);
			fleet.answerExchange(-1);
			fleet.deliverExchange(-1);
		}),
	},
	{
		weight: 1, arbitrary: id.map((host): Step => ({fleet}) => {
			fleet.restart(host);
			readStore(fleet, host);
		}),
	},
	{
		weight: 1, arbitrary: id.map((host): Step => ({fleet}) => {
			fleet.frozen.add(host);
		}),
	},
	{
		weight: 2, arbitrary: id.map((host): Step => ({fleet}) => {
			fleet.frozen.delete(host);
		}),
	},
	{
		weight: 1, arbitrary: fc.integer({min: 3000, max: 9000}).map((time): Step => ({fleet}) => {
			fleet.advance(time);
		}),
	},
);

test('in every window all hosts together grant at most burst and rate, whatever is lost, late, frozen, restarted or replaced', () => {
	const steps = fc.array(fc.oneof({weight: 3, arbitrary: spendingStep}, {weight: 1, arbitrary: failureStep}), {minLength: 30, maxLength: 250});
	fc.assert(fc.property(steps, run => {
		const spending = new SpendingFleet();
		spending.fill();
		for (const step of run) {
			step(spending);
		}

		spending.assertWithinOneBucket();
	}), {seed, numRuns: 3000});
});

test('a window holds over a membership that shrinks and grows while everything is spent as it comes', () => {
	const spending = new SpendingFleet();
	const {fleet} = spending;
	for (let round = 0; round < 300; round++) {
		fleet.advance(100);
		const live = round < 150 ? ['h0', 'h1', 'h2'] : ['h0', 'h1', 'h2', 'h3', 'h4'];
		for (const host of live) {
			readStore(fleet, host);
			for (const to of live.filter(other => other !== host)) {
				fleet.sendExchange(host, to);
				fleet.answerExchange(-1);
				fleet.deliverExchange(-1);
			}

			fleet.maintainEpoch(host);
			spending.spendAll(host, 5);
		}
	}

	spending.assertWithinOneBucket();
	// Once each membership has settled, the whole rate is minted again; what a host still lacks for one more charge is left over.
	for (const until of [15_000, 30_000]) {
		const total = 5 * spending.granted.filter(({at}) => at > until - 2000 && at <= until).length;
		assert.ok(total >= (2 * tokensPerSecond) - (5 * (size + 1)), `only ${total} tokens were granted in the 2 s before ${until}`);
	}
});

test('while an epoch is joint no share grows, since a host that has not heard of it still mints its own', () => {
	const spending = new SpendingFleet();
	spending.fill();
	const {fleet} = spending;
	const previousHosts = fleet.storeEpoch.hosts;
	const joint = {number: 2, hosts: previousHosts.slice(0, 3), previousHosts};
	for (const host of ['h0', 'h1', 'h2']) {
		fleet.host(host).credit.setEpoch(joint);
	}

	for (let round = 0; round < 20; round++) {
		fleet.advance(100);
		spendEverywhere(spending);
	}

	spending.assertWithinOneBucket();
});

test('without a failure no request is short while the fleet holds enough for it', () => {
	fc.assert(fc.property(fc.array(spendingStep, {maxLength: 80}), id, fc.integer({min: 1, max: burstTokens}), (steps, host, amount) => {
		const spending = new SpendingFleet();
		const {fleet} = spending;
		fleet.advance(loanLifetime + loanMargin);
		fleet.advance(500);
		for (const step of steps) {
			step(spending);
			for (const member of fleet.hosts) {
				readStore(fleet, member.id);
			}
		}

		const held = fleet.hosts.map(member => member.credit.available(workspace, fleet.now));
		const own = fleet.host(host).credit;
		const others = fleet.hosts.filter(member => member.id !== host);
		for (const other of others) {
			const missing = amount - own.available(workspace, fleet.now);
			own.receive(workspace, other.credit.lend(workspace, missing, fleet.now), fleet.now);
		}

		// What lies with another host as an unspent loan is that host's to spend, and is not lent on.
		const lent = others.map(member => member.credit.available(workspace, fleet.now));
		const reachable = sum(held) - sum(lent);
		assert.is(spending.charge(host, amount) || amount > reachable + rounding, true, `${amount} was refused with ${reachable} in the fleet`);
	}), {seed, numRuns: 500});
});

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

test('a refund never exceeds what a bucket charged truly from the start would hold', () => {
	const spending = new SpendingFleet();
	const {fleet} = spending;
	spending.fill();
	assert.ok(spending.charge('h0', 75));
	// The share fills up again while the request runs; its refund would lift the burst.
	spending.fill();

	assert.ok(spending.charge('h0', 75));
	spending.settle(0, 0);
	assert.not(spending.charge('h0', 10), 'the refund of a charge that the refill has made up for is void');
	spending.assertWithinOneBucket();
});

const lenders = ['h1', 'h2', 'h3'];

// Every lender gives all it has to h0, whose replies are still on their way.
function lendEverything(): SpendingFleet {
	const spending = new SpendingFleet();
	spending.fill();
	for (const lender of lenders) {
		spending.ask('h0', lender, burstTokens);
		spending.lend(0);
	}

	return spending;
}

function spendEverywhere(spending: SpendingFleet): void {
	for (const host of spending.fleet.hosts) {
		spending.spendAll(host.id, 5);
	}
}

test('a lender does not fill up again while its loan may still be spent', () => {
	const spending = lendEverything();
	spending.fleet.advance(loanLifetime - 1);
	for (const lender of lenders) {
		assert.ok(spending.fleet.host(lender).credit.available(workspace, spending.fleet.now) < 1);
		spending.receive(0);
	}

	spendEverywhere(spending);
	spending.assertWithinOneBucket();
});

test('a loan that arrives after its lifetime is dropped, since its lender has filled up again', () => {
	const spending = lendEverything();
	spending.fleet.advance(loanLifetime + loanMargin);
	spending.fleet.advance(300);
	for (const lender of lenders) {
		assert.ok(spending.fleet.host(lender).credit.available(workspace, spending.fleet.now) > 1);
		spending.receive(0);
	}

	spendEverywhere(spending);
	spending.assertWithinOneBucket();
});

test('a lender that restarts does not fill up while what it lent before may still be spent', () => {
	const spending = lendEverything();
	for (const lender of lenders) {
		spending.fleet.restart(lender);
		readStore(spending.fleet, lender);
	}

	spending.fleet.advance(loanLifetime - 1);
	for (const lender of lenders) {
		assert.is(spending.fleet.host(lender).credit.available(workspace, spending.fleet.now), 0);
		spending.receive(0);
	}

	spendEverywhere(spending);
	spending.assertWithinOneBucket();
});

test('a lost loan is lost credit, never doubled: its lender fills up again at its own rate', () => {
	const spending = lendEverything();
	spending.loans.length = 0;
	spendEverywhere(spending);
	spending.fill();
	spendEverywhere(spending);
	spending.assertWithinOneBucket();
});

test('a request larger than the burst is told so instead of being made to wait', () => {
	const {fleet} = new SpendingFleet();
	assert.is(fleet.host('h0').credit.charge(workspace, burstTokens + 1, fleet.now).type, 'exceeds-burst');
});

test.run();
