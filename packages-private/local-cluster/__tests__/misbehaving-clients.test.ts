import {setTimeout as pause} from 'node:timers/promises';
import {type RequestHandler, formatResponseHead} from '@lacewingpoint/stand-ins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	ClientCrowd, type CrowdOptions, LocalCluster, type LocalHost, type Misbehaviour, type ProcessUsage, readProcessUsage, sendRawRequest, waitFor,
} from '../src/index.js';

// The checks do not depend on the speed of the machine: the process lives, its memory and descriptors stay within its settings, and an ordinary
// request is answered, while the crowd stays and after it has left.

const test = suite('misbehaving clients');

/** What the settings of the host allow, and the flags with which it is deployed. */
const machine = {
	memory: 200, maximumDescriptors: 450, nodeFlags: '--max-old-space-size=110',
} as const;

/** Descriptors of a machine that are not for sockets. */
const reservedDescriptors = 200;

const bytesPerMebibyte = 1_048_576;

/** Largest body that the configuration allows. */
const bodyLimit = 4_194_304;

const configurationOverrides = {
	limits: {
		headerBytes: 16_384, bodyBytes: bodyLimit, headerMs: 3000, idleMs: 15_000,
	},
};

const largeAnswer = 'x'.repeat(500_000);

/** How long a crowd acts before the checks, in milliseconds. */
const crowdTime = 6000;

const samplingInterval = 50;

/** An ordinary client gives up a connection without an answer after this time, in milliseconds, and tries again. */
const patience = 4000;

const respond: RequestHandler = (received, socket) => {
	const body = received.target.startsWith('/look/large') ? largeAnswer : `${received.body.length} bytes`;
	socket.write(`${formatResponseHead(received, [`Content-Length: ${body.length}`])}${body}`);
};

type Listener = 'clientAddress' | 'completionsAddress' | 'readinessAddress' | 'directoryAddress' | 'metricsAddress' | 'snapshotAddress';

const listeners: readonly Listener[] = ['clientAddress', 'completionsAddress', 'readinessAddress', 'directoryAddress', 'metricsAddress', 'snapshotAddress'];

const clientHeaders = ['Host: h.example', 'Attempt-Id: crowd', 'Api-Key: red-key', 'Deadline-Ms: 20000'];

/** A request that each listener answers. */
const getRequests: Readonly<Record<Listener, string>> = {
	clientAddress: 'GET /look/1 HTTP/1.1',
	completionsAddress: 'GET /v1/models HTTP/1.1',
	readinessAddress: 'GET /readiness HTTP/1.1',
	directoryAddress: 'GET /lookup?name=h.example&region=r&zone=a HTTP/1.1',
	metricsAddress: 'GET /metrics HTTP/1.1',
	snapshotAddress: 'GET /snapshot HTTP/1.1',
};

/** A request with a body. */
const postRequests: Readonly<Record<Listener, string>> = {
	clientAddress: 'POST /long/1 HTTP/1.1',
	completionsAddress: 'POST /v1/chat/completions HTTP/1.1',
	readinessAddress: 'GET /readiness HTTP/1.1',
	directoryAddress: 'GET /lookup?name=h.example&region=r&zone=a HTTP/1.1',
	metricsAddress: 'GET /metrics HTTP/1.1',
	snapshotAddress: 'POST /forwarded HTTP/1.1',
};

async function isAnswered(host: LocalHost): Promise<boolean> {
	const lookup = await sendRawRequest(host.directoryAddress, {pieces: ['GET /lookup?name=h.example&region=r&zone=a HTTP/1.1\r\nHost: h.example\r\n\r\n'], timeout: patience});
	if (lookup.status !== 200) {
		return false;
	}

	const request = ['POST /look/1 HTTP/1.1', 'Host: h.example', 'Attempt-Id: ordinary', 'Api-Key: red-key', `Deadline-Ms: ${patience}`, 'Content-Length: 5', '', 'hello'].join('\r\n');
	const answer = await sendRawRequest(host.clientAddress, {pieces: [request], timeout: patience});
	return answer.status === 200 && answer.body === '5 bytes';
}

function createCluster(): LocalCluster {
	return new LocalCluster({
		hostCount: 1, plainHandlers: [respond, respond], modelHandlers: [], configurationOverrides, ...machine,
	});
}

