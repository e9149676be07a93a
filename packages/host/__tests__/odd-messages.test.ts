import type {HostDescription} from '@lacewingpoint/coordination';
import {Quarantine} from '@lacewingpoint/routing';
import {Metrics, createSeededRandom, silentLogger} from '@lacewingpoint/shared';
import fc from 'fast-check';
import {Result} from 'true-myth';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type HostMessage, ClusterState, Fleet, decodeHostMessage, encodeHostMessage,
} from '../src/index.js';

const test = suite('Fleet that receives odd messages');
const seed = 5103;
const ignore = () => {/* Not tested here. */};

const describe = (name: string): HostDescription => ({
	name, incarnation: '1', failureDomain: 'a', region: 'r', clientAddress: `${name}:1`, peerAddress: `${name}:2`, snapshotAddress: `${name}:3`, capacity: 1,
});

// A relay with a link to another relay, whose messages are the odd ones.
function createFleet() {
	const clock = {now: 1000};
	let receive: (message: HostMessage) => void = ignore;
	const clusterState = new ClusterState(silentLogger, () => clock.now, () => 12_000, {
		onServersChanged: ignore, onServerRemoved: ignore, onLeaseHolderRead: ignore, onStateChanged: ignore,
	});
	const unreachable = async () => Result.err('unreachable' as never);
	const fleet = new Fleet({
		description: describe('self'), seedAddresses: ['peer:2'], seedSnapshotAddresses: ['peer:3'], clusterState,
		quarantine: new Quarantine({crashThreshold: 3, domainFailureWindow: 0, suspicionLifetime: 60_000}),
		transport: {
			async start(onMessage) {
				receive = onMessage;
			},
			send(message) {
				assert.ok(decodeHostMessage(encodeHostMessage(message)) !== undefined, 'what is forwarded is readable');
			},
			dispose: ignore,
		},
		peerClient: new Proxy({}, {get: () => unreachable}) as never,
		scheduler: {schedule: () => ignore},
		log: silentLogger, metrics: new Metrics(), random: createSeededRandom(1),
		now: () => clock.now, earliestArrival: () => clock.now, hostState: () => 'serving', isDetached: () => false, canConnect: async () => false,
		readServers: async () => undefined,
		hasStoreContact: () => false, mustBeRelay: () => true, onReaderChanged: ignore, onRoleChanged: ignore,
	});
	return {
		clock, fleet, clusterState, receive(message: HostMessage) {
			receive(message);
		},
	};
}

const name = fc.constantFrom('self', 'peer', 'other', '', 'i-1', 'i-2', '__proto__', 'constructor', 'x'.repeat(5000));
const number = fc.oneof(fc.constantFrom(0, -1, 1e308, -1e308, Number.POSITIVE_INFINITY, Number.NEGATIVE_INFINITY, 2 ** 53, 0.5, Number.MIN_VALUE), fc.double({noNaN: true}));
const list = <Item>(item: fc.Arbitrary<Item>) => fc.oneof({weight: 8, arbitrary: fc.array(item, {maxLength: 4})}, {weight: 1, arbitrary: item.map(value => Array.from({length: 900}, () => value))});
const state = fc.constantFrom('starting', 'serving', 'detached', 'stopping', 'dancing');
const role = fc.constantFrom('joining', 'member', 'relay', 'other');
const description = fc.record({
	name, incarnation: name, failureDomain: name, region: name, clientAddress: name, peerAddress: name, snapshotAddress: name, capacity: number,
});
const part = fc.record({part: number, age: number, trialInterval: number});
const oddMessage = fc.record({
	state, isDetached: fc.boolean(), role, hostCount: number, configuration: number, revision: number, hasStoreContact: fc.boolean(), stateVersion: number, isWhole: fc.boolean(), digest: number,
	charged: fc.dictionary(name, number), loads: fc.dictionary(name, fc.tuple(number, number, number)),
	placements: list(fc.record({salt: name, parts: list(fc.tuple(name, number)), places: list(fc.tuple(name, fc.option(number)))})),
	weights: list(fc.record({server: name, model: name, version: number})), loading: list(fc.record({server: name, time: number})),
	unreachable: list(name), leaving: list(fc.record({id: name, incarnation: name})), emptying: list(name),
	deaths: list(fc.record({
		fingerprint: number, parts: list(number), server: name, incarnation: name, failureDomain: name, age: number,
	})),
	limits: list(fc.record({
		id: name, incarnation: name, requestsPerSecond: number, age: number,
	})),
	origins: list(fc.record({service: name, version: name, streams: list(number)})),
	executed: list(part), quarantined: list(part), hosts: list(fc.record({description, state, role})), departed: list(name),
	updates: list(fc.record({version: number, change: fc.record({type: fc.constant('server-gone'), revision: number, id: name})})),
	introduction: fc.constantFrom('request', 'response'),
}, {requiredKeys: ['state', 'configuration', 'revision']});

test('no valid message, however odd, ends the process', async () => {
	const rejections: unknown[] = [];
	process.on('unhandledRejection', reason => {
		rejections.push(reason);
	});
	await fc.assert(fc.asyncProperty(fc.array(oddMessage, {minLength: 1, maxLength: 4}), async messages => {
		const {clock, fleet, receive} = createFleet();
		await fleet.start();
		const peer = {name: 'peer', incarnation: '1', host: describe('peer')};
		const wire = (message: Record<string, unknown>) => decodeHostMessage(encodeHostMessage({hosts: [], ...message} as never));
		receive(wire({
			...peer, state: 'serving', role: 'relay', configuration: 0, revision: 0,
		})!);
		for (const message of messages) {
			const decoded = wire({...message, ...peer});
			if (decoded !== undefined) {
				receive(decoded);
			}

			clock.now += 30;
			fleet.review();
			fleet.gossip.broadcastState();
			await Promise.resolve();
		}

		fleet.dispose();
	}), {seed, numRuns: 300});
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	assert.equal(rejections, []);
});

test('an odd token count does not keep a location from recording later prompts', async () => {
	const {
		clock, clusterState, fleet, receive,
	} = createFleet();
	await fleet.start();
	const message = {
		name: 'peer', incarnation: '1', host: describe('peer'), state: 'serving', role: 'relay', configuration: 0, revision: 0, hosts: [],
	};
	clusterState.promptCache.setCapacity('i-1', 10_000);
	const send = (parts: ReadonlyArray<readonly [string, number]>) => {
		receive(decodeHostMessage(encodeHostMessage({...message, placements: [{salt: 's', parts, places: [['i-1', 0]]}]} as never))!);
	};

	for (const pause of [1000, 1000]) {
		clock.now += pause;
		fleet.review();
		receive(decodeHostMessage(encodeHostMessage(message as never))!);
	}

	assert.is(fleet.gossip.linkKind('peer'), 'relay');
	send([['odd', Number.POSITIVE_INFINITY]]);
	send([['odd', -1e300]]);
	send([['p', 800]]);
	assert.is(clusterState.promptCache.matchPrefix('i-1', 's', [{id: 'p', tokens: 800}]).tokens, 800);
	fleet.dispose();
});

console.log(`seed ${seed}`);
test.run();
