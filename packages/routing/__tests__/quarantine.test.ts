import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Quarantine} from '../src/index.js';

const test = suite('Quarantine');
const poison = 1;
const bystander = 2;

const newQuarantine = () => new Quarantine({convictingDeaths: 2, domainWindow: 2000, lifetime: 60_000});

const death = (server: string, failureDomain: string, ...fingerprints: number[]) => ({
	server, incarnation: '1', failureDomain, fingerprints,
});

test('one death makes a suspect, a second one elsewhere convicts', () => {
	const quarantine = newQuarantine();
	quarantine.noteDeath(death('a', 'x', poison, bystander), 0);
	assert.is(quarantine.judge(poison, 0), 'suspect');
	quarantine.noteDeath(death('b', 'y', poison), 100);
	assert.is(quarantine.judge(poison, 100), 'quarantined');
	assert.is(quarantine.judge(bystander, 100), 'suspect');
});

test('a rack that fails with all its servers convicts nobody', () => {
	const quarantine = newQuarantine();
	for (const [index, server] of ['a', 'b', 'c'].entries()) {
		quarantine.noteDeath(death(server, 'x', bystander), index * 100);
	}

	assert.is(quarantine.judge(bystander, 300), 'suspect');
});

test('what one router saw counts with another, and once only however often it is told', () => {
	const first = newQuarantine();
	const second = newQuarantine();
	first.noteDeath(death('a', 'x', poison), 0);
	for (let round = 0; round < 3; round++) {
		second.merge(first.suspects(500), 90_000);
	}

	assert.is(second.judge(poison, 90_000), 'suspect');
	second.noteDeath(death('b', 'y', poison), 95_000);
	assert.is(second.judge(poison, 95_000), 'quarantined');
});

test('suspicion ends after its lifetime', () => {
	const quarantine = newQuarantine();
	quarantine.noteDeath(death('a', 'x', poison), 0);
	quarantine.tick(60_001);
	assert.is(quarantine.judge(poison, 60_001), 'clear');
	assert.equal(quarantine.suspects(60_001), []);
});

test.run();
