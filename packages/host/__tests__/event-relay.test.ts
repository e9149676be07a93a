import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EventRelay} from '../src/index.js';

const test = suite('EventRelay');
const seed = 4728;
const text = (bytes: Uint8Array) => Buffer.from(bytes).toString('latin1');

test('forwards complete events only and knows the id of the last one', () => {
	const relay = new EventRelay();
	assert.is(text(relay.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))), 'id: 1\ndata: a\n\n');
	assert.is(relay.lastEventId, '1');
	assert.is(text(relay.push(Buffer.from('ta: b\n\n'))), 'id: 2\ndata: b\n\n');
	assert.is(relay.lastEventId, '2');
});

test('an incomplete event is discarded before another server resumes the stream', () => {
	const relay = new EventRelay();
	relay.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
	relay.discardPartialEvent();
	assert.is(text(relay.push(Buffer.from('id: 2\ndata: b\n\n'))), 'id: 2\ndata: b\n\n');
});

test('a stream ends within an event unless only comments and empty lines follow the last complete event', () => {
	const isWithinEvent = (stream: string) => {
		const relay = new EventRelay();
		relay.push(Buffer.from(stream));
		return relay.isWithinEvent;
	};

	for (const stream of ['', 'id: 1\ndata: a\n\n', 'id: 1\r\ndata: a\r\n\r\n', 'data: a\n\n\n', 'data: a\n\n: keep-alive', ': keep-alive\n']) {
		assert.not.ok(isWithinEvent(stream), JSON.stringify(stream));
	}

	for (const stream of ['i', 'data: a', 'data: a\n', 'data: a\n\nid: 2', 'data: a\n\n: comment\nid: 2\ndata: b\n']) {
		assert.ok(isWithinEvent(stream), JSON.stringify(stream));
	}
});

test('wherever chunks end, no byte is lost or added and no partial event is forwarded', () => {
	const events = fc.array(fc.record({id: fc.nat(), data: fc.string({unit: fc.constantFrom('a', 'b', ' ', ':'), maxLength: 12})}), {minLength: 1, maxLength: 8});
	fc.assert(fc.property(events, fc.constantFrom('\n', '\r\n'), fc.array(fc.integer({min: 1, max: 9}), {minLength: 1}), (list, lineEnd, chunkSizes) => {
		const stream = list.map(event => `id: ${event.id}${lineEnd}data: x${event.data}${lineEnd}${lineEnd}`).join('');
		const relay = new EventRelay();
		let forwarded = '';
		for (let offset = 0, index = 0; offset < stream.length; index++) {
			const size = chunkSizes[index % chunkSizes.length]!;
			forwarded += text(relay.push(Buffer.from(stream.slice(offset, offset + size))));
			offset += size;
			assert.ok(stream.startsWith(forwarded));
			assert.ok(forwarded === '' || forwarded.endsWith(`${lineEnd}${lineEnd}`));
		}

		assert.is(forwarded, stream);
		assert.is(relay.lastEventId, String(list.at(-1)!.id));
	}), {seed});
});

// Guards against a host that handles nothing else while a server sends an event without an end: the time for each piece grew with the event.
test('the time to receive an incomplete event grows with its size, not with the square of it', () => {
	const piece = Buffer.alloc(1000, 'x');
	const relay = new EventRelay();
	const startedAt = performance.now();
	for (let bytes = 0; bytes < 6_000_000; bytes += piece.length) {
		assert.is(relay.push(piece).length, 0);
	}

	assert.is(text(relay.push(Buffer.from('\n\n'))).length, 6_000_002);
	// A route's time-out of a second, and half a second by which a response may be late, are taken up by nothing else in this time.
	assert.ok(performance.now() - startedAt < 1500, `${Math.round(performance.now() - startedAt)} ms`);
});

test('an event whose end arrives in another piece than its last line is complete', () => {
	for (const [first, ...rest] of [['data: a\n', '\n'], ['data: a\r\n\r', '\n'], ['data: a\r\n', '\r\n'], ['data: a\n', '\r', '\n'], ['data: a', '\n', '\n']]) {
		const relay = new EventRelay();
		assert.is(relay.push(Buffer.from(first!)).length, 0);
		const forwarded = rest.map(piece => text(relay.push(Buffer.from(piece)))).join('');
		assert.is(forwarded, first! + rest.join(''));
		assert.is(relay.bufferedBytes, 0);
	}
});

test('events that were returned stay as they are when more arrives', () => {
	const relay = new EventRelay();
	relay.push(Buffer.from('data: a'));
	const first = relay.push(Buffer.from('a\n\ndata: b'));
	const second = relay.push(Buffer.from('b\n\n'));
	relay.push(Buffer.from('data: c'));
	assert.equal([text(first), text(second)], ['data: aa\n\n', 'data: bb\n\n']);
});

test.run();
