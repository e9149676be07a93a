import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {exitCodes, runCommand} from '../src/index.js';

const test = suite('lacewingpointctl configuration check');

const sound = `{
	"version": 8,
	"routes": [
		{"name": "chat", "host": "a.example", "prefix": "/chat/", "kind": "streaming", "timeoutMs": 5000, "goalMs": 600, "attempts": 1, "service": "models"},
		{"name": "look", "host": "a.example", "prefix": "/look/", "kind": "idempotent", "timeoutMs": 2000, "goalMs": 300, "attempts": 2, "service": "plain"}
	],
	"services": [
		{"name": "plain", "maxConns": 50},
		{"name": "models", "maxConns": 50, "engine": {"slots": 8, "kvCapacity": 1000, "tokenBytes": 10, "linkMbps": 10, "models": [{"name": "m"}]}}
	],
	"tenants": [{"name": "red", "keys": ["secret-1"], "unit": "token_count", "plainTokens": 10, "ratePerS": 100, "burst": 100}]
}`;

const faulty = `{
	"version": 7,
	"routes": [
		{"name": "chat", "host": "A.example", "prefix": "/chat/", "kind": "streaming", "timeoutMs": 500, "goalMs": 600, "attempts": 2, "service": "models"},
		{"name": "new-chat", "host": "a.example", "prefix": "/chat/", "kind": "streaming", "timeoutMs": 5000, "goalMs": 600, "attempts": 1, "split": [{"service": "gone", "weight": 1}, {"service": "models", "weight": 0}]},
	],
	"services": [
		{"name": "plain", "maxConns": 50},
		{"name": "models", "maxConns": 4, "engine": {"slots": 8, "kvCapacity": 1000, "tokenBytes": 10, "linkMbps": 10, "models": [{"name": "m"}]}}
	],
	"tenants": [
		{"name": "red", "keys": ["secret-1", "secret-2"], "unit": "token_count", "plainTokens": 200, "ratePerS": 100, "burst": 100},
		{"name": "blue", "keys": ["secret-2"], "ratePerS": 0, "burst": 5}
	]
}`;

const files: Readonly<Record<string, string>> = {
	'sound.json': sound, 'faulty.json': faulty, 'torn.json': '{"version": 7, "routes": [', 'invalid.json': '{"version": "8", "routes": [], "services": []}',
};

async function check(commandArguments: readonly string[], isJson = false): Promise<{readonly code: number; readonly output: readonly string[]; readonly errors: string}> {
	const output: string[] = [];
	const errors: string[] = [];
	const code = await runCommand({
		isJson,
		async readText(path) {
			if (files[path] === undefined) {
				throw new Error(`${path}: no such file`);
			}

			return files[path];
		},
		print: text => output.push(text),
		printError: text => errors.push(text),
	}, ['configuration', 'check', ...commandArguments]);
	return {code, output, errors: errors.join('\n')};
}

test('a sound configuration', async () => {
	assert.equal(await check(['sound.json']), {code: exitCodes.success, output: ['version 8: 0 errors, 0 warnings'], errors: ''});
});

test('errors, entries that can never match, contradicting limits, and what differs from the version in force', async () => {
	const {code, output} = await check(['faulty.json', 'sound.json']);
	assert.is(code, exitCodes.failure);
	assert.equal(output, [
		'error: version 7 does not supersede version 8, which is in force',
		'error at line 4, column 3: the time-out of route "chat" (500 ms) is shorter than its latency objective (600 ms)',
		'warning at line 4, column 3: route "chat" allows 2 servers, but its requests must not be repeated',
		'error at line 4, column 3: route "chat" is hidden by route "new-chat", which has the same host and prefix',
		'error at line 5, column 3: route "new-chat" names service "gone", which does not exist',
		'warning at line 5, column 3: route "new-chat" gives service "models" the weight 0, so that it gets no requests',
		'warning at line 8, column 3: no route names service "plain"',
		'error at line 9, column 3: a server of service "models" takes 4 connections, fewer than the 8 requests of its batch',
		'error at line 12, column 3: workspace "red" shares 1 of its keys with workspace "blue", which gets their requests',
		'error at line 12, column 3: the burst of workspace "red" (100) is below the charge for one request (200), so that every request is over the limit',
		'warning at line 13, column 3: workspace "blue" has a burst of 5, but no rate, so that it has no limit',
		'changed in routes: chat; host "a.example" -> "A.example", timeout 5000 -> 500, maxServers 1 -> 2',
		'removed in routes: look',
		'added in routes: new-chat',
		'changed in services: models; maxConnections 50 -> 4',
		'changed in workspaces: red; keys 1 keys -> 2 keys (1 added, 0 removed), plainTokens 10 -> 200',
		'added in workspaces: blue',
		'version 7: 7 errors, 4 warnings, 6 differences from the version in force',
	]);
	assert.not.match(output.join('\n'), 'secret');
});

test('with --json, one object per line', async () => {
	const {output} = await check(['faulty.json', 'sound.json'], true);
	const items = output.map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
	assert.is(items.length, 18);
	assert.equal(items[1], {
		severity: 'error', topic: 'contradicting-limits', message: 'the time-out of route "chat" (500 ms) is shorter than its latency objective (600 ms)', line: 4, column: 3,
	});
	assert.equal(items.at(-1), {version: 7});
});

test('texts that are not a configuration, with the position of each fault', async () => {
	const torn = await check(['torn.json']);
	assert.is(torn.code, exitCodes.badInput);
	assert.match(torn.errors, /line 1, column/v);
	const invalid = await check(['invalid.json']);
	assert.is(invalid.code, exitCodes.badInput);
	assert.match(invalid.errors, /version at line 1, column 13: expected number, found "8"/v);
	assert.match((await check(['sound.json', 'torn.json'])).errors, /configuration in force/v);
	assert.is((await check(['nowhere.json'])).code, exitCodes.badInput);
});

test.run();
