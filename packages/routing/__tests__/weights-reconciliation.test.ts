import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type EngineView, dueSteps} from '../src/index.js';

const test = suite('dueSteps');
const seed = 4717;
const options = {servingShare: 0.5, mayOrderUnfenced: true};

const view: fc.Arbitrary<EngineView> = fc.record({
	server: fc.string({minLength: 1, maxLength: 3}),
	weightsVersion: fc.constantFrom('v1', 'v2', undefined),
	adapters: fc.constant([]),
	isLoading: fc.boolean(),
	runningRequests: fc.nat({max: 2}),
	isDraining: fc.boolean(),
	checksFencing: fc.boolean(),
});

const engines = fc.uniqueArray(view, {selector: engine => engine.server, maxLength: 12});

test('never more out of service than may load together, never too few left serving, and only drained engines are ordered', () => {
	fc.assert(fc.property(engines, fc.integer({min: 1, max: 3}), (views, loadsAtOnce) => {
		const steps = dueSteps({
			model: 'm', version: 'v2', adapters: [], loadsAtOnce,
		}, views, options);
		const answering = views.filter(engine => engine.weightsVersion !== undefined);
		const busy = answering.filter(engine => engine.isLoading || engine.isDraining).length;
		const drains = steps.filter(step => step.type === 'drain').length;
		assert.ok(drains === 0 || busy + drains <= loadsAtOnce);
		assert.ok(drains === 0 || views.length === 1 || answering.length - busy - drains >= Math.ceil(views.length / 2));
		for (const step of steps.filter(({type}) => type === 'order')) {
			const engine = views.find(candidate => candidate.server === step.server)!;
			assert.ok(engine.isDraining && engine.runningRequests === 0 && engine.weightsVersion !== 'v2');
		}
	}), {seed});
});

test('repeating the steps brings every engine to the weights asked for', () => {
	let views: EngineView[] = Array.from({length: 8}, (_, index) => ({
		server: `s${index}`, weightsVersion: 'v1', adapters: [], isLoading: false, runningRequests: 0, isDraining: false, checksFencing: true,
	}));
	for (let round = 0; round < 40; round++) {
		const steps = dueSteps({
			model: 'm', version: 'v2', adapters: [], loadsAtOnce: 2,
		}, views, options);
		views = views.map(engine => {
			const loaded = engine.isLoading ? {...engine, isLoading: false, weightsVersion: 'v2'} : engine;
			const step = steps.find(({server}) => server === engine.server);
			return {
				...loaded,
				isDraining: step?.type === 'drain' || (loaded.isDraining && step?.type !== 'resume'),
				isLoading: step?.type === 'order',
			};
		});
	}

	assert.ok(views.every(engine => engine.weightsVersion === 'v2' && !engine.isDraining));
});

test('an engine that does not check fencing is left alone until an earlier holder must have stopped', () => {
	const views: EngineView[] = [{
		server: 's', weightsVersion: 'v1', adapters: [], isLoading: false, runningRequests: 0, isDraining: true, checksFencing: false,
	}];
	const desired = {
		model: 'm', version: 'v2', adapters: [], loadsAtOnce: 1,
	};
	assert.equal(dueSteps(desired, views, {...options, mayOrderUnfenced: false}), []);
	assert.equal(dueSteps(desired, views, options), [{type: 'order', server: 's'}]);
});

test.run();
