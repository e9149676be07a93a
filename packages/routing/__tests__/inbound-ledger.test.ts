import * as fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type InboundActions, type InboundLimits, type ListenerKind, type ShedReason, type UnsentResponses, type InboundAccount, InboundLedger, createInboundLimits, defaultInboundLimitSettings,
} from '../src/index.js';

const test = suite('inbound ledger');

const bytesPerMebibyte = 1_048_576;

const limits: InboundLimits = createInboundLimits({
	...defaultInboundLimitSettings, memoryShare: 0.5, connectionShares: {
		clients: 0.5, peers: 0.1, lookup: 0.1, readiness: 0.1, metrics: 0.1,
	},
}, {memory: 20 * bytesPerMebibyte, sockets: 40});

const idleTime = 10_000;

class TestConnection implements InboundActions {
	readonly shedReasons: ShedReason[] = [];
	resumeCount = 0;
	responses: UnsentResponses = {unsentBytes: 0, isBlocked: false, sentBytes: 0};
	account: InboundAccount | undefined;

	constructor(private readonly ledger: InboundLedger) {}

	/** Refuses an incomplete request as a listener does. */
	shed(reason: ShedReason): void {
		this.shedReasons.push(reason);
		if (this.account?.incomplete !== undefined && reason !== 'connections') {
			this.ledger.recordRefused(this.account);
			this.ledger.update(this.account, {bodyBytes: 0, incompleteBodyBytes: 0});
		}
	}

	resume(): void {
		this.resumeCount++;
	}

	measureResponses(): UnsentResponses {
		return this.responses;
	}
}

class Fixture {
	time = 0;
	readonly limited: string[] = [];
	readonly ledger = new InboundLedger({
		limits, now: () => this.time, stallTime: () => idleTime, onLimited: (kind, reason) => {
			this.limited.push(`${kind} ${reason}`);
		},
	});

	/** Reviews twice, because the first review after a long time ends no connection. */
	review(): void {
		this.ledger.review();
		this.ledger.review();
	}

	open(kind: ListenerKind = 'clients'): TestConnection {
		const connection = new TestConnection(this.ledger);
		connection.account = this.ledger.open(kind, connection);
		return connection;
	}

	/** Opens a connection with a body that is being received. */
	openBody(size: number, allowedTime = 30_000): TestConnection {
		const connection = this.open();
		connection.account!.incomplete = {receivedAt: this.time, allowedTime: () => allowedTime};
		this.ledger.update(connection.account!, {exchanges: 1});
		this.ledger.growBody(connection.account!, {bodyBytes: size, incompleteBodyBytes: size});
		return connection;
	}
}

test('each kind has its own connections, and the one that is least likely to be used makes room', () => {
	const fixture = new Fixture();
	const connections = Array.from({length: limits.connections.clients}, () => {
		fixture.time++;
		return fixture.open();
	});
	connections[0]!.account!.hasCompletedRequests = true;
	fixture.ledger.update(connections[1]!.account!, {exchanges: 1});
	assert.ok(fixture.open('lookup').account !== undefined);
	fixture.open();
	assert.equal(connections.map(({shedReasons}) => shedReasons.length).slice(0, 4), [0, 0, 1, 0]);
	assert.is(fixture.ledger.countConnections('clients'), limits.connections.clients);
	assert.equal(fixture.limited, ['clients connections']);
});

test('with all connections in use, the oldest incomplete request makes room, before connections that were used', () => {
	const fixture = new Fixture();
	const used = fixture.open();
	used.account!.hasCompletedRequests = true;
	const incomplete = Array.from({length: limits.connections.clients - 1}, () => {
		fixture.time++;
		return fixture.openBody(100);
	});
	incomplete[0]!.account!.progressAt = fixture.time;
	fixture.open();
	assert.equal(incomplete.map(({shedReasons}) => shedReasons).slice(0, 2), [['connections'], []]);
	assert.equal(used.shedReasons, []);
	assert.is(fixture.ledger.countConnections('clients'), limits.connections.clients);
});

test('a connection is not accepted if all others of its kind wait for responses', () => {
	const fixture = new Fixture();
	for (let index = 0; index < limits.connections.readiness; index++) {
		fixture.ledger.update(fixture.open('readiness').account!, {exchanges: 1});
	}

	assert.is(fixture.open('readiness').account, undefined);
	assert.equal(fixture.limited, ['readiness connections']);
});

test('large bodies wait while memory is scarce, small ones do not, and stalled ones are refused soon', () => {
	const fixture = new Fixture();
	const stalled = fixture.openBody(limits.memory * 0.8);
	const small = fixture.openBody(4000);
	const large = fixture.openBody(100_000);
	assert.is(small.account!.waitsSince, undefined);
	assert.is(large.account!.waitsSince, 0);
	fixture.time += limits.contendedStallTime;
	small.account!.progressAt = fixture.time;
	fixture.review();
	assert.equal(stalled.shedReasons, ['stalled']);
	assert.equal(large.shedReasons, []);
	assert.is(large.resumeCount, 1);
	assert.is(large.account!.waitsSince, undefined);
});

test('a body that stalls is refused only when its time is over while there is memory', () => {
	const fixture = new Fixture();
	const connection = fixture.openBody(100_000, 2 * idleTime);
	fixture.time = (2 * idleTime) - 1;
	fixture.review();
	assert.equal(connection.shedReasons, []);
	fixture.time = 2 * idleTime;
	fixture.review();
	assert.equal(connection.shedReasons, ['late']);
});

