import process from 'node:process';
import {type HostMessage, decodeHostMessage, encodeHostMessage} from '@lacewingpoint/host';
import {SimulatedFleet} from './simulated-fleet.js';

const servers = 60;
const loadedServers = 20;
const placementsPerMessage = 5;
const repetitions = 20_000;

function measureProcessor(run: () => void, count: number): number {
	const before = process.cpuUsage();
	run();
	const {user, system} = process.cpuUsage(before);
	return (user + system) / count;
}

function createPlacement(index: number): HostMessage['placements'][number] {
	const parts = Array.from({length: 5}, (_, part) => [`5c1e07a2${index}${part}`, 800] as [string, number]);
	return {salt: 'model 2', parts, places: [[`i-${index % servers}`, 120], ['172.20.0.2:8080', 240]]};
}

function createMessage(): HostMessage {
	return {
		name: 'host-1', incarnation: '0123456789ab', isWhole: false, state: 'serving', role: 'relay', hostCount: 1, hasStoreContact: true, configuration: 17, revision: 120_000, stateVersion: 9,
		charged: {blue: 1_234_567, red: 56_789},
		loads: Object.fromEntries(Array.from({length: loadedServers}, (_, index) => [`i-${index}`, [12, 34_567, 45_678]])),
		placements: Array.from({length: placementsPerMessage}, (_, index) => createPlacement(index)),
		weights: [], loading: [], unreachable: [], leaving: [], emptying: [], deaths: [], limits: [], origins: [], executed: [], quarantined: [], hosts: [], departed: [], paces: [], updates: [],
	};
}

function measureCoding(): void {
	const message = createMessage();
	const bytes = encodeHostMessage(message);
	for (const round of ['warm-up', 'measured']) {
		const encoding = measureProcessor(() => {
			for (let index = 0; index < repetitions; index++) {
				encodeHostMessage(message);
			}
		}, repetitions);
		const decoding = measureProcessor(() => {
			for (let index = 0; index < repetitions; index++) {
				decodeHostMessage(bytes);
			}
		}, repetitions);
		if (round === 'measured') {
			console.log(`coding of ${bytes.length} bytes: encode ${encoding.toFixed(1)} us, decode ${decoding.toFixed(1)} us`);
		}
	}
}

// Runs a fleet; each host places a request in each interval.
async function measureFleet(hostCount: number, domains: number, interval: number | undefined, crashInterval?: number): Promise<void> {
	const fleet = new SimulatedFleet(4733);
	fleet.publish(1);
	for (let index = 0; index < servers; index++) {
		fleet.registerServer({
			id: `i-${index}`, incarnation: '1', sequence: 1, service: 'models', address: `10.0.0.${index}:80`, failureDomain: 'domain-0', slots: 8, isDraining: false, weights: {m: 1},
		});
	}

	await fleet.startHosts(hostCount, domains);
	await fleet.run(4000);
	const hosts = [...fleet.hosts.values()];
	const sentBefore = new Map(hosts.map(host => [host, host.sentMessages]));
	const seconds = 4;
	const before = process.cpuUsage();
	let step = 0;
	for (let time = 0; time < seconds * 1000; time += 5) {
		if (interval !== undefined) {
			for (const [index, host] of hosts.entries()) {
				if ((time + (5 * index)) % interval < 5) {
					step++;
					host.clusterState.loads.addRequest(`i-${step % loadedServers}`, {prefillTokens: 10, memoryTokens: 100});
					host.fleet.gossip.announcePlacement(createPlacement(step));
					host.fleet.gossip.recordTotalsChanged('all');
				}

				if (crashInterval !== undefined && (time + (5 * index)) % crashInterval < 5) {
					host.fleet.gossip.announceCrashes([{
						fingerprint: step, parts: [step], server: `i-${step % servers}`, incarnation: '0', failureDomain: 'domain-0', age: 1,
					}]);
				}
			}
		}

		await fleet.run(5);
	}

	const {user, system} = process.cpuUsage(before);
	const rate = (role: string) => {
		const sent = hosts.filter(host => host.fleet.role === role).map(host => host.sentMessages - sentBefore.get(host)!);
		return sent.length === 0 ? '-' : (sent.reduce((sum, count) => sum + count, 0) / sent.length / seconds).toFixed(0);
	};

	const messages = hosts.reduce((sum, host) => sum + host.sentMessages - sentBefore.get(host)!, 0);
	const processorTime = user + system;
	console.log([
		`${hostCount} hosts, a request in ${interval ?? '-'} ms, a crash in ${crashInterval ?? '-'} ms: relay ${rate('relay')}, member ${rate('member')} messages a second sent`,
		`${(processorTime / messages).toFixed(1)} us a message, ${(processorTime / 1000 / hostCount / seconds).toFixed(1)} ms a second and host`,
	].join('; '));
}

measureCoding();
await measureFleet(9, 3, undefined);
await measureFleet(9, 3, 50);
await measureFleet(9, 3, 50, 50);
await measureFleet(20, 3, 50);
await measureFleet(20, 3, 50, 50);
if (process.argv.includes('--large')) {
	await measureFleet(90, 5, 200);
}
