import {createManifest} from '../lib/configuration.js';
import {Client} from '../lib/client.js';
import {delay, isReady} from '../lib/hosts.js';
import {runScenario} from '../lib/scenario.js';
import {BackendServer, responseHeaders} from '../lib/servers.js';

/** `timeoutMs` of the route, and how much later the final answer may come by the rule. */
const routeTimeout = 1000;
const tolerance = 500;

/** The call whose answer is spoiled, and the bytes that the server sends instead. */
const spoiledCall = 'call-40';
const noAnswer = 'HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n';

await runScenario(import.meta.url, async ({store, hosts, record, hasTrouble, own}) => {
	store.put('op/config', createManifest(3));
	for (const [index, zone] of ['sj-norte', 'heredia'].entries()) {
		const server = own(new BackendServer(store, {
			id: `i-portal-${index + 1}`, service: 'portal', zone,
			handler(request, response) {
				const id = request.headers['attempt-id'];
				record(`${id} runs`);
				setTimeout(() => {
					if (hasTrouble && id === spoiledCall) {
						record(`the server answers ${id} with bytes that are no answer: ${JSON.stringify(noAnswer)}`);
						request.socket.end(noAnswer);
					} else {
						response.writeHead(200, {...responseHeaders(request), 'Content-Length': 2}).end('ok');
					}
				}, 20);
			},
		}));
		await server.start();
	}

	await hosts.start(3, () => store.address);
	await delay(2000);

	const [host] = hosts.hosts;
	const client = own(new Client(record));
	const calls = [];
	const traffic = setInterval(() => {
		calls.push(client.send(host.client, '/confirmar/1', {id: `call-${calls.length + 1}`, deadline: 3000, patience: 8000}));
	}, 50);
	const probes = setInterval(async () => {
		const startedAt = performance.now();
		const ready = await isReady(host, 10_000);
		record(`readiness probe: ${ready ? 200 : 'no 200'} after ${(performance.now() - startedAt).toFixed(0)} ms`);
	}, 1000);
	await delay(10_000);
	clearInterval(traffic);
	clearInterval(probes);

	const results = await Promise.all(calls);
	const durations = results.map(({sentAt, endedAt, ending}) => ending === 'the client left' ? Number.POSITIVE_INFINITY : endedAt - sentAt);
	const unanswered = durations.filter(duration => duration > routeTimeout).length;
	const late = durations.filter(duration => duration > routeTimeout + tolerance).length;
	record(`${durations.length} calls; ${unanswered} unanswered at timeoutMs, ${late} of them half a second later; the longest took ${Math.max(...durations).toFixed(0)} ms`);
	return late >= 8 && late > unanswered / 4;
});
