import {createSeededRandom} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type EngineCandidate, type GenerationRequest, EngineObservations, EnginePlacer, PromptCacheIndex, SilenceLimit, defaultEngineSpeed, defaultSilenceLimitOptions, noLoad,
} from '../src/index.js';

const test = suite('uneven model servers');
const seed = 4811;
const service = 'models';
const servers = Array.from({length: 16}, (_, index) => `s${index}`);
const isSlow = (server: string) => Number(server.slice(1)) % 4 === 0;
/** Engines that read half as fast as assumed; a quarter of them is slow for good. */
const truth = {baseLatency: 30, prefillTimePerToken: 0.0245};
const factorOf = (server: string) => isSlow(server) ? 1 / 0.55 : 1 / 1.2;

/** Lets one host observe requests at all servers; 15 in 100 are slowed by a neighbor. */
function observe(count: number, observations = new EngineObservations(defaultEngineSpeed), selected = servers) {
	const random = createSeededRandom(seed);
	for (let request = 0; request < count; request++) {
		const server = selected[request % selected.length]!;
		const prefillTokens = random.next() < 0.5 ? 600 : 3000 + (6000 * random.next());
		const disturbance = random.next() < 0.15 ? 2.5 : 1;
		const expected = observations.speed(service);
		observations.recordFirstToken(service, {
			server,
			prefillTokens,
			time: (truth.baseLatency + (prefillTokens * truth.prefillTimePerToken)) * factorOf(server) * disturbance * (0.95 + (0.1 * random.next())),
			expectedTime: expected.baseLatency + (prefillTokens * expected.prefillTimePerToken),
			isUndisturbed: true,
		}, request * 50);
	}

	return {observations, now: count * 50};
}

function candidatesOf(observations: EngineObservations, now: number): EngineCandidate[] {
	return servers.map(id => ({
		id, address: `${id}:1`, failureDomain: 'a', weightsVersion: 1, isOutdated: false, slots: 24, memoryTokens: 92_308, load: noLoad,
		slowness: observations.slowness(service, id, now), isRolloutDraining: false, isFailing: false,
	}));
}

const longPrompt: GenerationRequest = {
	parts: [{id: 'own', tokens: 9190}], promptTokens: 9190, outputTokens: 9, objective: 615, cacheSaltFor: version => `m ${version}`,
};

test('the speed of the service and the lasting differences are learned from answers', () => {
	const {observations, now} = observe(1600);
	// The median server is one of the fast ones.
	const {baseLatency, prefillTimePerToken} = observations.speed(service);
	const predict = (tokens: number, server: string) => (baseLatency + (tokens * prefillTimePerToken)) * observations.slowness(service, server, now + 5000);
	for (const server of servers) {
		for (const tokens of [600, 9190]) {
			const ratio = predict(tokens, server) / ((truth.baseLatency + (tokens * truth.prefillTimePerToken)) * factorOf(server));
			assert.ok(ratio > 0.7 && ratio < 1.5, `${server} ${tokens}: ${ratio}`);
		}
	}

	const placement = new EnginePlacer(new PromptCacheIndex()).choosePlacement(longPrompt, candidatesOf(observations, now + 5000), {
		failureDomain: 'a', stores: [], speed: observations.speed(service), now: now + 5000,
	})!;
	assert.not(isSlow(placement.server));
});

test('engines of the assumed speed are predicted as before', () => {
	const observations = new EngineObservations(defaultEngineSpeed);
	for (let request = 0; request < 400; request++) {
		const prefillTokens = request % 2 === 0 ? 500 : 5000;
		const time = defaultEngineSpeed.baseLatency + (prefillTokens * defaultEngineSpeed.prefillTimePerToken);
		observations.recordFirstToken(service, {
			server: servers[request % 16]!, prefillTokens, time, expectedTime: time, isUndisturbed: true,
		}, request);
	}

	const {baseLatency, prefillTimePerToken} = observations.speed(service);
	assert.ok(Math.abs(prefillTimePerToken - defaultEngineSpeed.prefillTimePerToken) < 1e-9);
	assert.ok(Math.abs(baseLatency - defaultEngineSpeed.baseLatency) < 1e-6);
	assert.is(observations.slowness(service, 's1', 400), 1);
});

