import {encode} from '@msgpack/msgpack';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import * as v from 'valibot';
import {
	compileSchema, decodeHostMessage, hostMessageSchema, invalid,
} from '../src/index.js';

const test = suite('compileSchema');
const seed = 5102;

const odd = fc.oneof(
	fc.constantFrom<unknown>(undefined, null, '', 'serving', 'dancing', 'server', 'server-gone', 'weights', 'request', true, [], {}, Number.NaN, Number.POSITIVE_INFINITY, -1, 1e300),
	fc.anything({maxDepth: 2}),
	fc.dictionary(fc.constantFrom('constructor', 'prototype', 'i-1', 'type', 'name'), fc.oneof(fc.integer(), fc.tuple(fc.integer(), fc.integer(), fc.integer()))),
);
const text = fc.oneof({weight: 300, arbitrary: fc.string()}, odd);
const number = fc.oneof({weight: 300, arbitrary: fc.double({noNaN: true})}, odd);
const flag = fc.oneof({weight: 300, arbitrary: fc.boolean()}, odd);
const list = <Item>(item: fc.Arbitrary<Item>) => fc.oneof({weight: 300, arbitrary: fc.array(item, {maxLength: 3})}, odd);
const names = list(text);
const description = fc.record({
	name: text, incarnation: text, failureDomain: text, region: text,
	clientAddress: text, peerAddress: text, snapshotAddress: text, capacity: number, protocol: number, capabilities: names, later: odd,
}, {requiredKeys: ['name', 'incarnation', 'failureDomain', 'region', 'clientAddress', 'peerAddress', 'snapshotAddress']});
const state = fc.oneof({weight: 20, arbitrary: fc.constantFrom('starting', 'serving', 'detached', 'stopping', 'dancing')}, odd);
const role = fc.oneof({weight: 20, arbitrary: fc.constantFrom('joining', 'member', 'relay', 'other')}, odd);
const change = fc.oneof(
	fc.record({
		type: fc.constant('server'), revision: number, entry: fc.record({
			id: text, incarnation: text, sequence: number, service: text, softwareVersion: text, address: text, failureDomain: text,
			slots: number, isDraining: flag, weights: fc.dictionary(fc.string(), number),
		}, {requiredKeys: ['id', 'incarnation', 'service', 'address', 'failureDomain', 'slots', 'isDraining', 'weights']}),
	}),
	fc.record({type: fc.constant('server-gone'), revision: number, id: text}),
	fc.record({
		type: fc.constant('weights'), revision: number, model: text, version: number, age: number, isAgeAssumed: flag,
	}),
	odd,
);
const message = fc.record({
	name: text,
	incarnation: text,
	state,
	isDetached: flag,
	role,
	introduction: fc.constantFrom<unknown>('request', 'response', 'other', undefined),
	hostCount: number,
	configuration: number,
	revision: number,
	hasStoreContact: flag,
	stateVersion: number,
	isWhole: flag,
	host: description,
	digest: number,
	charged: fc.dictionary(fc.string(), number, {maxKeys: 3}),
	loads: fc.dictionary(fc.string(), fc.oneof(fc.tuple(number, number, number), odd), {maxKeys: 3}),
	placements: list(fc.record({salt: text, parts: list(fc.tuple(text, number)), places: list(fc.tuple(text, fc.option(number)))})),
	weights: list(fc.record({server: text, model: text, version: number})),
	loading: list(fc.record({server: text, time: number})),
	unreachable: names,
	leaving: list(fc.record({id: text, incarnation: text})),
	emptying: names,
	deaths: list(fc.record({
		fingerprint: number, parts: list(number), server: text, incarnation: text, failureDomain: text, age: number,
	}, {requiredKeys: ['fingerprint', 'server', 'incarnation', 'failureDomain', 'age']})),
	limits: list(fc.record({
		id: text, incarnation: text, requestsPerSecond: number, age: number,
	}, {requiredKeys: ['id', 'incarnation', 'age']})),
	origins: list(fc.record({service: text, version: text, streams: list(number)})),
	refused: list(fc.tuple(number, number)),
	demand: list(fc.record({
		service: text, waiting: list(fc.tuple(number, number, number)), usage: list(fc.tuple(number, text, number, number)),
	}, {requiredKeys: ['service', 'waiting']})),
	paces: list(fc.record({server: text, mean: number, count: number})),
	rollouts: list(fc.record({
		service: text, request: text, grant: fc.tuple(number, number, number, number), answers: list(fc.tuple(text, flag, number, number)),
	}, {requiredKeys: ['service', 'request']})),
	executed: list(fc.record({part: number, age: number})),
	quarantined: list(fc.record({part: number, age: number, trialInterval: number})),
	hosts: list(fc.record({
		description, state, isDetached: flag, role,
	}, {requiredKeys: ['description', 'state', 'role']})),
	departed: names,
	updates: list(fc.record({version: number, change})),
	later: odd,
}, {requiredKeys: ['name', 'incarnation', 'state', 'configuration', 'revision']});

test('accepts the same messages between hosts as the schema, with the same output', () => {
	const parse = compileSchema(hostMessageSchema);
	let accepted = 0;
	let count = 0;
	fc.assert(fc.property(fc.oneof({weight: 20, arbitrary: message}, odd), input => {
		const expected = v.safeParse(hostMessageSchema, input);
		const parsed = parse(input);
		count++;
		accepted += expected.success ? 1 : 0;
		assert.is(parsed !== invalid, expected.success);
		if (expected.success) {
			assert.equal(parsed, expected.output);
			assert.equal(Object.keys(parsed as Record<string, unknown>), Object.keys(expected.output));
		}
	}), {seed, numRuns: 4000});
	console.log(`${accepted} of ${count} messages were valid`);
	assert.ok(accepted > 400 && accepted < count - 400);
});

test('covers every field of a message', () => {
	const [object] = hostMessageSchema.pipe;
	const covered = new Set(fc.sample(message, {seed, numRuns: 200}).flatMap(sample => Object.keys(sample)));
	assert.equal(Object.keys(object.entries).filter(field => !covered.has(field)), []);
});

test('leaves schemas of other types to the library', () => {
	const parse = compileSchema(v.object({size: v.pipe(v.number(), v.minValue(1)), at: v.date()}));
	const at = new Date(0);
	assert.equal(parse({size: 1, at}), {size: 1, at});
	assert.is(parse({size: 0, at}), invalid);
	assert.is(parse({size: 1, at: 0}), invalid);
});

test('rejects a datagram whose lists claim more items than a datagram holds', () => {
	assert.is(decodeHostMessage(new Uint8Array([0xDD, 0x01, 0xFF, 0xFF, 0xFF])), undefined);
	const unreachable = Array.from({length: 2000}, () => 'i');
	assert.is(decodeHostMessage(encode({
		name: 'a', incarnation: '1', state: 'serving', configuration: 0, revision: 0, unreachable,
	})), undefined);
});

console.log(`seed ${seed}`);
test.run();
