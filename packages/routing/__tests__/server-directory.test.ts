import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type ServerEntry, ServerDirectory} from '../src/index.js';

const test = suite('ServerDirectory');
const seed = 4722;

function entry(id: string, more: Partial<ServerEntry> = {}): ServerEntry {
	return {
		id, incarnation: '1', sequence: 0, service: 's', address: '10.0.0.1:1', failureDomain: 'a', slots: 4, isDraining: false, weights: {}, ...more,
	};
}

const create = () => new ServerDirectory({reregistrationGrace: 2000});
const availableIds = (directory: ServerDirectory) => directory.listAvailable('s').map(server => server.id);

test('a draining server gets no new requests once its state is known', () => {
	const directory = create();
	directory.applyEntry(entry('a'), 5);
	directory.applyEntry(entry('a', {isDraining: true}), 6);
	assert.equal(availableIds(directory), []);
});

test('an older revision never overrides a newer one', () => {
	const directory = create();
	directory.applyEntry(entry('a', {isDraining: true}), 6);
	assert.is(directory.applyEntry(entry('a'), 5), 'nothing');
	directory.applyRemoval('a', 9, 0);
	assert.is(directory.applyEntry(entry('a'), 8), 'nothing');
	assert.equal(availableIds(directory), []);
	assert.is(directory.applyEntry(entry('a', {incarnation: '2'}), 10), 'incarnation');
});

test('an entry that disappears during a store outage is kept until two seconds after it', () => {
	const directory = create();
	directory.applyEntry(entry('a'), 5);
	directory.applyEntry(entry('b'), 5);
	directory.recordStoreLost();
	directory.recordStoreRecovered(10_000);
	assert.equal(directory.removeUnlisted(new Set(), 9, 10_000), []);
	assert.equal(availableIds(directory), ['a', 'b']);
	directory.applyEntry(entry('a'), 11);
	assert.equal(directory.removeExpired(11_000), []);
	assert.equal(directory.removeExpired(12_000), ['b']);
	assert.equal(availableIds(directory), ['a']);
});

test('an entry that disappears while the store is reachable is removed at once', () => {
	const directory = create();
	directory.applyEntry(entry('a'), 5);
	assert.ok(directory.applyRemoval('a', 6, 50_000));
	assert.equal(availableIds(directory), []);
});

// Guards against a gone server that stays known to hosts which got its entry during the grace period of another host.
test('an entry that another host kept for its grace period is removed when that host removes it', () => {
	const [keeping, following] = [create(), create()];
	keeping.applyEntry(entry('a'), 5);
	keeping.recordStoreLost();
	keeping.recordStoreRecovered(0);
	keeping.removeUnlisted(new Set(), 9, 10);
	const [kept] = keeping.listEntries();
	following.applyEntry(kept!.entry, kept!.revision);
	assert.equal(keeping.removeExpired(2000), ['a']);
	assert.ok(following.applyRemoval('a', 9, 2000));
	assert.is(following.applyEntry(kept!.entry, kept!.revision), 'nothing');
});

test('the newest change wins whatever the order of the changes', () => {
	const changes = fc.uniqueArray(fc.record({revision: fc.integer({min: 1, max: 50}), isRemoval: fc.boolean(), isDraining: fc.boolean()}), {
		selector: change => change.revision, minLength: 1, maxLength: 12,
	});
	fc.assert(fc.property(changes, ordered => {
		const directory = create();
		for (const change of ordered) {
			if (change.isRemoval) {
				directory.applyRemoval('a', change.revision, 0);
			} else {
				directory.applyEntry(entry('a', {isDraining: change.isDraining}), change.revision);
			}
		}

		// The removal of an unknown server is ignored (entries that follow it in the store are newer), so a removal as the newest change is
		// not checked.
		const newest = ordered.toSorted((left, right) => right.revision - left.revision)[0]!;
		if (!newest.isRemoval) {
			assert.equal(availableIds(directory), newest.isDraining ? [] : ['a']);
		}
	}), {seed});
});

test.run();
