import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type Configuration, type Route, RouteIndex} from '../src/index.js';

const test = suite('RouteIndex');

function route(name: string, host: string, prefix: string): Route {
	return {
		name, host, prefix, repeatability: 'idempotent', timeout: 1000, objective: 100, rank: 0, services: [], maxServers: 1, isOpen: false,
	};
}

const configuration: Configuration = {
	version: 1,
	routes: [route('root', 'a', '/'), route('short', 'a', '/x/'), route('long', 'a', '/x/y/'), route('other', 'b', '/x/')],
	services: [],
	workspaces: [{
		name: 'red', keys: ['k'], isIsolated: false, unitsPerSecond: 0, burstUnits: 0, countsTokens: true, plainTokens: 0,
	}],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1,
	},
};
const index = new RouteIndex(configuration);

test('the longest prefix of whole path segments wins', () => {
	assert.is(index.findRoute('a', '/x/y/z')?.name, 'long');
	assert.is(index.findRoute('a', '/x/yz')?.name, 'short');
	assert.is(index.findRoute('a', '/xy')?.name, 'root');
	assert.is(index.findRoute('b', '/x/y/z')?.name, 'other');
	assert.is(index.findRoute('b', '/x'), undefined);
	assert.is(index.findRoute('c', '/x/'), undefined);
});

test('host names match regardless of case and port', () => {
	assert.is(index.findRoute('A:8080', '/x/y/')?.name, 'long');
});

test('an API key identifies its workspace', () => {
	assert.is(index.findWorkspace('k')?.name, 'red');
	assert.is(index.findWorkspace('K'), undefined);
});

test.run();