test('a body that is complete does not wait any more, and is not refused while it is executed', () => {
	const fixture = new Fixture();
	const holder = fixture.openBody(limits.memory * 0.8);
	const connection = fixture.openBody(50_000);
	assert.is(connection.account!.waitsSince, 0);
	connection.account!.incomplete = undefined;
	fixture.ledger.growBody(connection.account!, {bodyBytes: 50_000, incompleteBodyBytes: 0});
	fixture.time = 3 * limits.contendedStallTime;
	holder.account!.progressAt = fixture.time;
	fixture.review();
	assert.equal(connection.shedReasons, []);
});

test('what arrived while the process was suspended is read before a connection is ended', () => {
	const fixture = new Fixture();
	const connection = fixture.openBody(100_000);
	fixture.ledger.review();
	fixture.time = 2 * idleTime;
	fixture.ledger.review();
	assert.equal(connection.shedReasons, []);
	connection.account!.progressAt = fixture.time;
	fixture.ledger.review();
	assert.equal(connection.shedReasons, []);
});

test('a body that goes on arriving is refused when the request can no longer be answered in time', () => {
	const fixture = new Fixture();
	const connection = fixture.openBody(100_000, 1000);
	for (fixture.time = 0; fixture.time <= 1000; fixture.time += 100) {
		connection.account!.progressAt = fixture.time;
		fixture.review();
	}

	assert.equal(connection.shedReasons, ['late']);
});

test('a body that waits for memory in vain is refused', () => {
	const fixture = new Fixture();
	const holders = Array.from({length: 8}, () => fixture.openBody(limits.memory * 0.1));
	const waiting = fixture.openBody(50_000);
	for (; fixture.time <= 2 * limits.contendedStallTime; fixture.time += 250) {
		for (const {account} of holders) {
			account!.progressAt = fixture.time;
		}

		fixture.review();
	}

	assert.equal(waiting.shedReasons, ['memory']);
	assert.equal(holders.flatMap(({shedReasons}) => shedReasons), []);
});

test('the connection that holds most makes room, and no request that is being executed', () => {
	const fixture = new Fixture();
	const executing = fixture.open();
	fixture.ledger.update(executing.account!, {exchanges: 1, bodyBytes: limits.memory * 0.6});
	const largest = fixture.open();
	fixture.ledger.update(largest.account!, {pendingBytes: limits.memory * 0.3});
	const last = fixture.open();
	fixture.ledger.update(last.account!, {unsentBytes: limits.memory * 0.2});
	assert.equal([executing, largest, last].map(({shedReasons}) => shedReasons), [[], ['memory'], []]);
	assert.ok(!fixture.ledger.isFull);
	fixture.ledger.update(executing.account!, {exchanges: 1, bodyBytes: limits.memory * 1.1});
	assert.equal(executing.shedReasons, []);
	assert.ok(fixture.ledger.isFull);
});

test('a client that does not read is disconnected, one that waits for a server is not', () => {
	const fixture = new Fixture();
	const [unread, waiting] = [fixture.open(), fixture.open()];
	for (const {account} of [unread, waiting]) {
		fixture.ledger.update(account!, {exchanges: 1});
	}

	unread.responses = {unsentBytes: 50_000, isBlocked: true, sentBytes: 100_000};
	waiting.responses = {unsentBytes: 50_000, isBlocked: false, sentBytes: 0};
	for (; fixture.time <= idleTime; fixture.time += 250) {
		fixture.review();
	}

	assert.equal(unread.shedReasons, ['unread']);
	assert.equal(waiting.shedReasons, []);
});

test('a refused connection is closed after the time in which the client can read the response', () => {
	const fixture = new Fixture();
	const connection = fixture.openBody(10_000);
	connection.shed('late');
	fixture.ledger.update(connection.account!, {exchanges: 0});
	fixture.time = limits.lingerTime - 1;
	fixture.review();
	assert.not.ok(connection.account!.isClosed);
	fixture.time = limits.lingerTime;
	fixture.review();
	assert.ok(connection.account!.isClosed);
	assert.equal(fixture.limited, []);
});

test('whatever connections do, what can be released stays within the memory, and the total is that of the open accounts', () => {
	const step = fc.record({
		connection: fc.nat(30),
		action: fc.constantFrom('open', 'close', 'pendingBytes', 'headBytes', 'unsentBytes', 'body', 'review'),
		amount: fc.nat(3_000_000),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
		const fixture = new Fixture();
		const connections = new Map<number, TestConnection>();
		for (const {connection: key, action, amount} of steps) {
			fixture.time += 100;
			const account = connections.get(key)?.account;
			if (action === 'review') {
				fixture.review();
			} else if (account === undefined || account.isClosed) {
				connections.set(key, fixture.open());
			} else if (action === 'close') {
				fixture.ledger.close(account);
			} else if (action === 'body') {
				account.incomplete ??= {receivedAt: fixture.time, allowedTime: () => 5000};
				fixture.ledger.growBody(account, {bodyBytes: amount, incompleteBodyBytes: amount});
			} else if (action !== 'open') {
				fixture.ledger.update(account, {[action]: action === 'headBytes' ? Math.floor(amount / 100) : amount});
			}

			const open = [...connections.values()].map(connection => connection.account!).filter(candidate => candidate !== undefined && !candidate.isClosed);
			assert.is(fixture.ledger.heldBytes, open.reduce((sum, candidate) => sum + candidate.heldBytes, 0));
			assert.is(fixture.ledger.countConnections('clients'), open.length);
			const releasable = open.filter(({refusedAt}) => refusedAt === undefined).reduce((sum, candidate) => sum + candidate.releasableBytes, 0);
			assert.ok(fixture.ledger.heldBytes <= limits.memory || releasable <= open.length * 4096, `${fixture.ledger.heldBytes}, ${releasable}`);
		}
	}), {seed: 56, numRuns: 300});
});

test.run();