test('slowness follows the ratio of measured to expected time', () => {
	const observations = new EngineObservations(defaultEngineSpeed);
	for (let request = 0; request < 30; request++) {
		observations.recordFirstToken(service, {
			server: 'slow', prefillTokens: 1500, time: 400, expectedTime: 100, isUndisturbed: false,
		}, request);
	}

	assert.ok(observations.slowness(service, 'slow', 30) > 3.5);
	assert.is(observations.slowness(service, 'other', 30), 1);
	assert.equal(observations.speed(service), defaultEngineSpeed);
});

// A neighbor takes the processor for 600 ms.
test('a server that a neighbor slows is avoided for a moment, and keeps its lasting pace', () => {
	const {observations, now} = observe(1600);
	const usual = observations.slowness(service, 's1', now + 5000);
	const {baseLatency} = observations.speed(service);
	observations.recordFirstToken(service, {
		server: 's1', prefillTokens: 1500, time: baseLatency * usual * 2.5, expectedTime: baseLatency, isUndisturbed: false,
	}, now + 5000);
	assert.ok(observations.slowness(service, 's1', now + 5000) > usual * 2);
	assert.ok(observations.slowness(service, 's1', now + 8000) < usual * 1.2);
});

test('a server that crashed and returned empty, and one that is new, have the pace of the median', () => {
	const {observations, now} = observe(1600);
	const median = observations.slowness(service, 'new', now);
	assert.ok(Math.abs(Math.log(median * 1.2)) < Math.abs(Math.log(median * 0.55)));
	assert.ok(observations.slowness(service, 's4', now + 5000) > median * 1.5);
	observations.clearServer('s4');
	assert.is(observations.slowness(service, 's4', now), median);
});

test('a host that never meets a server knows its pace from the summaries of another; lost or absurd ones do no harm', () => {
	const {observations: busy, now} = observe(1600);
	const {observations: other} = observe(300, undefined, ['s1', 's2', 's3']);
	assert.ok(other.slowness(service, 's4', now) < 1.5);
	const reports = busy.takePaceReports(40);
	assert.is(reports.length, 16);
	for (const report of reports) {
		assert.ok(other.mergePaceReport(service, report, now));
	}

	assert.ok(other.slowness(service, 's4', now) > 1.5 * other.slowness(service, 's5', now));
	assert.equal(other.takePaceReports(40).map(report => report.server).toSorted(), ['s1', 's2', 's3']);
	assert.is(busy.takePaceReports(40).length, 0);
	const before = other.slowness(service, 's5', now);
	assert.not(other.mergePaceReport(service, {server: 's5', mean: Number.NaN, count: 4}, now));
	assert.not(other.mergePaceReport(service, {server: 's5', mean: 1, count: -4}, now));
	assert.is(other.slowness(service, 's5', now), before);
	other.mergePaceReport(service, {server: 's5', mean: 1000, count: 1e9}, now);
	assert.ok(other.slowness(service, 's5', now) <= 10);
});

// Long prompts at slow engines: a server that prefills one is silent for longer than the lowest limit.
test('a server that is silent while it works is not taken for a stalled one, once this was seen', () => {
	const limit = new SilenceLimit();
	assert.is(Math.round(limit.limit), 350);
	const random = createSeededRandom(seed);
	for (let response = 0; response < 1000; response++) {
		limit.recordSilence(random.next() < 0.05 ? 600 + (200 * random.next()) : 40);
	}

	assert.ok(limit.limit > 800, String(limit.limit));
	for (let response = 0; response < 2000; response++) {
		limit.recordSilence(40);
	}

	assert.is(Math.round(limit.limit), 350);
	for (let response = 0; response < 1000; response++) {
		limit.recordSilence(60_000);
	}

	assert.ok(limit.limit <= defaultSilenceLimitOptions.highestLimit);
});

test.run();
