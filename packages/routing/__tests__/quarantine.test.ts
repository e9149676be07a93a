import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Quarantine} from '../src/index.js';

const test = suite('Quarantine');
const crashingRequest = 1;
const harmlessRequest = 2;

const createQuarantine = () => new Quarantine({crashThreshold: 2, domainFailureWindow: 2000, suspicionLifetime: 60_000});

const crash = (server: string, failureDomain: string, ...fingerprints: number[]) => ({
	server, incarnation: '1', failureDomain, fingerprints,
});

test('one crash makes a request a suspect, a second one in another failure domain quarantines it', () => {
	const quarantine = createQuarantine();
	quarantine.recordCrash(crash('a', 'x', crashingRequest, harmlessRequest), 0);
	assert.is(quarantine.evaluateStatus(crashingRequest, 0), 'suspect');
	quarantine.recordCrash(crash('b', 'y', crashingRequest), 100);
	assert.is(quarantine.evaluateStatus(crashingRequest, 100), 'quarantined');
	assert.is(quarantine.evaluateStatus(harmlessRequest, 100), 'suspect');
});

test('a rack that fails with all its servers quarantines no request', () => {
	const quarantine = createQuarantine();
	for (const [index, server] of ['a', 'b', 'c'].entries()) {
		quarantine.recordCrash(crash(server, 'x', harmlessRequest), index * 100);
	}

	assert.is(quarantine.evaluateStatus(harmlessRequest, 300), 'suspect');
});

test('a crash that one host observed counts at another host, and only once however often it is announced', () => {
	const first = createQuarantine();
	const second = createQuarantine();
	first.recordCrash(crash('a', 'x', crashingRequest), 0);
	for (let round = 0; round < 3; round++) {
		second.mergeSuspects(first.listSuspects(500), 90_000);
	}

	assert.is(second.evaluateStatus(crashingRequest, 90_000), 'suspect');
	second.recordCrash(crash('b', 'y', crashingRequest), 95_000);
	assert.is(second.evaluateStatus(crashingRequest, 95_000), 'quarantined');
});

test('a suspicion ends after its lifetime', () => {
	const quarantine = createQuarantine();
	quarantine.recordCrash(crash('a', 'x', crashingRequest), 0);
	quarantine.removeExpired(60_001);
	assert.is(quarantine.evaluateStatus(crashingRequest, 60_001), 'clear');
	assert.equal(quarantine.listSuspects(60_001), []);
});

test.run();
