import {readFile} from 'node:fs/promises';
import {ticketSchema} from '@lacewingpoint/coordination';
import {readSettings} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {deploymentSchema, findHost, readDeployment} from '../src/index.js';

const test = suite('Settings');

const pathOf = (name: string) => new URL(`../../../settings/${name}`, import.meta.url).pathname;

for (const name of ['tana-ridge', 'instituto']) {
	test(`the example of ${name} and its first ticket are valid`, async () => {
		const deployment = await readDeployment(pathOf(`${name}.jsonc`));
		assert.is(deployment.isErr ? deployment.error.message : deployment.value.hosts.length, 9);
		const ticket = readSettings(await readFile(pathOf(`tickets/${name}-first.jsonc`), 'utf8'), ticketSchema);
		assert.ok(ticket.isOk, JSON.stringify(ticket.isErr ? ticket.error : ''));
	});
}

test('every fault is told with path, line, expected and found', () => {
	const text = '{\n  "name": "x",\n  "hosts": [{"id": "a", "failureDomain": "d", "callersAddress": "somewhere", "peerAddress": "1.2.3.4:1", "operatorsAddress": "1.2.3.4:2"}],\n  "platform": {"keyValueService": "http://1.2.3.4:5"},\n  "unknown": 1\n}';
	const read = readSettings(text, deploymentSchema);
	const faults = read.isErr ? read.error.faults : [];
	assert.equal(faults.map(({path, line}) => ({path, line})), [{path: 'hosts.0.callersAddress', line: 3}, {path: 'unknown', line: 5}]);
	assert.ok(faults.every(({expected, found}) => expected !== '' && found !== ''));
});

test('a host that the settings do not name is refused with those they do', async () => {
	const deployment = await readDeployment(pathOf('tana-ridge.jsonc'));
	const found = deployment.andThen(value => findHost(value, 'nowhere'));
	assert.match(found.isErr ? found.error.message : '', 'nbo-a1');
});

test.run();
