import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {InProcessSystem, testSecrets, waitFor} from '../src/index.js';

const test = suite('Keys');
const system = new InProcessSystem({hosts: 3, engines: 2, services: 1});

test.before(async () => system.start());
test.after(async () => system.dispose());

const body = (prompt: string, more: Readonly<Record<string, unknown>> = {}) => ({
	model: 'general', prompt, max_tokens: 5, ...more,
});

const lastContact = (host: string) => system.logLines.findLast(line => line.includes(host) && line.includes('contact-changed')) ?? '';

test('without a key, with an unknown one, or with one in the wrong place nothing runs', async () => {
	const runs = () => system.engines.map(engine => engine.runs);
	const before = runs();
	const calls = [
		{key: undefined, code: 'unknown-key', body: body('x')},
		{key: 'no-such-key', code: 'unknown-key', body: body('x')},
		{key: testSecrets.alpha, code: 'key-in-request', body: body(`my key is ${testSecrets.alpha}`)},
		{key: testSecrets.alpha, code: 'key-in-request', body: body('x', {user: testSecrets.alpha})},
		{key: testSecrets.alpha, code: 'unknown-route', body: body('x', {model: 'other'})},
	];
	for (const call of calls) {
		const end = await system.caller.call(system.address(), {path: '/v1/completions', ...call});
		assert.equal([end.error?.code, end.error?.run], [call.code, 'not-run']);
	}

	assert.equal(runs(), before);
});

test('an open route runs without a key, and refuses a wrong one', async () => {
	const open = await system.caller.call(system.address(), {path: '/v1/completions', body: body('x', {model: 'open'})});
	assert.is(open.status, 200);
	const wrong = await system.caller.call(system.address(), {path: '/v1/completions', key: 'wrong', body: body('x', {model: 'open'})});
	assert.is(wrong.error?.code, 'unknown-key');
});

test('a key in a service\'s path, query or body, plain or percent-encoded, is not passed on', async () => {
	const encoded = testSecrets.alpha.replaceAll('-', '%2D');
	const paths = [`/bookings/${testSecrets.alpha}`, `/bookings?key=${encoded}`];
	for (const path of paths) {
		const end = await system.caller.call(system.address(), {path, key: testSecrets.alpha, body: {}});
		assert.is(end.error?.code, 'key-in-request');
	}

	const end = await system.caller.call(system.address(), {path: '/bookings', key: testSecrets.alpha, body: {note: testSecrets.alpha}});
	assert.is(end.error?.code, 'key-in-request');
});

test('the callers\' keys are in nothing that a backend server, a log line or a metric received', async () => {
	for (const [index, secret] of Object.values(testSecrets).entries()) {
		await system.caller.call(system.address(index), {path: '/v1/completions', key: secret, body: body('x')});
		await system.caller.call(system.address(index), {path: '/v1/completions', key: secret, body: body('x', {stream: true})});
		await system.caller.call(system.address(index), {
			path: '/bookings?a=1', key: secret, body: {a: 1}, headers: {'x-api-key': secret, cookie: `key=${secret}`},
		});
	}

	const metrics = await Promise.all([0, 1, 2].map(async index => system.metrics(index)));
	const seen = [...system.engines.flatMap(engine => engine.seen), JSON.stringify(system.services.map(service => service.ran)), ...system.logLines, ...metrics].join('\n');
	assert.ok(system.services[0]!.ran.length > 0);
	for (const secret of Object.values(testSecrets)) {
		assert.not(seen.includes(secret));
	}
});

test('a withdrawn key stops work that a connected caller starts later, and work that waits to be dispatched', async () => {
	const first = await system.caller.call(system.address(), {path: '/v1/completions', key: testSecrets.beta, body: body('x')});
	assert.is(first.status, 200);
	await system.submit([{kind: 'key', name: 'key-beta', state: null}]);
	for (const index of [0, 1, 2]) {
		const end = await system.caller.call(system.address(index), {path: '/v1/completions', key: testSecrets.beta, body: body('x')});
		assert.equal([end.status, end.error?.run], [401, 'not-run']);
	}
});

test('with the store out, hosts go on serving on each other\'s word', async () => {
	system.platform.faults = {down: true};
	await waitFor('contact by quorum', () => lastContact('host-1').includes('quorum'));
	const end = await system.caller.call(system.address(), {path: '/v1/completions', key: testSecrets.alpha, body: body('x')});
	assert.is(end.status, 200);
});

test('a host cut off from the store and from the others refuses, truthfully not run', async () => {
	await Promise.all(system.daemons.slice(1).map(async daemon => daemon.dispose()));
	await waitFor('loss of contact', () => lastContact('host-1').includes('lost'));
	const before = system.engines.map(engine => engine.runs);
	const end = await system.caller.call(system.address(), {path: '/v1/completions', key: testSecrets.alpha, body: body('x')});
	assert.equal([end.status, end.error?.code, end.error?.run], [503, 'no-contact', 'not-run']);
	assert.equal(system.engines.map(engine => engine.runs), before);
	system.platform.faults = {};
	await waitFor('contact again', async () => {
		const again = await system.caller.call(system.address(), {path: '/v1/completions', key: testSecrets.alpha, body: body('x')});
		return again.status === 200;
	});
});

test.run();