// Runs a crowd against a host, and checks the host.
async function checkCrowd(createOptions: (host: LocalHost) => CrowdOptions): Promise<void> {
	const cluster = createCluster();
	let crowd: ClientCrowd | undefined;
	const usages: ProcessUsage[] = [];
	let sampling: NodeJS.Timeout | undefined;
	try {
		await cluster.start();
		const host = cluster.hosts[0]!;
		const pid = host.process.pid;
		const checkProcess = () => {
			assert.ok(host.process.isRunning, `the host has ended: ${host.process.ending}\n${host.process.standardError.slice(0, 600)}`);
			const memory = Math.max(...usages.map(({peakMemory}) => peakMemory)) / bytesPerMebibyte;
			assert.ok(memory <= machine.memory, `${Math.round(memory)} MiB of ${machine.memory} MiB`);
			const descriptors = Math.max(...usages.map(usage => usage.descriptors));
			assert.ok(descriptors <= machine.maximumDescriptors - reservedDescriptors, `${descriptors} descriptors, ${machine.maximumDescriptors - reservedDescriptors} are for sockets`);
		};

		await waitFor('a first answer', async () => isAnswered(host));
		sampling = setInterval(async () => {
			const usage = await readProcessUsage(pid);
			if (usage !== undefined) {
				usages.push(usage);
			}
		}, samplingInterval);
		crowd = new ClientCrowd(createOptions(host));
		await pause(crowdTime);
		checkProcess();
		await waitFor('an answer while the crowd stays', async () => !host.process.isRunning || isAnswered(host), () => host.process.standardOutput.slice(-2000));
		checkProcess();
		await crowd.dispose();
		await waitFor('an answer after the crowd', async () => !host.process.isRunning || isAnswered(host), () => host.process.standardOutput.slice(-2000));
		checkProcess();
		assert.not.match(host.process.standardOutput, '"event":"uncaught"');
	} finally {
		clearInterval(sampling);
		await crowd?.dispose();
		await cluster.dispose();
	}
}

function describe(listener: Listener): string {
	return listener.replace('Address', ' address');
}

function testCrowd(misbehaviour: Misbehaviour, size: number, listener: Listener, requestLine: string): void {
	test(`${size} clients: ${misbehaviour} at the ${describe(listener)}, ${requestLine.split(' ')[1]!.split('?')[0]}`, async () => {
		await checkCrowd(host => ({
			misbehaviour, size, addresses: [host[listener]], requestLine, headers: clientHeaders, bodySize: bodyLimit,
		}));
	});
}

for (const listener of ['clientAddress', 'completionsAddress', 'snapshotAddress'] as const) {
	testCrowd('tiny-chunks', 4, listener, postRequests[listener]);
}

testCrowd('declared-length', 100, 'clientAddress', postRequests.clientAddress);
testCrowd('large-chunks', 100, 'clientAddress', postRequests.clientAddress);
testCrowd('slow-chunks', 200, 'clientAddress', postRequests.clientAddress);
testCrowd('pipelining', 20, 'clientAddress', 'GET /look/large HTTP/1.1');
testCrowd('unread-response', 200, 'clientAddress', 'GET /look/large HTTP/1.1');
for (const listener of listeners) {
	testCrowd('pipelining', 10, listener, getRequests[listener]);
	testCrowd('incomplete-head', 400, listener, getRequests[listener]);
	testCrowd('endless-body', 20, listener, postRequests[listener]);
	testCrowd('malformed-head', 400, listener, getRequests[listener]);
	testCrowd('silence', 400, listener, getRequests[listener]);
}

for (const misbehaviour of ['chunk-extensions', 'trailers'] as const) {
	for (const listener of ['clientAddress', 'snapshotAddress'] as const) {
		testCrowd(misbehaviour, 20, listener, postRequests[listener]);
	}
}

const costlyBodies: ReadonlyArray<readonly [listener: Listener, description: string, body: NonNullable<CrowdOptions['costlyBody']>]> = [
	['completionsAddress', 'JSON with a million empty objects', {prefix: '{"model":"m","messages":[', unit: '{},', suffix: '{}]}'}],
	// An array of thirty million elements, of which none follows.
	['snapshotAddress', 'MessagePack with an impossible length', {prefix: '\u00DD\u0001\u00C9\u00C3\u0080', unit: '\u0090', suffix: ''}],
];
for (const [listener, description, costlyBody] of costlyBodies) {
	test(`4 clients: costly-body at the ${describe(listener)}, ${description}`, async () => {
		await checkCrowd(host => ({
			misbehaviour: 'costly-body', size: 4, addresses: [host[listener]], requestLine: postRequests[listener], headers: clientHeaders, bodySize: bodyLimit, costlyBody,
		}));
	});
}

test('600 clients: silence at all addresses at once', async () => {
	await checkCrowd(host => ({
		misbehaviour: 'silence', size: 600, addresses: listeners.map(listener => host[listener]), requestLine: '', headers: [], bodySize: 0,
	}));
});

test.run();
