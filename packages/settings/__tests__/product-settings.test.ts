import {defaultInboundLimitSettings} from '@lacewingpoint/routing';
import {parseSettings} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {defaultSettings, productSettingsSchema, readProductSettings} from '../src/index.js';

const test = suite('product settings');

const examplePath = (name: string) => new URL(`../../../settings/${name}`, import.meta.url).pathname;

test('the example file is valid', async () => {
	const result = await readProductSettings(examplePath('completions.jsonc'));
	assert.ok(result.isOk, result.isErr ? result.error.message : '');
	assert.is(result.value.completions?.answerTokens, 512);
	assert.is(result.value.metricsPort, defaultSettings.metricsPort);
});

test('the default settings do not enable the completions API', () => {
	assert.is(defaultSettings.completions, undefined);
	assert.is(defaultSettings.metricsPort, 9464);
});

test('every fault is reported with path, line, expected and found value', () => {
	const text = '{\n  "completions": {"port": 99999},\n  // no such field\n  "metricPort": 1\n}';
	const result = parseSettings(text, productSettingsSchema);
	const faults = result.isErr ? result.error.faults : [];
	assert.equal(faults.map(({path, line}) => ({path, line})), [{path: 'completions.port', line: 2}, {path: 'metricPort', line: 4}]);
	assert.ok(faults.every(({expected, found}) => expected !== '' && found !== ''));
});

test('each host orders its own queue, unless the settings ask for one order over all hosts', async () => {
	assert.is(defaultSettings.waitingOrder, 'host');
	const result = await readProductSettings(examplePath('waiting-order.jsonc'));
	assert.is(result.isOk ? result.value.waitingOrder : undefined, 'fleet');
	const faulty = parseSettings('{"waitingOrder": "zone"}', productSettingsSchema);
	assert.equal(faulty.isErr ? faulty.error.faults.map(({path}) => path) : [], ['waitingOrder']);
});

test('limits on clients and peers have defaults, and impossible ones are faults', () => {
	assert.equal(defaultSettings.inbound, defaultInboundLimitSettings);
	const settings = parseSettings('{"inbound": {"memoryShare": 0.1, "connectionShares": {"clients": 0.4}}}', productSettingsSchema);
	assert.equal(settings.isOk ? settings.value.inbound : undefined, {
		...defaultInboundLimitSettings, memoryShare: 0.1, connectionShares: {...defaultInboundLimitSettings.connectionShares, clients: 0.4},
	});
	for (const [field, value] of [['memoryShare', 0], ['memoryShare', 0.9], ['pipelinedRequests', 0], ['framingFactor', 0.5], ['lingerTime', -1], ['discardedBytes', -1], ['readTurnTime', 0], ['connectionShares', {clients: 0.7}], ['unknown', 1]] as const) {
		const faulty = parseSettings(JSON.stringify({inbound: {[field]: value}}), productSettingsSchema);
		assert.equal(faulty.isErr ? faulty.error.faults.map(({path}) => path) : [], [`inbound.${field}`]);
	}
});

test('the error for an unreadable file contains its name', async () => {
	const result = await readProductSettings(examplePath('nowhere.jsonc'));
	assert.match(result.isErr ? result.error.message : '', /nowhere\.jsonc.*no such file/v);
});

test.run();
