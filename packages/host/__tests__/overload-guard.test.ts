import {RouteIndex} from '@lacewingpoint/routing';
import {
	DisposableStore, Metrics, type Milliseconds, bytesPerMebibyte, createSeededRandom, silentLogger,
} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createOverloadGuard} from '../src/overload/create-overload-guard.js';
import {OverloadGuard} from '../src/overload/overload-guard.js';

const test = suite('overload guard');

const route = {
	name: 'r', host: 'h.example', prefix: '/', timeout: 5000, objective: 300, services: [], maxServers: 1, isOpen: true,
} as const;
const routes = new RouteIndex({
	version: 1,
	routes: [
		{
			...route, name: 'read', prefix: '/read/', repeatability: 'idempotent', rank: 1,
		},
		{
			...route, name: 'order', prefix: '/order/', repeatability: 'once', rank: 0,
		},
	],
	services: [],
	limits: {
		headerBytes: 1000, bodyBytes: 1000, headerTime: 1000, idleTime: 1000,
	},
});

type Machine = {now: Milliseconds; running: number; memory: number; configurationAge?: Milliseconds | undefined};

function createGuard(machine: Machine, logged: Array<Readonly<Record<string, unknown>>> = []): OverloadGuard {
	return new OverloadGuard({
		memory: 100 * bytesPerMebibyte,
		log: {
			...silentLogger, warn(event, fields) {
				logged.push({event, ...fields});
			},
		},
		metrics: new Metrics(),
		random: createSeededRandom(1),
		now: () => machine.now,
		routes: () => routes,
		configurationAge: () => machine.configurationAge,
		applyWithin: () => 2000,
		runningRequests: () => machine.running,
		finishedRequests: () => 0,
		measureBusyTime: () => 0,
		measureMemory: () => machine.memory,
	});
}

const preview = (deadline: Milliseconds) => () => ({
	id: 'a1', host: 'h.example', credential: undefined, deadline,
});

test('a host that keeps up does not look at the head of a request', () => {
	const guard = createGuard({now: 0, running: 3, memory: 50 * bytesPerMebibyte});
	const rejection = guard.evaluate('/read/x', () => {
		throw new Error('the head was read');
	});
	assert.is(rejection, undefined);
	guard.dispose();
});

test('requests that waited so long to be read that their clients have given up are rejected and logged in one line', () => {
	const machine = {now: 0, running: 0, memory: 0};
	const logged: Array<Readonly<Record<string, unknown>>> = [];
	const guard = createGuard(machine, logged);
	machine.now = 1000;
	assert.is(guard.evaluate('/read/x', preview(1500))?.reason, 'too-old');
	assert.is(guard.evaluate('/read/y?z=1', preview(1500))?.reason, 'too-old');
	// A client that must not repeat its request waits for it until the deadline.
	assert.is(guard.evaluate('/order/x', preview(1500)), undefined);
	assert.is(guard.evaluate('/order/x', preview(900))?.reason, 'too-old');
	guard.dispose();
	assert.equal(logged.map(({event, reason, rank, requests, ids}) => ({
		event, reason, rank, requests, ids,
	})), [
		{
			event: 'requests-rejected', reason: 'too-old', rank: 1, requests: 2, ids: ['a1', 'a1'],
		},
		{
			event: 'requests-rejected', reason: 'too-old', rank: 0, requests: 1, ids: ['a1'],
		},
	]);
});

test('without memory, new requests are rejected until running ones have ended', async () => {
	const machine = {now: 0, running: 20, memory: 99 * bytesPerMebibyte};
	const guard = createGuard(machine);
	await new Promise(resolve => {
		setTimeout(resolve, 1100);
	});
	const rejection = guard.evaluate('/order/x', preview(3000));
	assert.is(rejection?.reason, 'no-memory');
	assert.ok(rejection!.retryAfter! > 0 && rejection!.retryAfter! <= 1000);
	machine.running = 3;
	assert.is(guard.evaluate('/order/x', preview(3000)), undefined);
	guard.dispose();
});

// The event loop is 400 ms late, and messages about changes of the configuration wait to be read.
test('a host that is behind rejects requests as soon as its configuration may be outdated', () => {
	const behind: Machine = {
		now: 0, running: 5, memory: 0, configurationAge: 800,
	};
	const guard = createGuard(behind);
	behind.now = 450;
	assert.ok(guard.isBehind);
	assert.is(guard.evaluate('/order/x', preview(3000)), undefined);
	behind.configurationAge = 1500;
	const rejection = guard.evaluate('/order/x', preview(3000));
	assert.is(rejection?.reason, 'old-configuration');
	assert.ok(rejection!.retryAfter! > 0);
	behind.configurationAge = undefined;
	assert.is(guard.evaluate('/order/x', preview(3000)), undefined, 'the store does not respond');
	behind.configurationAge = 1500;
	behind.now = 0;
	assert.is(guard.evaluate('/order/x', preview(3000)), undefined, 'the host keeps up');
	guard.dispose();
});

test('a host whose settings state no limit of its processor time has no guard', () => {
	const disposables = new DisposableStore();
	const dependencies = {
		settings: {memory: 1}, log: silentLogger, metrics: new Metrics(), random: createSeededRandom(1), now: () => 0,
	};
	const state = {
		routes: () => undefined, configurationAge: () => 0, applyWithin: () => undefined, runningRequests: () => 0, finishedRequests: () => 0,
	};
	assert.is(createOverloadGuard(dependencies, disposables, state), undefined);
});

test.run();
