import * as fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type ServerEntry, StreamOrigins, originRetention} from '../src/index.js';

const test = suite('stream origins');

const createEntries = (versions: readonly string[]): ServerEntry[] => versions.map((softwareVersion, index) => ({
	id: `i-${index}`, incarnation: '1', sequence: 1, service: 's', softwareVersion, address: '10.0.0.1:1', failureDomain: 'a', slots: 4, isDraining: false, weights: {},
}));

test('streams that began before a second version appeared are reported when it does', () => {
	const origins = new StreamOrigins();
	origins.observeServers(createEntries(['v1']), 0);
	assert.is(origins.record('s', 'first', 'v1', 10), undefined);
	const reports = origins.observeServers(createEntries(['v1', 'v2']), 20);
	const peer = new StreamOrigins();
	peer.observeServers(createEntries(['v1', 'v2']), 20);
	peer.merge(reports, 20);
	assert.equal(peer.find('s', 'first', 30), {type: 'version', version: 'v1'});
	assert.equal(peer.find('s', 'second', 30), {type: 'unknown'});
	assert.equal(peer.find('s', undefined, 30), {type: 'unknown'});
	assert.equal(origins.observeServers(createEntries(['v1', 'v2']), 40), []);
});

test('a version that has left counts until its streams have ended', () => {
	const origins = new StreamOrigins();
	origins.observeServers(createEntries(['v1', 'v2']), 0);
	origins.observeServers(createEntries(['v2']), 100);
	assert.equal(origins.find('s', 'first', originRetention - 1), {type: 'unknown'});
	origins.observeServers(createEntries(['v2']), originRetention);
	assert.equal(origins.find('s', 'first', originRetention), {type: 'version', version: 'v2'});
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
				for (const host of [first, second]) {
					const origin = host.find('s', resumed.id, now);
					assert.ok(origin.type === 'unknown' || (origin.type === 'version' && origin.version === resumed.version), JSON.stringify({origin, resumed}));
				}
			}

			now += step.wait;
			first.observeServers(entries, now);
			second.observeServers(entries, now);
		}
	}));
});

test.run();
