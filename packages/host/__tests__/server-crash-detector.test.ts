import {Quarantine} from '@lacewingpoint/routing';
import {silentLogger} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {HostGossip} from '../src/members/host-gossip.js';
import {ClusterState} from '../src/state/cluster-state.js';
import {quarantineOptions} from '../src/state/cluster-state-options.js';
import type {PromptPartGuard} from '../src/state/prompt-part-guard.js';
import {ServerCrashDetector} from '../src/state/server-crash-detector.js';
import type {ServerLinkMonitor} from '../src/state/server-link-monitor.js';
import type {ServerWitnesses, UnreachableCause} from '../src/state/server-witnesses.js';

const test = suite('ServerCrashDetector');

const fingerprint = 77;

/** Breaks a request off at three servers that are then out of reach, and tells whether it is quarantined. */
async function breakOffAtThreeServers(cause: UnreachableCause, isDetached = false): Promise<string> {
	const clusterState = new ClusterState(silentLogger, () => 1000, () => 12_000, {
		onServersChanged() {/* Not tested here. */}, onServerRemoved() {/* Not tested here. */}, onStateChanged() {/* Not tested here. */}, onLeaseHolderRead() {/* Not tested here. */},
	});
	const quarantine = new Quarantine(quarantineOptions);
	const announced: string[] = [];
	const detector = new ServerCrashDetector({
		clusterState,
		quarantine,
		log: silentLogger,
		now: () => 1000,
		hostGossip: {
			announceUnreachable(server: string) {
				announced.push(server);
			},
			announceCrashes() {/* The quarantine of this host shows them. */},
		} as unknown as HostGossip,
		promptPartGuard: {recordCrashes() {/* Not tested here. */}} as unknown as PromptPartGuard,
		serverLinks: {isDetached, recordFailure() {/* Not tested here. */}} as unknown as ServerLinkMonitor,
		witnesses: {findCause: async () => cause} as unknown as ServerWitnesses,
		canConnect: async () => false,
	});
	for (const id of ['a', 'b', 'c']) {
		clusterState.apply({
			changes: [{
				type: 'server', revision: 1, entry: {
					id, incarnation: '1', address: `${id}:1`, sequence: 1, service: 'models', softwareVersion: undefined, failureDomain: id, slots: 8, isDraining: false, weights: {},
				},
			}],
			revision: 1,
		}, false, 'test');
		detector.recordBrokenRequest(id, {
			id: `request-${id}`, fingerprint, sharedParts: [], hasSurvivedResponse: false,
		});
		detector.recordUnreachable(id);
	}

	await new Promise(resolve => {
		setTimeout(resolve, 5);
	});
	assert.is(announced.length, isDetached ? 0 : 3);
	return quarantine.evaluateStatus(fingerprint, 1000);
}

test('a request is quarantined once it was in flight during three crashes', async () => {
	assert.is(await breakOffAtThreeServers('crashed'), 'quarantined');
});

// The requests that a partitioned host had in flight were refused by all hosts, as if they had crashed the servers.
test('a request that lost links broke off is not suspected', async () => {
	assert.is(await breakOffAtThreeServers('link-lost'), 'clear');
});

test('a request in flight when an overloaded server fell over is not suspected', async () => {
	assert.is(await breakOffAtThreeServers('overloaded'), 'clear');
});

test('a host that has lost its links to all servers suspects no request and reports no server', async () => {
	assert.is(await breakOffAtThreeServers('crashed', true), 'clear');
});

test.run();
