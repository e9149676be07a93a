import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type RolloutProgress, type RolloutRequest, RolloutTable} from '../src/index.js';

const test = suite('RolloutTable');

const request: RolloutRequest = {
	id: 'r1', service: 's', target: 'v2', timeBudget: 12_000,
};
const progress: RolloutProgress = {
	requestId: 'r1', requestRevision: 10, service: 's', target: 'v2', state: 'running', step: 0, elapsed: 0, term: 1, barred: [], retired: [],
};

function createTable(): RolloutTable {
	const table = new RolloutTable(1500);
	table.applyRequest(request, 10, 0);
	return table;
}

/** Counts the requests out of a thousand that may go to a version. */
function countPermitted(table: RolloutTable, version: string, now: number, requiredVersion?: string): number {
	return Array.from({length: 1000}, (_, index) => table.permits('s', version, {
		requestId: `q${index}`, requiredVersion, hasTriedTarget: false, hasServer: condition => ['v1', 'v2', 'v3'].some(name => condition(name)),
	}, now)).filter(Boolean).length;
}

test('a host without a grant, or with one that was not renewed, sends nothing to the new version', () => {
	const table = createTable();
	assert.is(countPermitted(table, 'v2', 0), 0);
	table.applyGrant('s', {
		requestId: 'r1', term: 1, number: 1, share: 0.2,
	}, 100);
	const [old, next] = [countPermitted(table, 'v1', 200), countPermitted(table, 'v2', 200)];
	assert.is(old + next, 1000);
	assert.ok(next > 150 && next < 250, String(next));
	assert.is(countPermitted(table, 'v2', 1601), 0);
	assert.is(countPermitted(table, 'v1', 1601), 1000);
	assert.is(countPermitted(table, 'v2', 1601, 'v2'), 0);
});

test('a grant that is passed on does not last longer, and one that has lapsed is not passed on to a host that starts', () => {
	const [relay, member] = [createTable(), createTable()];
	const grant = {
		requestId: 'r1', term: 1, number: 1, share: 1,
	};
	relay.applyGrant('s', grant, 100);
	const passed = relay.takeGrant('s', 'member', 1500)!;
	assert.equal(passed, {...grant, age: 1400});
	member.applyGrant('s', grant, 1500 - passed.age);
	assert.is(member.share('s', 1600), 1);
	assert.is(member.share('s', 1601), 0);
	assert.is(relay.takeGrant('s', 'member', 1500), undefined);
	assert.is(relay.takeGrant('s', 'restarted member', 1601), undefined);
});

test('grants of an earlier holder and earlier grants are ignored', () => {
	const table = createTable();
	assert.ok(table.applyGrant('s', {
		requestId: 'r1', term: 2, number: 3, share: 0,
	}, 0));
	assert.not(table.applyGrant('s', {
		requestId: 'r1', term: 1, number: 9, share: 1,
	}, 0));
	assert.not(table.applyGrant('s', {
		requestId: 'r1', term: 2, number: 3, share: 1,
	}, 0));
	assert.not(table.applyGrant('s', {
		requestId: 'r0', term: 9, number: 1, share: 1,
	}, 0));
	assert.is(table.share('s', 0), 0);
});

test('progress never goes back, also not with a restored store, and an older request changes nothing', () => {
	const table = createTable();
	table.applyProgress({...progress, state: 'reverted'}, 12);
	assert.not(table.applyProgress({...progress, step: 2}, 2 ** 40));
	assert.not(table.applyRequest({...request}, 2 ** 40, 0));
	assert.is(table.list().get('s')?.progress?.state, 'reverted');
	assert.not(table.applyRequest({...request, id: 'r0', target: 'v0'}, 9, 0));
	assert.is(countPermitted(table, 'v2', 0), 0);
	assert.is(countPermitted(table, 'v2', 0, 'v2'), 0);
});

test('the version of a reverted or replaced rollout gets nothing during the next one; a request for it lifts that', () => {
	const table = createTable();
	table.applyRequest({...request, id: 'r2', target: 'v3'}, 20, 0);
	assert.is(countPermitted(table, 'v2', 0), 0);
	assert.is(countPermitted(table, 'v1', 0), 1000);
	table.applyRequest({...request, id: 'r3', target: 'v2'}, 30, 0);
	table.applyGrant('s', {
		requestId: 'r3', term: 1, number: 1, share: 1,
	}, 0);
	assert.is(countPermitted(table, 'v2', 0), 1000);
	assert.is(countPermitted(table, 'v3', 0), 0);
});

test('a stream goes on only at its version while the rollout allows it', () => {
	const table = createTable();
	table.applyGrant('s', {
		requestId: 'r1', term: 1, number: 1, share: 1,
	}, 0);
	assert.is(countPermitted(table, 'v1', 0), 0);
	assert.is(countPermitted(table, 'v1', 0, 'v1'), 1000);
	assert.is(countPermitted(table, 'v2', 0, 'v2'), 1000);
});

test('each peer gets each answer once, and a new one none of the earlier answers', () => {
	const table = createTable();
	const answer = {
		route: 'a', side: 'target', outcome: 1, count: 1,
	} as const;
	assert.equal(table.takeAnswers('s', 'p', 9), []);
	table.recordAnswer('s', answer);
	table.mergeAnswers('s', 'r1', [{...answer, count: 2}], true);
	table.mergeAnswers('s', 'r1', [{...answer, count: 4}], false);
	assert.equal(table.takeAnswers('s', 'p', 9), [{...answer, count: 3}]);
	assert.equal(table.takeAnswers('s', 'p', 9), []);
	assert.equal(table.takeAnswers('s', 'new', 9), []);
	assert.equal(table.totals('s'), [{...answer, count: 7}]);
});

test('nothing is kept of the answers to a rollout that is decided, also not of those that arrive late', () => {
	const table = createTable();
	const answer = {
		route: 'a', side: 'target', outcome: 1, count: 1,
	} as const;
	table.recordAnswer('s', answer);
	table.applyProgress({...progress, state: 'completed'}, 12);
	table.mergeAnswers('s', 'r1', [answer], true);
	assert.equal(table.totals('s'), []);
	assert.is(countPermitted(table, 'v2', 0), 1000);
});

test.run();
