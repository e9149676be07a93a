import {createHash} from 'node:crypto';
import {type CallEnd, Caller, LocalCluster} from '../packages-private/local-cluster/src/index.js';
import {answerText} from '../packages-private/stand-ins/src/index.js';

// The traffic of one firm in small: datasheet checks with long shared openings, quotes, and bookings that must run once.

const secrets = new Map([['nairobi-traders', 'demo-secret-traders'], ['plant-buyers', 'demo-secret-buyers']]);
const trafficTime = 9000;
const answerTokens = 24;
const callPause = 60;

const cluster = new LocalCluster({
	name: 'demo', hosts: 9, controllers: 3, engines: 8, services: 3, engineParameters: ['--token-interval', '4'],
});
const caller = new Caller();
const ends: Array<{readonly end: CallEnd; readonly expected: string}> = [];
const bookings = new Map<string, CallEnd[]>();
const failures: string[] = [];
let sequence = 0;

function progress(text: string): void {
	process.stdout.write(`demo: ${text}\n`);
}

function fail(text: string): void {
	failures.push(text);
	progress(`FAILED: ${text}`);
}

function expect(isTrue: boolean, text: string): void {
	if (!isTrue) {
		fail(text);
	}
}

const sha256 = (secret: string) => createHash('sha256').update(secret).digest('hex');

function firstTicket() {
	return {
		number: 1,
		author: 'demo',
		reason: 'first state of the demo',
		objects: [
			...[...secrets].flatMap(([workspace, secret]) => [
				{kind: 'workspace', name: workspace, state: {tokensPerSecond: 400_000, burstTokens: 800_000}},
				{kind: 'key', name: `key-${workspace}`, state: {sha256: sha256(secret), workspace}},
			]),
			{kind: 'model', name: 'general', state: {version: 'v1', loadsAtOnce: 2}},
			{kind: 'route', name: 'checks', state: {type: 'model', model: 'general'}},
			{
				kind: 'route', name: 'bookings', state: {
					type: 'service', path: '/bookings', service: 'trading', priority: 'high',
				},
			},
			...cluster.engines.map(engine => ({
				kind: 'backend', name: engine.name, state: {
					type: 'engine', address: engine.address, failureDomain: engine.failureDomain, model: 'general',
				},
			})),
			...cluster.services.map(service => ({
				kind: 'backend', name: service.name, state: {
					type: 'service', address: service.address, failureDomain: service.failureDomain, service: 'trading',
				},
			})),
		],
	};
}

const instructions = 'Check the datasheet against the bill of materials. '.repeat(30);

function prompt(document: number): string {
	return `${instructions}${`Datasheet ${document} line of figures. `.repeat(120)}`;
}

// Asks the system for addresses, uses the first that answers, and goes on to the next when one is lost.
async function withAddress(secret: string, use: (address: string) => Promise<CallEnd>): Promise<CallEnd> {
	let end: CallEnd | undefined;
	for (const address of await addresses(secret)) {
		end = await use(address);
		const mayRepeat = end.status === 0 || end.error?.run === 'not-run';
		if (!mayRepeat) {
			return end;
		}
	}

	return end!;
}

async function addresses(secret: string): Promise<string[]> {
	for (const host of cluster.hosts.toSorted(() => Math.random() - 0.5)) {
		const answer = await caller.call(host.callersAddress, {path: '/v1/entry-hosts?model=checks', method: 'GET', key: secret});
		if (answer.status === 200) {
			return (JSON.parse(answer.text) as {hosts: Array<{address: string}>}).hosts.map(entry => entry.address);
		}
	}

	return [];
}

async function sendCheck(): Promise<void> {
	const [, secret] = [...secrets][sequence % 2]!;
	const document = sequence % 5 === 0 ? sequence : sequence % 4;
	const number = sequence++;
	const content = `${prompt(document)}Case ${number}: does part ${number} fit?`;
	const body = {
		model: 'checks', messages: [{role: 'user', content}], max_tokens: answerTokens, stream: number % 3 !== 0,
	};
	const end = await withAddress(secret, async address => caller.call(address, {path: '/v1/chat/completions', key: secret, body}));
	ends.push({end, expected: answerText(`user: ${content}\n`, answerTokens)});
}

async function book(): Promise<void> {
	const idempotencyKey = `order-${sequence++}`;
	const [, secret] = [...secrets][0]!;
	const call = async (address: string) => caller.call(address, {
		path: '/bookings', key: secret, body: {reels: 3, order: idempotencyKey}, headers: {'idempotency-key': idempotencyKey},
	});
	const [first = '', second = ''] = await addresses(secret);
	const both = await Promise.all([call(first), call(second)]);
	bookings.set(idempotencyKey, both);
}

