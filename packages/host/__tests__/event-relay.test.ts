import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EventRelay} from '../src/index.js';

const test = suite('EventRelay');
const seed = 4728;
const text = (bytes: Uint8Array) => Buffer.from(bytes).toString('latin1');

test('passes on whole events only and knows the last of them', () => {
	const relay = new EventRelay();
	assert.is(text(relay.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))), 'id: 1\ndata: a\n\n');
	assert.is(relay.lastEventId, '1');
	assert.is(text(relay.push(Buffer.from('ta: b\n\n'))), 'id: 2\ndata: b\n\n');
	assert.is(relay.lastEventId, '2');
});

test('an unfinished event is dropped before another server goes on', () => {
	const relay = new EventRelay();
	relay.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
	relay.discardPartialEvent();
	assert.is(text(relay.push(Buffer.from('id: 2\ndata: b\n\n'))), 'id: 2\ndata: b\n\n');
});

test('however the bytes are cut, nothing is lost, added or passed on in part', () => {
	const events = fc.array(fc.record({id: fc.nat(), data: fc.string({unit: fc.constantFrom('a', 'b', ' ', ':'), maxLength: 12})}), {minLength: 1, maxLength: 8});
	fc.assert(fc.property(events, fc.constantFrom('\n', '\r\n'), fc.array(fc.integer({min: 1, max: 9}), {minLength: 1}), (list, end, cuts) => {
		const whole = list.map(event => `id: ${event.id}${end}data: x${event.data}${end}${end}`).join('');
		const relay = new EventRelay();
		let passed = '';
		for (let at = 0, turn = 0; at < whole.length; turn++) {
			const size = cuts[turn % cuts.length]!;
			passed += text(relay.push(Buffer.from(whole.slice(at, at + size))));
			at += size;
			assert.ok(whole.startsWith(passed));
			assert.ok(passed === '' || passed.endsWith(`${end}${end}`));
		}

		assert.is(passed, whole);
		assert.is(relay.lastEventId, String(list.at(-1)!.id));
	}), {seed});
});

test.run();
