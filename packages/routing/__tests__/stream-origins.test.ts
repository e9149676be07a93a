import * as fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	type ServerEntry, StreamOrigins, combineOrigins, hashRequestId, originRetention,
} from '../src/index.js';

const test = suite('stream origins');

const createEntries = (versions: readonly string[]): ServerEntry[] => versions.map((softwareVersion, index) => ({
	id: `i-${index}`, incarnation: '1', sequence: 1, service: 's', softwareVersion, address: '10.0.0.1:1', failureDomain: 'a', slots: 4, isDraining: false, weights: {},
}));

test('streams that began before a second version appeared are reported when it does', () => {
	const origins = new StreamOrigins();
	origins.observeServers(createEntries(['v1']), -originRetention);
	origins.observeServers(createEntries(['v1']), 0);
	assert.is(origins.record('s', 'first', 'v1', 10), undefined);
	const reports = origins.observeServers(createEntries(['v1', 'v2']), 20);
	const peer = new StreamOrigins();
	peer.observeServers(createEntries(['v1', 'v2']), 20);
	peer.merge(reports, 20);
	assert.equal(peer.find('s', hashRequestId('first'), 30), {type: 'recorded', version: 'v1'});
	assert.equal(peer.find('s', hashRequestId('second'), 30), {type: 'several'});
	assert.equal(peer.find('s', undefined, 30), {type: 'several'});
	assert.equal(origins.observeServers(createEntries(['v1', 'v2']), 40), []);
});

test('a version that has left counts until its streams have ended', () => {
	const origins = new StreamOrigins();
	origins.observeServers(createEntries(['v1', 'v2']), 0);
	origins.observeServers(createEntries(['v2']), 100);
	assert.equal(origins.find('s', hashRequestId('first'), originRetention - 1), {type: 'several'});
	origins.observeServers(createEntries(['v2']), originRetention);
	assert.equal(origins.find('s', hashRequestId('first'), originRetention), {type: 'only', version: 'v2'});
});

test('a host that has just started or was suspended does not take the version that it finds for the only one', () => {
	const origins = new StreamOrigins();
	assert.equal(origins.find('s', undefined, 0), {type: 'none'});
	origins.observeServers(createEntries(['v2']), 0);
	assert.equal(origins.find('s', undefined, originRetention - 1), {type: 'new', version: 'v2'});
	assert.is.not(origins.record('s', 'first', 'v2', 10), undefined, 'others are told, as they may not have observed the servers for longer');
	origins.observeServers(createEntries(['v2']), originRetention);
	assert.equal(origins.find('s', undefined, originRetention), {type: 'only', version: 'v2'});
	origins.interruptObservation();
	origins.observeServers(createEntries(['v2']), originRetention + 100);
	assert.equal(origins.find('s', undefined, originRetention + 100), {type: 'new', version: 'v2'});
});

test('hosts that disagree about the versions do not decide', () => {
	assert.is(combineOrigins([{type: 'several'}, {type: 'recorded', version: 'v1'}]), 'v1');
	assert.is(combineOrigins([{type: 'new', version: 'v1'}, {type: 'only', version: 'v1'}, {type: 'none'}]), 'v1');
	assert.is(combineOrigins([{type: 'new', version: 'v1'}, {type: 'new', version: 'v1'}]), undefined);
	assert.is(combineOrigins([{type: 'only', version: 'v1'}, {type: 'several'}]), undefined);
	assert.is(combineOrigins([{type: 'only', version: 'v1'}, {type: 'new', version: 'v2'}]), undefined);
	assert.is(combineOrigins([{type: 'none'}]), undefined);
});

// Guards against streams that hold events of two versions, whatever reports are lost and whenever versions come and go.
test('no host lets a stream go on at another version than the one that began it', () => {
	const versions = fc.uniqueArray(fc.constantFrom('v1', 'v1.1', 'v1.2'), {minLength: 1, maxLength: 3});
	const steps = fc.array(fc.record({
		versions, wait: fc.integer({min: 1, max: 6000}), choice: fc.nat(), isReportLost: fc.boolean(), reader: fc.nat({max: 40}),
	}), {minLength: 1, maxLength: 40});
	fc.assert(fc.property(steps, schedule => {
		const first = new StreamOrigins();
		const second = new StreamOrigins();
		const begun: Array<{readonly id: string; readonly version: string; readonly at: number}> = [];
		let now = 0;
		for (const [index, step] of schedule.entries()) {
			const entries = createEntries(step.versions);
			for (const [host, peer] of [[first, second], [second, first]] as const) {
				const reports = host.observeServers(entries, now);
				if (!step.isReportLost) {
					peer.merge(reports, now);
				}
			}

			const version = step.versions[step.choice % step.versions.length]!;
			const report = first.record('s', `id-${index}`, version, now);
			begun.push({id: `id-${index}`, version, at: now});
			if (report !== undefined && !step.isReportLost) {
				second.merge([report], now);
			}

			const resumed = begun[step.reader % begun.length]!;
			if (now - resumed.at < originRetention) {
				const answers = [first.find('s', hashRequestId(resumed.id), now), second.find('s', hashRequestId(resumed.id), now)];
				assert.is(combineOrigins(answers), resumed.version);
				for (const answer of answers) {
					const version = combineOrigins([answer]);
					assert.ok(version === undefined || version === resumed.version, JSON.stringify({answer, resumed}));
				}
			}

			now += step.wait;
			first.observeServers(entries, now);
			second.observeServers(entries, now);
		}
	}));
});

test.run();
