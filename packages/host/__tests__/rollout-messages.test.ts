import {RolloutTable} from '@lacewingpoint/routing';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {describeRollouts} from '../src/rollouts/rollout-messages.js';

const test = suite('rollout messages');

const member = {
	kind: 'member',
	host: {
		name: 'host-1', incarnation: 'i1', failureDomain: 'a', address: '127.0.0.1:1',
	},
} as unknown as Parameters<typeof describeRollouts>[1];

test('requests that lead to nothing keep no other rollout from being granted, and a message stays small', () => {
	const table = new RolloutTable(1500);
	const services = Array.from({length: 12}, (_, index) => `s${index}`);
	for (const [index, service] of services.entries()) {
		table.applyRequest({
			id: service, service, target: 'v2', timeBudget: 12_000,
		}, index + 1, 0);
	}

	for (const service of services.slice(6)) {
		table.applyGrant(service, {
			requestId: service, term: 1, number: 1, share: 0.1,
		}, 0);
	}

	const messages = [1, 2].map(now => describeRollouts(table, member, now)!);
	assert.ok(messages.every(reports => reports.length <= 4));
	assert.equal(messages.flat().map(({service}) => service).toSorted(), services.slice(6).toSorted());
});

test.run();
