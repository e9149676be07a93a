import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {PlatformServerStandIn, PlatformStoreStandIn} from './stand-ins.js';

const root = fileURLToPath(new URL('../../', import.meta.url));
const portsPerHost = 8;
const maximumOutput = 4_000_000;
/** Cases that run at the same time use different loopback networks. */
const network = `127.0.${10 + (process.pid % 200)}`;

async function findFreePort() {
	const server = createServer().listen(0, `${network}.1`);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	return Math.min(port, 65_535 - portsPerHost);
}

/** Formats the settings of a host, with the values of the page DEPLOY.md. */
function formatSettings({name, ip, zone, firstPort, seeds, storeAddress}) {
	return `nodeName = "${name}"
role = "host"
machineClass = "edge"
serves = ["edge", "directory", "control_plane"]
ip = "${ip}"
zone = "${zone}"
region = "r"
portRange = [${firstPort + 4}, ${firstPort + 7}]
seeds = [${seeds.map(seed => `"${seed}:${firstPort + 3}"`).join(', ')}]
bootstrap = true
[listen]
front = "${ip}:${firstPort}"
ready = "${ip}:${firstPort + 1}"
directory = "${ip}:${firstPort + 2}"
control = "${ip}:${firstPort + 3}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 200
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
applyMs = 2000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 110000
leaseMs = 3000
versionMs = 15000
ttl_max_s = 5
[platform]
address = "${storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
}

/** Hosts as processes, started with the command of the deploy file, and stand-ins of the store and the servers in this process. */
export class Deployment {
	store = new PlatformStoreStandIn();
	servers = new Map();
	hosts = [];
	#directory = '';

	/** Starts a server and registers it. */
	async addServer({id, service, zone = 'a', slots = 8, models = [], handler, entry = {}}) {
		const server = new PlatformServerStandIn(id, handler);
		await server.start();
		this.servers.set(id, server);
		this.store.put(`servers/${id}`, server.createEntry(service, {
			zone, slots, ...(models.length === 0 ? {} : {models}), ...entry,
		}));
		return server;
	}

	/** Starts the hosts, each on a loopback address of its own, and waits until each offers all of them. */
	async startHosts(count, zones = ['a', 'b', 'c']) {
		await this.store.start();
		this.#directory = await mkdtemp(path.join(tmpdir(), 'review-2-'));
		const firstPort = await findFreePort();
		const addresses = Array.from({length: count}, (_, index) => `${network}.${index + 1}`);
		for (const [index, ip] of addresses.entries()) {
			const name = `host-${index + 1}`;
			const file = path.join(this.#directory, `${name}.toml`);
			await writeFile(file, formatSettings({
				name, ip, zone: zones[index % zones.length], firstPort, seeds: addresses.slice(0, 3), storeAddress: this.store.address,
			}));
			this.hosts.push({
				name, ip, file, front: `${ip}:${firstPort}`, ready: `${ip}:${firstPort + 1}`, directory: `${ip}:${firstPort + 2}`, output: '', child: undefined,
			});
			this.startProcess(this.hosts.at(-1));
		}

		await this.waitUntil('the hosts offer each other', async () => {
			const offers = await Promise.all(this.hosts.map(async host => lookUp(host)));
			return offers.every(offer => offer.length === count);
		});
	}

	startProcess(host) {
		const child = spawn(process.execPath, ['--max-old-space-size=110', 'target/lacewingpoint-host.mjs'], {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME, LACEWINGPOINT_NODE_FILE: host.file},
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', chunk => {
				host.output = `${host.output}${chunk}`.slice(-maximumOutput);
			});
		}

		host.child = child;
	}

	async waitUntil(what, check, limit = 20_000) {
		const until = performance.now() + limit;
		while (!await check()) {
			if (performance.now() > until) {
				throw new Error(`not within ${limit} ms: ${what}`);
			}

			await pause(50);
		}
	}

	/** Ends all processes that were started, by their ids, and the stand-ins. */
	async dispose() {
		for (const {child} of this.hosts) {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		}

		for (const server of this.servers.values()) {
			server.dispose();
		}

		this.store.dispose();
		await rm(this.#directory, {recursive: true, force: true});
	}
}

/** Asks a host which addresses to use; none if it does not answer. */
export async function lookUp({directory}) {
	try {
		const response = await fetch(`http://${directory}/lookup?name=h.example&region=r&zone=a`, {signal: AbortSignal.timeout(1000)});
		const {addresses = []} = response.ok ? await response.json() : {};
		return addresses;
	} catch {
		return [];
	}
}
