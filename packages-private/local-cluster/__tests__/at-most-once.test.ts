import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type CallEnd, InProcessSystem, testSecrets, waitFor,
} from '../src/index.js';

const test = suite('At most once');
const system = new InProcessSystem({hosts: 2, engines: 1, services: 2});

test.before(async () => system.start());
test.after(async () => system.dispose());
test.before.each(() => {
	system.platform.faults = {};
	for (const service of system.services) {
		service.faults = {};
	}
});

async function book(idempotencyKey: string | undefined, options: {readonly host?: number; readonly body?: unknown; readonly key?: string} = {}): Promise<CallEnd> {
	return system.caller.call(system.address(options.host), {
		path: '/bookings',
		key: options.key ?? testSecrets.alpha,
		body: options.body ?? {order: idempotencyKey},
		headers: idempotencyKey === undefined ? {} : {'idempotency-key': idempotencyKey},
	});
}

async function waitForBooking(idempotencyKey: string, host: number): Promise<void> {
	await waitFor(`booking ${idempotencyKey}`, async () => {
		const end = await book(idempotencyKey, {host});
		return end.status === 201;
	});
}

const ranFor = (order: string) => system.services.flatMap(service => service.ran).filter(({body}) => body.includes(`"${order}"`)).length;

test('a resend gets the kept answer of the first run, at any host', async () => {
	const first = await book('a1');
	assert.is(first.status, 201);
	await waitForBooking('a1', 1);
	const again = await book('a1', {host: 1});
	assert.is(again.text, first.text);
	assert.is(ranFor('a1'), 1);
});

test('the same key at both hosts at once runs once', async () => {
	for (let round = 0; round < 20; round++) {
		const order = `race-${round}`;
		const ends = await Promise.all([book(order, {host: 0}), book(order, {host: 1}), book(order, {host: 0})]);
		assert.is(ranFor(order), 1);
		assert.ok(ends.some(end => end.status === 201));
		assert.ok(ends.every(end => end.status === 201 || end.error?.run === 'unknown'), JSON.stringify(ends));
	}
});

test('another body under the same key is refused as not run; another workspace\'s key is its own', async () => {
	await book('b1');
	const other = await book('b1', {body: {order: 'b1-other'}});
	assert.equal([other.status, other.error?.code, other.error?.run], [422, 'idempotency-key-reused', 'not-run']);
	assert.is(ranFor('b1-other'), 0);
	const beta = await book('b1', {key: testSecrets.beta, body: {order: 'b1-beta'}});
	assert.is(beta.status, 201);
});

test('when the service runs the booking and its answer is lost, the caller and every resend are told unknown', async () => {
	for (const service of system.services) {
		service.faults = {loseAnswers: 1};
	}

	const first = await book('c1');
	assert.equal([first.error?.code, first.error?.run], ['outcome-unknown', 'unknown']);
	const again = await book('c1', {host: 1});
	assert.is(again.error?.run, 'unknown');
	assert.is(ranFor('c1'), 1);
});

test('without an idempotency key a booking is dispatched once, and not retried after a lost answer', async () => {
	for (const service of system.services) {
		service.faults = {loseAnswers: 1};
	}

	const end = await book(undefined, {body: {order: 'd1'}});
	assert.is(end.error?.run, 'unknown');
	assert.is(ranFor('d1'), 1);
});

test('a write that takes effect while its answer is lost is settled by reading back: the booking runs once', async () => {
	system.platform.faults = {loseWriteAnswers: 1};
	const end = await book('e1');
	assert.is(end.status, 201);
	assert.is(ranFor('e1'), 1);
});

test('with the store out a booking is refused as not run, and runs when it is sent again later', async () => {
	system.platform.faults = {down: true};
	const out = await book('f1');
	assert.equal([out.error?.code, out.error?.run], ['claims-unavailable', 'not-run']);
	assert.is(ranFor('f1'), 0);
	system.platform.faults = {};
	await waitForBooking('f1', 0);
	assert.is(ranFor('f1'), 1);
});

test('services that decline have not run it: the claim is released and a resend runs', async () => {
	for (const service of system.services) {
		service.faults = {decline: true};
	}

	const declined = await book('g1');
	assert.is(declined.error?.run, 'not-run');
	for (const service of system.services) {
		service.faults = {};
	}

	await waitForBooking('g1', 1);
	assert.is(ranFor('g1'), 1);
});

test('a method that the route calls idempotent is repeated after a lost answer', async () => {
	for (const service of system.services) {
		service.faults = {loseAnswers: 1};
	}

	const end = await system.caller.call(system.address(), {path: '/catalogue/7', method: 'GET', key: testSecrets.alpha});
	assert.is(end.status, 201);
});

test.run();
