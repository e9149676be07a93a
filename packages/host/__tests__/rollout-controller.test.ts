import type {HostDescription} from '@lacewingpoint/coordination';
import {Metrics, silentLogger} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {HostBounds} from '../src/ports.js';
import {RolloutController, type RolloutControllerOptions} from '../src/rollouts/rollout-controller.js';
import {ClusterState} from '../src/state/cluster-state.js';

const test = suite('RolloutController');

const describeHost = (name: string): HostDescription => ({
	name, incarnation: '1', failureDomain: 'a', region: 'r', clientAddress: '', peerAddress: '', snapshotAddress: '', capacity: 1,
});

// The decider reached the store alone: its plan went on by time, while the other hosts still used the old servers.
test('a decider that hears none of the other hosts leaves the rollout where it is', () => {
	let time = 0;
	let reads = 0;
	const listener = {
		onServersChanged() {/* Not needed. */}, onServerRemoved() {/* Not needed. */}, onStateChanged() {/* Not needed. */}, onLeaseHolderRead() {/* Not needed. */},
	};
	const clusterState = new ClusterState(silentLogger, () => time, () => 1000, listener);
	clusterState.apply({
		changes: [
			{
				type: 'configuration', revision: 1, configuration: {
					version: 1, routes: [], services: [{name: 's', maxConnections: 1}], limits: {
						headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1,
					},
				},
			},
			{
				type: 'rollout', revision: 1, request: {
					id: 'r', service: 's', target: 'v2', timeBudget: 10_000,
				},
			},
		], revision: 1,
	}, true, 'store');
	const bounds: HostBounds = {
		weightsLease: 1000, shortestLease: 500, weightsWithin: 12_000, stopGrace: 8000, longestKeep: 2000, retryRatio: 0.2, retryWindow: 10_000, retrySlack: 58,
	};
	const controller = new RolloutController({
		hostName: 'a',
		clusterState,
		lease: {term: 1},
		store: {
			async read() {
				reads++;
				return Result.err({layer: 'platform', code: 'unknown', message: 'no response'});
			},
		} as unknown as RolloutControllerOptions['store'],
		protocol: {statusKey: () => 'k', encodeStatus: () => ''} as unknown as RolloutControllerOptions['protocol'],
		gossip: undefined as unknown as RolloutControllerOptions['gossip'],
		log: silentLogger,
		metrics: new Metrics(),
		now: () => time,
		bounds: () => bounds,
	});
	for (const name of ['a', 'b']) {
		clusterState.hosts.recordHeartbeat({description: describeHost(name), state: 'serving', role: 'relay'}, time);
	}

	time = 60_000;
	clusterState.hosts.recordHeartbeat({description: describeHost('a'), state: 'serving', role: 'relay'}, time);
	controller.review();
	controller.review();
	assert.is(reads, 0);
	clusterState.hosts.recordHeartbeat({description: describeHost('b'), state: 'serving', role: 'relay'}, time);
	controller.review();
	controller.review();
	assert.ok(reads > 0, 'it goes on once it hears the others again');
});

test.run();
