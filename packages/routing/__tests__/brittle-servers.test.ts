import * as fastCheck from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BrittleServers} from '../src/index.js';

const test = suite('BrittleServers');

const server = {id: 's', incarnation: '1', slots: 8};

test('hosts that do not know of each other\'s requests yet send no more than a brittle server has slots', () => {
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 1, max: 40}), fastCheck.integer({min: 2, max: 64}), (hostCount, slots) => {
		const hostNames = Array.from({length: hostCount}, (_, index) => `host-${index}`);
		let requests = 0;
		for (const hostName of hostNames) {
			const servers = new BrittleServers();
			servers.recordResponse(server, 3, 0);
			// Each host believes that half of the slots are taken.
			const load = {
				server: {...server, slots}, totalRequests: Math.min(Math.ceil(slots / 2), slots - 1), hostName, peerNames: hostNames.filter(name => name !== hostName),
			};
			let ownRequests = 0;
			while (servers.mayTake({...load, ownRequests}, 0)) {
				ownRequests++;
			}

			requests += ownRequests;
		}

		assert.is(requests, slots);
	}));
});

test('a server is no longer brittle once a response of the same process does not say so, and its next process is not', () => {
	const servers = new BrittleServers();
	assert.ok(servers.recordResponse(server, 3, 0));
	assert.not.ok(servers.recordResponse(server, 3, 10));
	assert.ok(servers.isBrittle(server, 20));
	assert.not.ok(servers.isBrittle({...server, incarnation: '2'}, 20));
	assert.ok(servers.recordResponse(server, undefined, 30));
	assert.not.ok(servers.isBrittle(server, 40));
});

test('a host sends beyond its part while most slots are free', () => {
	const servers = new BrittleServers();
	servers.recordResponse(server, 3, 0);
	const load = {
		server, ownRequests: 3, hostName: 'a', peerNames: ['b', 'c', 'd', 'e'],
	};
	assert.ok(servers.mayTake({...load, totalRequests: 3}, 0));
	assert.not.ok(servers.mayTake({...load, totalRequests: 5}, 0));
	assert.not.ok(servers.mayTake({...load, ownRequests: 0, totalRequests: 8}, 0));
});

test.run();
