import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type CommandContext, exitCodes, runCommand} from '../src/index.js';

const test = suite('lacewingpointctl');

const createLine = (seconds: number, identity: string, event: string, fields: Readonly<Record<string, unknown>>) =>
	JSON.stringify({
		time: new Date(1_700_000_000_000 + (seconds * 1000)).toISOString(), level: 'info', program: 'lacewingpoint-host', identity, event, ...fields,
	});

const log = [
	createLine(0, 'host-1', 'configuration', {version: 3, revision: 20, source: 'store'}),
	createLine(1, 'host-2', 'configuration', {version: 3, revision: 20, source: 'host-1'}),
	`collector 12:00 ${createLine(2, 'host-2', 'order', {
		server: 's-1', model: 'm', version: 2, status: 202,
	})}`,
	'a line of another program',
	'{"half a line',
	createLine(3, 'host-2', 'order', {
		server: 's-9', model: 'm', version: 2, status: 202,
	}),
	createLine(4, 'host-1', 'request', {
		id: 'r-1', outcome: 'refused', status: 503, cause: 'too little time is left', took: 1022.6, waited: 300.1, configuration: 3, configurationAge: 4000, revision: 20,
		sends: [{
			server: 's-1', predicted: 356.9, cached: 0, unread: 11_945, weights: 2, at: 300.1, result: 'not run (503)', took: 722.1, status: 503,
		}],
	}),
	createLine(4.5, 'host-1', 'server-unreachable', {server: 's-1', reason: 'ECONNREFUSED'}),
	createLine(20, 'host-1', 'server-unreachable', {server: 's-1', reason: 'much later'}),
].join('\n');

const noticesLog = [
	createLine(3.5, 'host-3', 'server-leaving', {server: 's-1', incarnation: '1', source: 'response'}),
	createLine(3.6, 'host-1', 'server-pause', {server: 's-1', outcome: 'applied', asked: 500}),
	createLine(3.7, 'host-1', 'store-restored', {era: 2, before: 1}),
	createLine(4, 'host-1', 'request', {
		id: 'r-3', outcome: 'broken-off', status: 0, cause: 'the stream ended within an event', sends: [{
			server: 's-1', at: 0.5, result: 'the stream ended within an event', took: 80, status: 200, framing: 'close', resetCheck: 'none', partialEvent: 31,
		}],
	}),
].join('\n');

async function run(commandArguments: readonly string[], isJson = false): Promise<{readonly code: number; readonly output: string; readonly errors: string}> {
	const output: string[] = [];
	const errors: string[] = [];
	const context: CommandContext = {
		isJson,
		async readText(path) {
			if (path === 'nowhere.log') {
				throw new Error('nowhere.log: no such file');
			}

			return path === 'notices.log' ? noticesLog : log;
		},
		print: text => output.push(text),
		printError: text => errors.push(text),
	};
	const code = await runCommand(context, commandArguments);
	return {code, output: output.join('\n'), errors: errors.join('\n')};
}

test('explain names servers that leave or ask for pauses, and restores of the store', async () => {
	const {output} = await run(['explain', 'r-3', 'notices.log']);
	assert.match(output, /host-3 server-leaving server=s-1/v);
	assert.match(output, /host-1 server-pause server=s-1 outcome=applied/v);
	assert.match(output, /host-1 store-restored era=2/v);
});

test('explain says how a close-delimited response ended', async () => {
	const {output} = await run(['explain', 'r-3', 'notices.log']);
	assert.match(output, /attempt 1: s-1, the stream ended within an event; .*the response ended with its connection, reset: none; 31 bytes of an incomplete event at its end/v);
});

test('explain prints the outcome of a request, its attempts, and recent events about its servers and its host', async () => {
	const {code, output} = await run(['explain', 'r-1', 'a.log']);
	assert.is(code, exitCodes.success);
	assert.match(output, /host-1 request refused with 503; too little time is left; ended after 1022\.6 ms; first attempt after 300\.1 ms/v);
	assert.match(output, /first attempt after 300\.1 ms; configuration 3, applied 4000 ms earlier; store revision 20/v);
	assert.match(
		output,
		/attempt 1: s-1, not run \(503\); sent after 300\.1 ms; took 722\.1 ms; predicted time to first token 356\.9 ms; prompt tokens: 0 cached, 0 fetched, 11945 uncached; weights version 2/v,
	);
	assert.match(output, /host-2 order server=s-1/v);
	assert.match(output, /server-unreachable server=s-1 reason=ECONNREFUSED/v);
	assert.match(output, /host-1 configuration version=3/v);
	assert.not.match(output, 's-9');
	assert.not.match(output, 'much later');
	assert.not.match(output, /host-2 configuration/v);
});

test('explain reports a request id that is not in the logs', async () => {
	const {code, errors} = await run(['explain', 'r-2', 'a.log']);
	assert.is(code, exitCodes.notFound);
	assert.match(errors, /no request r-2 in 7 log lines/v);
});

test('audit lists each change once, with the hosts that logged it', async () => {
	const {output} = await run(['audit', 'a.log'], true);
	const entries = output.split('\n').map(text => JSON.parse(text) as {change: string; hosts: string[]});
	assert.equal(entries.map(({change, hosts}) => [change, hosts]), [
		['configuration 3', ['host-1', 'host-2']],
		['s-1 ordered to load m 2: 202', ['host-2']],
		['s-9 ordered to load m 2: 202', ['host-2']],
	]);
});

test('status prints the metrics of a host, and reports an unreachable host', async () => {
	const gauges = ['store_contact 1', 'configuration_version 3', 'configuration_age_milliseconds 12', 'store_revision 20', 'hosts_serving 8', 'servers 11', 'running 2', 'waiting 0'];
	const server = createServer((_request, response) => {
		response.end(gauges.map(gauge => `lacewingpoint_${gauge}\n`).join(''));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const reachable = await run(['status', address]);
	server.close();
	server.closeAllConnections();
	assert.is(reachable.code, exitCodes.success);
	assert.match(reachable.output, /store connected, configuration 3 \(applied 12 ms ago\), store revision 20, 8 peers, 11 servers, 2 requests running, 0 queued/v);
	const unreachable = await run(['status', '127.0.0.1:1']);
	assert.is(unreachable.code, exitCodes.unreachable);
	assert.match(unreachable.errors, /command-line\/unreachable: 127\.0\.0\.1:1/v);
});

test('invalid arguments and unreadable files have their own exit code', async () => {
	assert.is((await run(['explain'])).code, exitCodes.badInput);
	assert.is((await run(['dance'])).code, exitCodes.badInput);
	const missing = await run(['explain', 'r-1', 'nowhere.log']);
	assert.is(missing.code, exitCodes.badInput);
	assert.match(missing.errors, 'nowhere.log');
	assert.is((await run(['settings', 'check', 'settings/nowhere.jsonc'])).code, exitCodes.badInput);
	assert.is((await run(['settings', 'check', new URL('../../../settings/completions.jsonc', import.meta.url).pathname])).code, exitCodes.success);
});

test.run();
