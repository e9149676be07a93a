import {Metrics, silentLogger} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ClusterState} from '../src/state/cluster-state.js';
import {CrashReportReview} from '../src/state/crash-report-review.js';

const test = suite('CrashReportReview');

const report = {
	fingerprint: 1, parts: [2], server: 's', incarnation: '1', failureDomain: 'd', age: 300,
};

function createReview({canConnect, isDetached = false}: {readonly canConnect: boolean; readonly isDetached?: boolean}) {
	const clock = {now: 10_000};
	let connections = 0;
	const clusterState = new ClusterState(silentLogger, () => clock.now, () => 12_000, {
		onServersChanged() {/* Not tested here. */}, onServerRemoved() {/* Not tested here. */}, onStateChanged() {/* Not tested here. */}, onLeaseHolderRead() {/* Not tested here. */},
	});
	clusterState.apply({
		changes: [{
			type: 'server', revision: 1, entry: {
				id: 's', incarnation: '1', address: '10.0.0.9:80', sequence: 1, service: 'models', softwareVersion: undefined, failureDomain: 'd', slots: 8, isDraining: false, weights: {},
			},
		}],
		revision: 1,
	}, false, 'test');
	const review = new CrashReportReview({
		clusterState,
		log: silentLogger,
		metrics: new Metrics(),
		now: () => clock.now,
		isDetached: () => isDetached,
		async canConnect() {
			connections++;
			return canConnect;
		},
	});
	return {
		review, clusterState, clock, connectionCount: () => connections,
	};
}

// The report of one peer quarantined sound requests at all hosts.
test('a reported crash of a server that accepts connections is not believed, whoever reports it', async () => {
	const {review, connectionCount} = createReview({canConnect: true});
	assert.equal(await review.confirm('peer', [report, {...report, fingerprint: 3}]), []);
	assert.equal(await review.confirm('other peer', [report]), []);
	assert.is(connectionCount(), 1);
});

test('a reported crash of a server that has sent data since is not believed, without a connection', async () => {
	const {review, clusterState, clock, connectionCount} = createReview({canConnect: false});
	clusterState.health.recordRequestSent('s', clock.now - 100);
	clusterState.health.recordDataReceived('s', clock.now - 50);
	assert.equal(await review.confirm('peer', [report]), []);
	assert.is(connectionCount(), 0);
});

test('a reported crash of a server that is out of reach here as well is believed', async () => {
	const {review, connectionCount} = createReview({canConnect: false});
	assert.equal(await review.confirm('peer', [report]), [report]);
	assert.equal(await review.confirm('other peer', [{...report, age: 310}]), [{...report, age: 310}]);
	assert.is(connectionCount(), 1);
});

test('a reported crash of a process that has been replaced is believed', async () => {
	const {review} = createReview({canConnect: true});
	const earlier = {...report, incarnation: '0'};
	assert.equal(await review.confirm('peer', [earlier]), [earlier]);
});

test('a later crash of the same process is reviewed again', async () => {
	const {review, clock, connectionCount} = createReview({canConnect: true});
	await review.confirm('peer', [report]);
	clock.now += 5000;
	await review.confirm('peer', [report]);
	assert.is(connectionCount(), 2);
});

test('a host without links to servers confirms no crash', async () => {
	const {review} = createReview({canConnect: false, isDetached: true});
	assert.equal(await review.confirm('peer', [report]), []);
});

test.run();
