import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const repository = fileURLToPath(new URL('../..', import.meta.url));
const zones = ['sj-norte', 'heredia', 'cartago'];
const portsPerHost = 16;

/** The hosts of a small deployment, as processes that are started with the command of the deploy file. Each has its own loopback address. */
export class Hosts {
	hosts = [];
	#directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	#log;

	/** @param log - Receives what happens to the processes. */
	constructor(log) {
		this.#log = log;
	}

	/**
	 * Starts the hosts, one in each zone in turn, and waits until each is ready.
	 *
	 * @param count - Number of hosts.
	 * @param storeAddress - Address of the store, or of a proxy before it, by the index of the host.
	 */
	async start(count, storeAddress) {
		const firstPort = await findFreePort();
		const network = 1 + (process.pid % 200);
		const names = Array.from({length: count}, (_, index) => ({name: `edge-${index + 1}`, ip: `127.77.${network}.${index + 1}`}));
		for (const [index, {name, ip}] of names.entries()) {
			const host = {
				name, ip, client: `${ip}:${firstPort}`, ready: `${ip}:${firstPort + 1}`, directory: `${ip}:${firstPort + 2}`, settings: path.join(this.#directory, `${name}.toml`), output: '', process: undefined, endings: [],
			};
			writeFileSync(host.settings, createSettings(host, {
				zone: zones[index % zones.length], firstPort, seeds: names.slice(0, 3).map(seed => `${seed.ip}:${firstPort + 3}`), store: storeAddress(index),
			}));
			this.hosts.push(host);
			this.launch(host);
		}

		await this.waitUntilReady();
	}

	/**
	 * Starts the process of a host; call it again after the process has ended.
	 *
	 * @param host - The host.
	 */
	launch(host) {
		host.process = spawn('node', ['--max-old-space-size=110', 'target/lacewingpoint-host.mjs'], {
			cwd: repository,
			env: {PATH: process.env.PATH, HOME: process.env.HOME, LACEWINGPOINT_NODE_FILE: host.settings},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const child = host.process;
		const collect = chunk => {
			host.output = `${host.output}${chunk}`.slice(-4_000_000);
		};

		child.stdout.on('data', collect);
		child.stderr.on('data', collect);
		child.on('exit', (code, signal) => {
			host.endings.push(signal ?? code);
			this.#log(`process of ${host.name} ended: ${signal ?? `exit code ${code}`}`);
		});
		this.#log(`process of ${host.name} started, pid ${child.pid}`);
	}

	/** Waits until each host answers its readiness probe with 200. */
	async waitUntilReady() {
		const deadline = performance.now() + 20_000;
		for (const host of this.hosts) {
			while (!await isReady(host)) {
				if (performance.now() > deadline) {
					throw new Error(`${host.name} is not ready: ${host.output.slice(-2000)}`);
				}

				await delay(50);
			}
		}
	}

	/** Ends all processes and deletes their settings files. */
	async dispose() {
		await Promise.all(this.hosts.map(async ({process: child}) => {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await new Promise(resolve => {
					child.once('exit', resolve);
				});
			}
		}));
		rmSync(this.#directory, {recursive: true, force: true});
	}
}

/**
 * Probes a host as the platform does.
 *
 * @param host - The host.
 * @param timeout - Time in milliseconds until the probe is given up.
 * @returns Whether it answered 200.
 */
export async function isReady(host, timeout = 1000) {
	try {
		const response = await fetch(`http://${host.ready}/readiness`, {signal: AbortSignal.timeout(timeout)});
		await response.text();
		return response.status === 200;
	} catch {
		// Unreachable, or too late.
		return false;
	}
}

/**
 * Waits.
 *
 * @param duration - Time in milliseconds.
 */
export async function delay(duration) {
	await new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}

// The settings of a host as the users' page DEPLOY.md shows them, with the bounds of the sheet of infopan-matriculas.
function createSettings(host, {zone, firstPort, seeds, store}) {
	return `nodeName = "${host.name}"
role = "host"
machineClass = "edge"
serves = ["edge","control_plane","directory"]
ip = "${host.ip}"
zone = "${zone}"
region = "cr-central"
portRange = [${firstPort + 4},${firstPort + portsPerHost - 1}]
seeds = ${JSON.stringify(seeds)}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
[zones]
sj-norte = "cr-central"
heredia = "cr-central"
cartago = "cr-central"
[listen]
front = "${host.client}"
ready = "${host.ready}"
control = "${host.ip}:${firstPort + 3}"
directory = "${host.directory}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
applyMs = 2000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
quotaWindowS = 8
recoverS = 12
fencingEnforced = false
leaseMs = 3000
thawMs = 300
versionMs = 12000
versionAllMs = 17000
ttl_max_s = 5
[platform]
address = "${store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
}

async function findFreePort() {
	const server = createServer();
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return Math.min(port, 65_535 - portsPerHost);
}
