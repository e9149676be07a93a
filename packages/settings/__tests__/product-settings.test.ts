import {parseSettings} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {defaultSettings, productSettingsSchema, readProductSettings} from '../src/index.js';

const test = suite('settings of the product\'s own');

const pathOf = (name: string) => new URL(`../../../settings/${name}`, import.meta.url).pathname;

test('the example is valid', async () => {
	const read = await readProductSettings(pathOf('completions.jsonc'));
	assert.ok(read.isOk, read.isErr ? read.error.message : '');
	assert.is(read.value.completions?.answerTokens, 512);
	assert.is(read.value.metricsPort, defaultSettings.metricsPort);
});

test('without a file a host serves no completions', () => {
	assert.is(defaultSettings.completions, undefined);
	assert.is(defaultSettings.metricsPort, 9464);
});

test('every fault is told with path, line, expected and found', () => {
	const text = '{\n  "completions": {"port": 99999},\n  // no such field\n  "metricPort": 1\n}';
	const read = parseSettings(text, productSettingsSchema);
	const faults = read.isErr ? read.error.faults : [];
	assert.equal(faults.map(({path, line}) => ({path, line})), [{path: 'completions.port', line: 2}, {path: 'metricPort', line: 4}]);
	assert.ok(faults.every(({expected, found}) => expected !== '' && found !== ''));
});

test('a file that cannot be read is an error that names it', async () => {
	const read = await readProductSettings(pathOf('nowhere.jsonc'));
	assert.match(read.isErr ? read.error.message : '', /nowhere\.jsonc.*no such file/v);
});

test.run();
