import {Socket} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BackendConnectionPool} from '../src/requests/backend-connection-pool.js';

const test = suite('connections to servers');

/** As the operators' network would, a dead link answers nothing. */
const openDeadSocket = () => new Socket();

const connectTimeout = 200;

const createPool = () => new BackendConnectionPool({
	connectTimeout,
	idleTimeout: 4000,
	maxIdleConnections: 4,
	reuseDelay: 4,
	now: () => performance.now(),
	openSocket: openDeadSocket,
	onResponseHead() {/* None arrives. */},
	onConnectionOpened() {/* Not tested here. */},
});

// Undici's connector took 500 to 1,104 ms for this time-out, so that callers waited for several of them until their deadline.
test('a request to a server that does not answer fails after the connect timeout, and nothing was written', async () => {
	const pool = createPool();
	const startedAt = performance.now();
	const failure = await new Promise<{readonly wasWritten: boolean; readonly reason: string}>(resolve => {
		pool.send({id: 's', incarnation: '1', address: '127.0.0.1:9'}, {
			method: 'GET', target: '/', headers: ['host', 'h.example'], body: undefined,
		}, {
			onHead() {/* None arrives. */}, onData() {/* None arrives. */}, onEnd() {/* Never. */}, onFailure: resolve,
		});
	});
	const took = performance.now() - startedAt;
	assert.not(failure.wasWritten);
	assert.match(failure.reason, /no connection to 127\.0\.0\.1:9 after 200 ms/v);
	assert.ok(took < 2 * connectTimeout, `took ${took} ms`);
	pool.dispose();
});

test('a server that does not answer cannot be connected to', async () => {
	const pool = createPool();
	assert.not(await pool.canConnect({id: 's', incarnation: '1', address: '127.0.0.1:9'}));
});

test.run();
