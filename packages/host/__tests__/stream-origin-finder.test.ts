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

/**
 * A host that has observed servers of some versions for a time, relays that give these answers (`undefined` for none), and a store that
 * lists servers of some versions; `undefined` if it does not respond.
 */
function create(versions: readonly string[], observedFor: number, answers: ReadonlyArray<StreamOrigin | undefined>, stored?: readonly string[]) {
	const asked: unknown[] = [];
	let storeReads = 0;
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
		async readServers() {
			storeReads++;
			return stored?.map(version => createEntry(version));
		},
	});
	return {
		asked, clusterState, finder, storeReads: () => storeReads,
	};
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

test('a host without peers goes by the servers that it knows, if the store lists no others', async () => {
	assert.is(await create(['v1'], 100, [], ['v1']).finder.findVersion('s', undefined), 'v1');
	assert.is(await create(['v1'], 100, [], ['v1', 'v2']).finder.findVersion('s', undefined), undefined);
	assert.is(await create(['v1', 'v2'], 100, [], ['v1']).finder.findVersion('s', undefined), undefined);
});

// Guards against streams that go on at another version at a host that is cut off while servers of a new version join: relays that are cut
// off together with it know as little.
test('beside relays that do not answer, the store has to confirm that no other version serves', async () => {
	const only = {type: 'only', version: 'v1'} as const;
	assert.is(await create(['v1'], originRetention, [only, undefined]).finder.findVersion('s', 'first'), undefined);
	assert.is(await create(['v1'], originRetention, [only, undefined], ['v1', 'v2']).finder.findVersion('s', 'first'), undefined);
	assert.is(await create(['v1'], originRetention, [only, undefined], ['v1']).finder.findVersion('s', 'first'), 'v1');
	assert.is(await create(['v1'], originRetention, [], undefined).finder.findVersion('s', 'first'), undefined);
});

test('the store is not read if every relay answers, and once for streams that are taken up together', async () => {
	const confirmed = create(['v1'], originRetention, [{type: 'only', version: 'v1'}]);
	assert.is(await confirmed.finder.findVersion('s', 'first'), 'v1');
	assert.is(confirmed.storeReads(), 0);
	const lonely = create(['v1'], originRetention, [], ['v1']);
	assert.equal(await Promise.all(['a', 'b', 'c'].map(async id => lonely.finder.findVersion('s', id))), ['v1', 'v1', 'v1']);
	assert.is(lonely.storeReads(), 1);
});

test.run();
