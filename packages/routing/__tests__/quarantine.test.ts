import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Quarantine} from '../src/index.js';

const test = suite('Quarantine');
const poison = 1;
const bystander = 2;

const newQuarantine = () => new Quarantine({crashThreshold: 2, domainFailureWindow: 2000, suspicionLifetime: 60_000});

const death = (server: string, failureDomain: string, ...fingerprints: number[]) => ({
	server, incarnation: '1', failureDomain, fingerprints,
});

test('one death makes a suspect, a second one elsewhere convicts', () => {
	const quarantine = newQuarantine();
	quarantine.recordCrash(death('a', 'x', poison, bystander), 0);
	assert.is(quarantine.evaluateStatus(poison, 0), 'suspect');
	quarantine.recordCrash(death('b', 'y', poison), 100);
	assert.is(quarantine.evaluateStatus(poison, 100), 'quarantined');
	assert.is(quarantine.evaluateStatus(bystander, 100), 'suspect');
});

test('a rack that fails with all its servers convicts nobody', () => {
	const quarantine = newQuarantine();
	for (const [index, server] of ['a', 'b', 'c'].entries()) {
		quarantine.recordCrash(death(server, 'x', bystander), index * 100);
	}

	assert.is(quarantine.evaluateStatus(bystander, 300), 'suspect');
});

test('what one router saw counts with another, and once only however often it is told', () => {
	const first = newQuarantine();
	const second = newQuarantine();
	first.recordCrash(death('a', 'x', poison), 0);
	for (let round = 0; round < 3; round++) {
		second.mergeSuspects(first.listSuspects(500), 90_000);
	}

	assert.is(second.evaluateStatus(poison, 90_000), 'suspect');
	second.recordCrash(death('b', 'y', poison), 95_000);
	assert.is(second.evaluateStatus(poison, 95_000), 'quarantined');
});

test('suspicion ends after its lifetime', () => {
	const quarantine = newQuarantine();
	quarantine.recordCrash(death('a', 'x', poison), 0);
	quarantine.removeExpired(60_001);
	assert.is(quarantine.evaluateStatus(poison, 60_001), 'clear');
	assert.equal(quarantine.listSuspects(60_001), []);
});

test.run();
