import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerLoads, noLoad} from '../src/index.js';

const test = suite('ServerLoads');
const load = (requests: number) => ({requests, prefillTokens: requests * 100, memoryTokens: requests * 1000});

test('the total load includes this host\'s requests and those of its peers', () => {
	const loads = new ServerLoads(1500);
	loads.addRequest('s', {prefillTokens: 100, memoryTokens: 1000});
	loads.mergePeerLoads('b', new Map([['s', load(2)]]), 0);
	assert.equal(loads.totalLoad('s', 0), load(3));
	loads.completePrefill('s', 100);
	loads.removeRequest('s', {prefillTokens: 0, memoryTokens: 1000});
	assert.equal(loads.totalLoad('s', 0), load(2));
});

test('a partial message of a peer leaves its other loads unchanged', () => {
	const loads = new ServerLoads(1500);
	loads.mergePeerLoads('b', new Map([['s', load(2)], ['t', load(1)]]), 0);
	loads.mergePeerLoads('b', new Map([['s', noLoad]]), 100, false);
	assert.equal(loads.totalLoad('s', 100), noLoad);
	assert.equal(loads.totalLoad('t', 100), load(1));
	loads.mergePeerLoads('b', new Map(), 200, true);
	assert.equal(loads.totalLoad('t', 200), noLoad);
});

test('the loads of a peer expire some time after its last message', () => {
	const loads = new ServerLoads(1500);
	loads.mergePeerLoads('b', new Map([['s', load(2)]]), 0);
	loads.mergePeerLoads('b', new Map(), 1000, false);
	assert.equal(loads.totalLoad('s', 2500), load(2));
	assert.equal(loads.totalLoad('s', 2501), noLoad);
});

const step = fc.record({
	type: fc.constantFrom('whole', 'partial', 'remove', 'read'), peer: fc.constantFrom('a', 'b', 'c'), loads: fc.dictionary(fc.constantFrom('s', 't', 'u'), fc.nat(3)), after: fc.nat(900),
});

test('the total load is the sum of the latest loads of all peers, in any order of messages, removals and reads', () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
		const loads = new ServerLoads(1500);
		loads.addRequest('s', {prefillTokens: 100, memoryTokens: 1000});
		const expected = new Map<string, {at: number; requests: Map<string, number>}>();
		let now = 0;
		for (const {type, peer, loads: sent, after} of steps) {
			now += after;
			// The loads of a peer expire when they are read.
			for (const server of ['s', 't', 'u']) {
				let total = server === 's' ? 1 : 0;
				for (const [name, {at, requests}] of expected) {
					if (now - at > 1500) {
						expected.delete(name);
					} else {
						total += requests.get(server) ?? 0;
					}
				}

				assert.equal(loads.totalLoad(server, now), load(total));
			}

			if (type === 'remove') {
				loads.removePeer(peer);
				expected.delete(peer);
			} else if (type !== 'read') {
				loads.mergePeerLoads(peer, new Map(Object.entries(sent).map(([server, requests]) => [server, load(requests)])), now, type === 'whole');
				const known = type === 'whole' ? [] : expected.get(peer)?.requests ?? [];
				expected.set(peer, {at: now, requests: new Map([...known, ...Object.entries(sent)])});
			}
		}
	}), {numRuns: 500});
});

test.run();
