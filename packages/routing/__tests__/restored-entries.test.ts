import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type ServerEntry, ServerDirectory} from '../src/index.js';

const test = suite('ServerDirectory and restored stores');
const seed = 4731;

function createEntry(incarnation: number, sequence: number, isDraining: boolean): ServerEntry {
	return {
		id: 'a', incarnation: String(incarnation), sequence, service: 's', address: '10.0.0.1:1', failureDomain: 'a', slots: 4, isDraining, weights: {},
	};
}

const create = () => new ServerDirectory({reregistrationGrace: 2000});
const isAvailable = (directory: ServerDirectory) => directory.listAvailable('s').length > 0;

test('a copy from before a server began to drain does not make it available again', () => {
	const directory = create();
	directory.applyEntry(createEntry(1, 3, false), 10);
	directory.applyEntry(createEntry(1, 7, true), 12);
	directory.recordStoreRestored(0);
	directory.applyEntry(createEntry(1, 5, false), 1011);
	assert.not.ok(isAvailable(directory));
});

test('a copy from before a server was removed does not bring it back, its next registration does', () => {
	const directory = create();
	directory.applyEntry(createEntry(1, 3, false), 10);
	assert.ok(directory.applyRemoval('a', 12, 0));
	directory.recordStoreRestored(0);
	assert.is(directory.applyEntry(createEntry(1, 5, false), 1011), 'nothing');
	assert.not.ok(isAvailable(directory));
	assert.is(directory.applyEntry(createEntry(1, 8, false), 1013), 'incarnation');
	assert.ok(isAvailable(directory));
});

test('a server that is missing in the copy has two seconds to register again, also after two restores in a row', () => {
	const directory = create();
	directory.applyEntry(createEntry(1, 3, false), 10);
	directory.recordStoreRestored(0);
	assert.not.ok(directory.applyRemoval('a', 1005, 10));
	directory.recordStoreRestored(900);
	assert.not.ok(directory.applyRemoval('a', 2005, 910));
	assert.equal(directory.removeExpired(2500), []);
	assert.ok(isAvailable(directory));
	assert.equal(directory.removeExpired(2900), ['a']);
});

test('an entry that disappears in a second outage is kept until two seconds after it', () => {
	const directory = create();
	directory.applyEntry(createEntry(1, 3, false), 10);
	directory.recordStoreLost();
	directory.recordStoreRecovered(0);
	directory.recordStoreLost();
	assert.not.ok(directory.applyRemoval('a', 12, 50_000));
	directory.recordStoreRecovered(60_000);
	assert.equal(directory.removeExpired(61_999), []);
	assert.equal(directory.removeExpired(62_000), ['a']);
});

type StoredEntry = {readonly entry: ServerEntry; readonly revision: number} | undefined;

test('whatever the order of registrations, copies and restores, no process that was seen to drain or leave gets requests again', () => {
	const step = fc.constantFrom('register', 'drain', 'leave', 'restart', 'copy', 'restore', 'read', 'read');
	fc.assert(fc.property(fc.array(step, {minLength: 5, maxLength: 40}), steps => {
		const directory = create();
		const left = new Set<string>();
		let stored: StoredEntry;
		let copy: {readonly stored: StoredEntry; readonly revision: number} = {stored: undefined, revision: 1};
		let [revision, era, incarnation, sequence, isDraining] = [1, 0, 1, 0, false];
		const write = () => {
			sequence++;
			revision++;
			stored = {entry: createEntry(incarnation, sequence, isDraining), revision};
		};

		for (const [index, action] of steps.entries()) {
			const now = index * 10_000;
			switch (action) {
				case 'drain':
				case 'register': {
					isDraining ||= action === 'drain';
					write();
					break;
				}

				case 'restart': {
					incarnation++;
					[sequence, isDraining] = [0, false];
					write();
					break;
				}

				case 'leave': {
					isDraining = true;
					stored = undefined;
					revision++;
					break;
				}

				case 'copy': {
					copy = {stored, revision};
					break;
				}

				case 'restore': {
					({stored, revision} = copy);
					era++;
					directory.recordStoreRestored(now);
					break;
				}

				case 'read': {
					const previous = directory.findEntry('a');
					if (stored === undefined) {
						directory.removeUnlisted(new Set(), (era * 1000) + revision, now);
						directory.removeExpired(now);
					} else {
						directory.applyEntry(stored.entry, (era * 1000) + stored.revision);
					}

					const known = directory.findEntry('a');
					if (known?.isDraining === true) {
						left.add(known.incarnation);
					}

					if (known === undefined && previous !== undefined) {
						left.add(previous.incarnation);
					}
				}
			}

			const [available] = directory.listAvailable('s');
			assert.not.ok(available !== undefined && left.has(available.incarnation), `${steps.slice(0, index + 1).join(' ')}`);
		}
	}), {seed, numRuns: 500});
});

test.run();
