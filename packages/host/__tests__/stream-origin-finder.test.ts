import type {HostDescription} from '@lacewingpoint/coordination';
import {type ServerEntry, type StreamOrigin, originRetention} from '@lacewingpoint/routing';
import {silentLogger} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type PeerClient, ClusterState, StreamOriginFinder} from '../src/index.js';

const test = suite('StreamOriginFinder');
const listener = {
	onServersChanged() {/* Not tested here. */}, onServerRemoved() {/* Not tested here. */}, onLeaseHolderRead() {/* Not tested here. */}, onStateChanged() {/* Not tested here. */},
};

const createEntry = (softwareVersion: string): ServerEntry => ({
	id: `i-${softwareVersion}`, incarnation: '1', sequence: 1, service: 's', softwareVersion, address: '10.0.0.1:1', failureDomain: 'a', slots: 4, isDraining: false, weights: {},
});

const createRelay = (name: string): HostDescription => ({
	name, incarnation: '1', failureDomain: 'a', region: 'r', clientAddress: `${name}:1`, peerAddress: `${name}:2`, snapshotAddress: name, capacity: 1,
});

/** A host that has observed servers of some versions for a time, and relays that give these answers; `undefined` for none. */
function create(versions: readonly string[], observedFor: number, answers: ReadonlyArray<StreamOrigin | undefined>) {
	const asked: unknown[] = [];
	const clusterState = new ClusterState(silentLogger, () => observedFor, () => 12_000, listener);
	for (const now of [0, observedFor]) {
		clusterState.streamOrigins.observeServers(versions.map(version => createEntry(version)), now);
	}

	const finder = new StreamOriginFinder({
		clusterState,
		now: () => observedFor,
		relays: () => answers.map((_answer, index) => createRelay(String(index))),
		peerClient: {
			async fetchStreamOrigin(address: string, question: unknown) {
				asked.push(question);
				const answer = answers[Number(address)];
				return answer === undefined ? Result.err({layer: 'host', code: 'unreachable', message: 'no response'}) : Result.ok(answer);
			},
		} as unknown as PeerClient,
	});
	return {asked, clusterState, finder};
}

test('uses its own record without asking', async () => {
	const {asked, clusterState, finder} = create(['v1', 'v2'], 100, [{type: 'several'}]);
	clusterState.streamOrigins.record('s', 'first', 'v1', 100);
	assert.is(await finder.findVersion('s', 'first'), 'v1');
	assert.is(asked.length, 0);
});

// Guards against streams that go on at another version because only a relay of another failure domain knows what began them.
test('asks the relays for a stream that it has no record of', async () => {
	const {asked, finder} = create(['v1', 'v2'], originRetention, [undefined, {type: 'several'}, {type: 'recorded', version: 'v2'}]);
	assert.is(await finder.findVersion('s', 'first'), 'v2');
	assert.is(asked.length, 3);
});

test('does not know the version if no relay answers, as it may have missed others', async () => {
	const {finder} = create(['v1'], originRetention, [undefined, undefined]);
	assert.is(await finder.findVersion('s', 'first'), undefined);
});

test('lets a stream go on at the only version if a relay that has observed the servers for long confirms it', async () => {
	assert.is(await create(['v1'], 100, [{type: 'only', version: 'v1'}]).finder.findVersion('s', 'first'), 'v1');
	assert.is(await create(['v1'], 100, [{type: 'new', version: 'v1'}]).finder.findVersion('s', 'first'), undefined);
	assert.is(await create(['v2'], 100, [{type: 'several'}]).finder.findVersion('s', 'first'), undefined);
});

test('a host without peers goes by the servers that it knows', async () => {
	assert.is(await create(['v1'], 100, []).finder.findVersion('s', undefined), 'v1');
	assert.is(await create(['v1', 'v2'], 100, []).finder.findVersion('s', undefined), undefined);
});

test.run();
