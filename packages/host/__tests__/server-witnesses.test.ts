import type {HostDescription} from '@lacewingpoint/coordination';
import {type Milliseconds, createSeededRandom, silentLogger} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ClusterState} from '../src/state/cluster-state.js';
import type {PeerClient} from '../src/state/peer-snapshots.js';
import type {ServerContact} from '../src/state/server-contact.js';
import {ServerWitnesses} from '../src/state/server-witnesses.js';

const test = suite('ServerWitnesses');

const server = {id: 's', incarnation: '1', address: '10.0.0.9:80'};

type Answer = ServerContact | 'none';

type Fixture = {
	readonly witnesses: ServerWitnesses;
	readonly clusterState: ClusterState;
	readonly asked: string[];
	readonly connections: string[];
};

/** Creates the witnesses of host `a`, whose peers answer as given; without an answer, a peer cannot be reached. */
function createFixture(answers: Readonly<Record<string, Answer>>, options: {readonly now?: Milliseconds; readonly isDetached?: boolean; readonly canConnect?: boolean} = {}): Fixture {
	const now = () => options.now ?? 10_000;
	const clusterState = new ClusterState(silentLogger, now, () => 12_000, {
		onServersChanged() {/* Not tested here. */}, onServerRemoved() {/* Not tested here. */}, onStateChanged() {/* Not tested here. */}, onLeaseHolderRead() {/* Not tested here. */},
	});
	for (const name of Object.keys(answers)) {
		const description: HostDescription = {
			name, incarnation: '1', failureDomain: 'd', region: 'r', clientAddress: `${name}:1`, peerAddress: `${name}:2`, snapshotAddress: name, capacity: 1,
		};
		clusterState.hosts.recordHeartbeat({description, state: 'serving', role: 'relay'}, now());
	}

	clusterState.apply({
		changes: [{
			type: 'server', revision: 1, entry: {
				...server, sequence: 1, service: 'models', softwareVersion: undefined, failureDomain: 'd', slots: 8, isDraining: false, weights: {},
			},
		}],
		revision: 1,
	}, false, 'test');
	const [asked, connections]: [string[], string[]] = [[], []];
	const peerClient = {
		async fetchServerContact(address: string) {
			asked.push(address);
			const answer = answers[address]!;
			return answer === 'none' ? Result.err({layer: 'host', code: 'unreachable', message: 'no answer'}) : Result.ok(answer);
		},
	} as unknown as PeerClient;
	const witnesses = new ServerWitnesses({
		hostName: 'a',
		clusterState,
		peerClient,
		random: createSeededRandom(3),
		now,
		isDetached: () => options.isDetached === true,
		async canConnect({id}) {
			connections.push(id);
			return options.canConnect === true;
		},
	});
	return {
		witnesses, clusterState, asked, connections,
	};
}

const reached: ServerContact = {contact: 'reached', isOverloaded: false};
const unreachable: ServerContact = {contact: 'unreachable', isOverloaded: false};
const unknown: ServerContact = {contact: 'unknown', isOverloaded: false};

const causes: ReadonlyArray<readonly [Readonly<Record<string, Answer>>, string]> = [
	[{b: reached, c: unreachable}, 'link-lost'],
	[{b: unreachable, c: unreachable}, 'crashed'],
	[{b: unknown, c: unreachable}, 'crashed'],
	[{b: unknown, c: 'none'}, 'crashed'],
	[{}, 'crashed'],
	[{b: unreachable, c: {contact: 'unreachable', isOverloaded: true}}, 'overloaded'],
];

test('a server that a peer reaches has not crashed, and one that was overloaded was not crashed by a request', async () => {
	for (const [answers, expected] of causes) {
		const {witnesses} = createFixture(answers);
		assert.is(await witnesses.findCause(server, 9900), expected, JSON.stringify(answers));
	}
});

test('a host that has lost its links takes no server for crashed', async () => {
	const {witnesses} = createFixture({b: unreachable, c: unreachable}, {isDetached: true});
	assert.is(await witnesses.findCause(server, 9900), 'link-lost');
});

test('at most two peers are asked, whatever the number of hosts', async () => {
	const {witnesses, asked} = createFixture(Object.fromEntries(Array.from({length: 50}, (_, index) => [`peer-${index}`, unreachable])));
	await witnesses.findCause(server, 9900);
	assert.is(new Set(asked).size, 2);
});

test('a host that has heard from the server since answers without a connection', async () => {
	const {witnesses, clusterState, connections} = createFixture({});
	clusterState.health.recordRequestSent('s', 9000);
	clusterState.health.recordDataReceived('s', 9950);
	assert.equal(await witnesses.answer({server: 's', incarnation: '1', age: 100}), reached);
	assert.equal(connections, []);
	assert.equal(await witnesses.answer({server: 's', incarnation: '1', age: 20}), unreachable);
	assert.equal(connections, ['s']);
});

test('a host without links, or that knows another process of the server, does not know', async () => {
	assert.equal(await createFixture({}, {isDetached: true, canConnect: true}).witnesses.answer({server: 's', incarnation: '1', age: 100}), unknown);
	assert.equal(await createFixture({}, {canConnect: true}).witnesses.answer({server: 's', incarnation: '2', age: 100}), unknown);
});

test('a rejection within a second before shows that the server was overloaded', async () => {
	const {witnesses, clusterState} = createFixture({b: unreachable});
	clusterState.health.recordRequestSent('s', 9000);
	clusterState.health.recordRejection('s', 9200);
	assert.is(await witnesses.findCause(server, 9900), 'overloaded');
	assert.is(await witnesses.findCause(server, 10_000), 'overloaded');
	const later = createFixture({b: unreachable}, {now: 20_000});
	later.clusterState.health.recordRequestSent('s', 9000);
	later.clusterState.health.recordRejection('s', 9200);
	assert.is(await later.witnesses.findCause(server, 19_900), 'crashed');
});

test.run();
