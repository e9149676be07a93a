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

test.run();
