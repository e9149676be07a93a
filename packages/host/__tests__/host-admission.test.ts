import {type Configuration, type HeldRequest, toLevel} from '@lacewingpoint/routing';
import {Metrics, silentLogger} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	ClusterState, DemandReporter, HostAdmission, parseDemandReport, spreadRetryAfter,
} from '../src/index.js';
import {RequestWait} from '../src/admission/index.js';
import type {PlacementResult} from '../src/placement/placement-request.js';
import type {RoutedRequest} from '../src/requests/routed-request.js';

const test = suite('HostAdmission');

const route = {
	host: 'h', repeatability: 'stream', timeout: 4000, objective: 800, services: [{service: 's', weight: 1}], maxServers: 1, isOpen: true,
} as const;

const configuration: Configuration = {
	version: 1,
	routes: [{
		...route, name: 'urgent', prefix: '/a/', rank: 0,
	}, {
		...route, name: 'other', prefix: '/b/', rank: 2,
	}],
	services: [{name: 's', maxConnections: 10}],
	limits: {
		headerBytes: 1000, bodyBytes: 1000, headerTime: 1000, idleTime: 1000,
	},
};

const held = (rank: number): HeldRequest => ({
	workspace: 'w', rank, size: 100, enqueuedAt: 1000, expiresAt: 3000, timelyUntil: 2000, returnState: 'first',
});

function create(sharesWaitingOrder: boolean | undefined, ranks = configuration) {
	const clock = {now: 1000};
	const now = () => clock.now;
	const clusterState = new ClusterState(silentLogger, now, () => 12_000, {
		onServersChanged() {/* Not tested here. */}, onServerRemoved() {/* Not tested here. */}, onLeaseHolderRead() {/* Not tested here. */}, onStateChanged() {/* Not tested here. */},
	});
	clusterState.apply({changes: [{type: 'configuration', configuration: ranks, revision: 1}], revision: 1}, true, 'store');
	const admission = new HostAdmission(clusterState, {
		sharesWaitingOrder, log: silentLogger, metrics: new Metrics(), random: {next: () => 0.5}, now, listWaiting: () => new Map(),
	});
	return {clock, clusterState, admission};
}

const urgentDemand = new Map([['s', {waiting: new Map([[toLevel(0, 'timely'), {requests: 3, size: 300}]]), usage: new Map([[0, new Map([['w', {offered: 100, admitted: 50}]])]])}]]);

test('a request is held back while a more urgent one waits at a peer, until the peer falls silent', () => {
	const {clock, clusterState, admission} = create(true);
	clusterState.demand.mergePeer('relay', urgentDemand, clock.now);
	assert.not(admission.admits('s', admission.classify('s', held(2))));
	assert.ok(admission.admits('s', admission.classify('s', held(0))));
	clock.now += 2000;
	assert.ok(admission.admits('s', admission.classify('s', held(2))));
});

test('a service that a peer announces no longer holds nothing back, also while the peer sends messages', () => {
	const {clock, clusterState, admission} = create(true);
	clusterState.demand.mergePeer('relay', urgentDemand, clock.now);
	assert.not(admission.admits('s', toLevel(2, 'timely')));
	for (let elapsed = 0; elapsed < 4000; elapsed += 100) {
		clock.now += 100;
		clusterState.demand.recordContact('relay', clock.now);
	}

	assert.ok(admission.admits('s', toLevel(2, 'timely')));
});

test('requests that are refused at once show that capacity stays unused', () => {
	const {clock, clusterState, admission} = create(true);
	clusterState.demand.mergePeer('relay', urgentDemand, clock.now);
	const request = {
		service: 's', route: undefined, workspace: undefined, rank: 2, fingerprint: 7, received: {request: {}, receivedAt: clock.now}, remainingTime: () => 3000,
	} as unknown as RoutedRequest;
	const chosen = {type: 'chosen', chosen: {}} as unknown as PlacementResult;
	const place = () => new RequestWait(admission, request, clock.now).placeInOrder(() => chosen);
	assert.is(place().type, 'full');
	clock.now += 100;
	assert.is(place().type, 'chosen');
});

test('capacity that more urgent requests leave unused is open to the others', () => {
	const {clock, clusterState, admission} = create(true);
	clusterState.demand.mergePeer('relay', urgentDemand, clock.now);
	admission.update();
	admission.recordHeldCapacity('s', true);
	clock.now += 100;
	assert.ok(admission.admits('s', toLevel(2, 'timely')));
	admission.recordHeldCapacity('s', false);
	assert.not(admission.admits('s', toLevel(2, 'timely')));
});

test('without the setting, or with one rank for each service, requests are served as before and nothing is announced', () => {
	const [urgent] = configuration.routes;
	for (const {clock, clusterState, admission} of [create(undefined), create(true, {...configuration, routes: [urgent!]})]) {
		clusterState.demand.mergePeer('relay', urgentDemand, clock.now);
		admission.recordArrival('s', held(2));
		assert.not(admission.isInForce);
		assert.ok(admission.admits('s', toLevel(2, 'timely')));
		assert.is(admission.estimateWait('s', held(2)), undefined);
		assert.equal(new DemandReporter().take(() => clusterState.demand.sum(peer => peer !== 'relay', clock.now), true, clock.now), []);
	}
});

test('announces what waits, and ignores demand that its hosts cannot have', () => {
	const report = new DemandReporter().take(() => urgentDemand, false, 1000);
	assert.equal(parseDemandReport(report, 1), urgentDemand);
	assert.is(parseDemandReport([{service: 's', waiting: [[0, 1e9, 1]], usage: []}], 10), undefined);
	assert.is(parseDemandReport([{service: 's', waiting: [[0.5, 1, 1]], usage: []}], 10), undefined);
});

test('a retry-after is spread, and at most a third of the remaining time', () => {
	assert.ok(spreadRetryAfter(10_000, 3000, 0) <= 1000);
	assert.ok(spreadRetryAfter(500, 3000, 0.1) > spreadRetryAfter(500, 3000, 0.9));
});

test.run();
