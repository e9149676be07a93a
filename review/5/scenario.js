import {createManifest} from '../lib/configuration.js';
import {Client, generationHeaders} from '../lib/client.js';
import {delay, isReady} from '../lib/hosts.js';
import {runScenario} from '../lib/scenario.js';
import {BackendServer, ModelServer, responseHeaders} from '../lib/servers.js';

/** `timeoutMs` of the route, and how much later the final answer may come by the rule. */
const routeTimeout = 1000;
const tolerance = 500;

/** What the server in trouble sends: pieces of this size, so many of them each 10 ms. Together that is 80 Mbit/s, less than a tenth of a machine's link. */
const piece = Buffer.alloc(1000, 'x');
const piecesAtOnce = 100;

await runScenario(import.meta.url, async ({store, hosts, record, hasTrouble, own}) => {
	store.put('op/config', createManifest(3));
	store.put('op/version/m0', {model: 'm0', version: 1});
	for (const [index, zone] of ['sj-norte', 'heredia'].entries()) {
		const server = own(new BackendServer(store, {
			id: `i-portal-${index + 1}`, service: 'portal', zone,
			handler(request, response) {
				record(`${request.headers['attempt-id']} runs`);
				setTimeout(() => {
					response.writeHead(200, {...responseHeaders(request), 'Content-Length': 2}).end('ok');
				}, 20);
			},
		}));
		await server.start();
	}

	const model = own(new ModelServer(store, {
		id: 'i-model-1', service: 'asistente-llm', zone: 'sj-norte', loadTime: 1100,
		handler(request, response) {
			record(`${request.headers['attempt-id']} runs`);
			response.writeHead(200, {...responseHeaders(request), 'Content-Type': 'text/event-stream', 'Weight-Versions': '1'});
			response.write('id: 1\ndata: piece 1\n\n');
			if (!hasTrouble) {
				response.end('id: 2\ndata: piece 2\n\n');
				return;
			}

			record('the server begins to send bytes that are no answer, without end');
			let sentBytes = 0;
			const timer = setInterval(() => {
				for (let count = 0; count < piecesAtOnce && !response.writableNeedDrain; count++) {
					response.write(piece);
					sentBytes += piece.length;
				}
			}, 10);
			response.on('close', () => {
				clearInterval(timer);
				record(`the caller has closed; the server had written ${sentBytes} bytes`);
			});
		},
	}));
	await model.start();
	await hosts.start(3, () => store.address);
	await delay(2000);

	const [host] = hosts.hosts;
	const client = own(new Client(record));
	const calls = [];
	let sentCalls = 0;
	const traffic = setInterval(() => {
		calls.push(client.send(host.client, '/confirmar/1', {id: `call-${++sentCalls}`, deadline: 3000, patience: 8000}));
	}, 50);
	const probes = setInterval(async () => {
		const startedAt = performance.now();
		const ready = await isReady(host, 10_000);
		record(`readiness probe: ${ready ? 200 : 'no 200'} after ${(performance.now() - startedAt).toFixed(0)} ms`);
	}, 1000);
	await delay(2000);
	const generation = client.send(host.client, '/breve/1', {id: 'generation-1', deadline: 10_000, headers: generationHeaders('91bd3f06')});
	await delay(8000);
	clearInterval(traffic);
	clearInterval(probes);
	await Promise.all(calls);
	await generation;

	const durations = client.requests.filter(({target}) => target === '/confirmar/1').map(({sentAt, endedAt, ending}) => ending === 'the client left' ? Number.POSITIVE_INFINITY : endedAt - sentAt);
	const unanswered = durations.filter(duration => duration > routeTimeout).length;
	const late = durations.filter(duration => duration > routeTimeout + tolerance).length;
	record(`${durations.length} calls; ${unanswered} unanswered at timeoutMs, ${late} of them half a second later; the longest took ${Math.max(...durations).toFixed(0)} ms`);
	return late >= 8 && late > unanswered / 4;
});