async function traffic(until: number): Promise<void> {
	const running: Array<Promise<void>> = [];
	for (let round = 0; performance.now() < until; round++) {
		running.push(sendCheck());
		if (round % 10 === 0) {
			running.push(book());
		}

		await new Promise(resolve => {
			setTimeout(resolve, callPause);
		});
	}

	await Promise.all(running);
}

async function disturb(): Promise<void> {
	const pause = async (time: number) => new Promise(resolve => {
		setTimeout(resolve, time);
	});
	await pause(trafficTime / 3);
	progress('killing router host-4 and engine-2');
	void cluster.processes.get('host-4')!.kill();
	void cluster.processes.get('engine-2')!.kill();
	await pause(trafficTime / 3);
	progress('restarting both; the engine comes back empty');
	cluster.startRouter('host-4');
	cluster.startEngine(cluster.engines[1]!);
}

async function judgeBookings(): Promise<number> {
	const ran = await Promise.all(cluster.services.map(async service => {
		const answer = await caller.call(service.address, {path: '/ran', method: 'GET'});
		return JSON.parse(answer.text) as Array<{body: string}>;
	}));
	const counts = new Map<string, number>();
	for (const {body} of ran.flat()) {
		const {order} = JSON.parse(body) as {order: string};
		counts.set(order, (counts.get(order) ?? 0) + 1);
	}

	for (const [key, both] of bookings) {
		const count = counts.get(key) ?? 0;
		expect(count <= 1, `booking ${key} ran ${count} times`);
		expect(both.some(end => end.status === 201) ? count === 1 : true, `booking ${key} was answered but did not run`);
	}

	return [...counts.values()].filter(count => count === 1).length;
}

function percentile(values: readonly number[], share: number): string {
	return (values.toSorted((left, right) => left - right)[Math.floor(values.length * share)] ?? Number.NaN).toFixed(1);
}

async function summarize(): Promise<void> {
	const complete = ends.filter(({end, expected}) => end.isComplete && end.text === expected);
	const refused = ends.filter(({end}) => end.error !== undefined);
	const wrong = ends.filter(({end, expected}) => end.isComplete && end.text !== expected);
	const firsts = ends.flatMap(({end}) => end.firstTokenAfter ?? []);
	let promptTokens = 0;
	let cachedTokens = 0;
	for (const {end} of ends) {
		promptTokens += end.promptTokens;
		cachedTokens += end.cachedTokens;
	}

	const ranOnce = await judgeBookings();
	progress(`answers: ${ends.length} asked, ${complete.length} complete, ${refused.length} refused or broken off with an error`);
	progress(`prefix hits: ${(100 * cachedTokens / promptTokens).toFixed(1)}% of prompt tokens`);
	progress(`first token in ms: p50 ${percentile(firsts, 0.5)}, p95 ${percentile(firsts, 0.95)}, p99 ${percentile(firsts, 0.99)}`);
	progress(`bookings: ${bookings.size} sent to two hosts at once, ${ranOnce} ran once, none twice`);
	expect(wrong.length === 0, `${wrong.length} answers were not the caller's own`);
	expect(ends.every(({end}) => end.isComplete || end.error !== undefined), 'an answer ended short without an error');
	expect(refused.length === 0, `${refused.length} requests within their rate were refused: ${refused[0]?.end.error?.code}`);
	expect(bookings.size === ranOnce, `${bookings.size - ranOnce} bookings did not run`);
}

try {
	progress('starting platform, 8 engines, 3 plain services, 9 routers, 3 controllers');
	await cluster.startBackends();
	await cluster.startHosts();
	progress('submitting the first ticket');
	const submitted = await cluster.submit(firstTicket());
	expect(submitted.code === 0, `the first ticket ended with exit code ${submitted.code}: ${submitted.output}${submitted.errors}`);
	progress(`sending traffic for ${trafficTime / 1000} s`);
	await Promise.all([traffic(performance.now() + trafficTime), disturb()]);
	await cluster.waitForReady(cluster.hosts.map(host => host.id));
	await summarize();
} catch (error) {
	fail(String(error));
} finally {
	await caller.dispose();
	await cluster.dispose();
}

process.stdout.write(failures.length === 0 ? 'demo: ok\n' : `demo: failed: ${failures.join('; ')}\n`);
process.exitCode = failures.length === 0 ? 0 : 1;
