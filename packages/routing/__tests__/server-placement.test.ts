import {createSeededRandom} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type ServerCandidate, ServerLoads, chooseLeastLoadedServer, selectNearbyHosts,
} from '../src/index.js';

const test = suite('chooseLeastLoadedServer');

function candidate(id: string, more: Partial<ServerCandidate> = {}): ServerCandidate {
	return {
		id, failureDomain: 'a', slots: 6, requests: 0, slowness: 1, isFailing: false, ...more,
	};
}

test('the server with the fewest requests for its speed is chosen; the host\'s failure domain breaks ties', () => {
	assert.is(chooseLeastLoadedServer([candidate('far', {failureDomain: 'b'}), candidate('near')], 'a')!.id, 'near');
	assert.is(chooseLeastLoadedServer([candidate('far', {failureDomain: 'b'}), candidate('near', {requests: 1})], 'a')!.id, 'far');
	assert.is(chooseLeastLoadedServer([candidate('slow', {slowness: 3}), candidate('fast', {requests: 1})], 'a')!.id, 'fast');
});

test('a failing server is a last resort, a full one is never chosen', () => {
	assert.is(chooseLeastLoadedServer([candidate('failing', {isFailing: true}), candidate('busy', {requests: 6})], 'a')!.id, 'busy');
	assert.is(chooseLeastLoadedServer([candidate('full', {requests: 9})], 'a'), undefined);
});

test('among servers of equal load, one with an idle connection is chosen', () => {
	const connected = candidate('connected', {hasIdleConnection: true});
	assert.is(chooseLeastLoadedServer([candidate('new'), connected], 'a')!.id, 'connected');
	assert.is(chooseLeastLoadedServer([candidate('new'), {...connected, requests: 1}], 'a')!.id, 'new');
	assert.is(chooseLeastLoadedServer([candidate('near'), {...connected, failureDomain: 'b'}], 'a')!.id, 'near');
});

test('the loads of a peer count until they expire or its next message replaces them', () => {
	const loads = new ServerLoads(1500);
	loads.addRequest('s', {prefillTokens: 10, memoryTokens: 20});
	loads.mergePeerLoads('peer', new Map([['s', {requests: 2, prefillTokens: 5, memoryTokens: 5}]]), 0);
	assert.equal(loads.totalLoad('s', 100), {requests: 3, prefillTokens: 15, memoryTokens: 25});
	loads.mergePeerLoads('peer', new Map(), 200);
	assert.equal(loads.totalLoad('s', 300), {requests: 1, prefillTokens: 10, memoryTokens: 20});
	loads.mergePeerLoads('peer', new Map([['s', {requests: 2, prefillTokens: 5, memoryTokens: 5}]]), 300);
	assert.is(loads.totalLoad('s', 1801).requests, 1);
	loads.completePrefill('s', 10);
	loads.removeRequest('s', {prefillTokens: 0, memoryTokens: 20});
	assert.is(loads.totalLoad('s', 1801).requests, 0);
});

test('clients get the hosts of their failure domain while it has two, otherwise more, never none', () => {
	const host = (name: string, failureDomain: string) => ({name, region: 'r', failureDomain});
	const hosts = [host('1', 'a'), host('2', 'a'), host('3', 'b')];
	assert.equal(selectNearbyHosts(hosts, {region: 'r', failureDomain: 'a'}, createSeededRandom(1)).map(entry => entry.name), ['1', '2']);
	assert.equal(selectNearbyHosts(hosts, {region: 'r', failureDomain: 'b'}, createSeededRandom(1)).length, 3);
	assert.equal(selectNearbyHosts(hosts, {region: 'elsewhere', failureDomain: undefined}, createSeededRandom(1)).length, 3);
});

test.run();
