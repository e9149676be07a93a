import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	PlatformServerStandIn, PlatformStoreStandIn, type RequestHandler, createConfiguration,
} from '@lacewingpoint/stand-ins';
import {request} from 'undici';
import {LocalProcess} from './local-process.js';
import {waitFor} from './wait-for.js';

/** Ports of every host, each at an IP number of its own on loopback. */
const ports = {
	client: 0, readiness: 1, directory: 2, completions: 3, metrics: 4, peers: 5,
} as const;

const portsPerHost = 8;

/** One host: its process may be replaced. */
export type LocalHost = {
	readonly name: string;
	readonly ip: string;
	readonly completionsAddress: string;
	readonly readinessAddress: string;
	readonly directoryAddress: string;
	readonly metricsAddress: string;
	/** The platform's settings file of this host. */
	readonly settingsFile: string;
	process: LocalProcess;
};

export type LocalClusterOptions = {
	readonly hostCount: number;
	readonly plainHandlers: readonly RequestHandler[];
	readonly modelHandlers: readonly RequestHandler[];
	/** Fields of the configuration that differ. */
	readonly configurationOverrides?: Readonly<Record<string, unknown>>;
};

/** A whole system on loopback. */
export class LocalCluster {
	readonly store = new PlatformStoreStandIn();
	readonly servers: PlatformServerStandIn[] = [];
	readonly hosts: LocalHost[] = [];
	readonly #options: LocalClusterOptions;
	#folder = '';
	#firstPort = 0;

	constructor(options: LocalClusterOptions) {
		this.#options = options;
	}

	/** Starts everything and waits until all hosts serve. */
	async start(): Promise<void> {
		this.#folder = await mkdtemp(join(tmpdir(), 'lacewingpoint-'));
		this.#firstPort = await freePort();
		await this.store.start();
		this.store.put('op/config', createConfiguration(1, this.#options.configurationOverrides));
		await this.#startServers('plain', this.#options.plainHandlers);
		await this.#startServers('models', this.#options.modelHandlers);
		for (let index = 0; index < this.#options.hostCount; index++) {
			this.hosts.push(await this.#prepareHost(index));
		}

		await this.waitUntilServing();
	}

	/** Waits until every running host says that it is ready and knows all others. */
	async waitUntilServing(): Promise<void> {
		const running = () => this.hosts.filter(host => host.process.isRunning);
		await waitFor('hosts to serve', async () => {
			const counts = await Promise.all(running().map(async host => this.#addressesOf(host)));
			return counts.every(count => count === running().length);
		}, () => this.hosts.map(host => `${host.name}: ${host.process.standardOutput.slice(-2000)}${host.process.standardError}`).join('\n'));
	}

	/**
	 * Starts a host's process again, as the platform does after its end.
	 *
	 * @param host - The host.
	 */
	restart(host: LocalHost): void {
		host.process = this.#startProcess(host);
	}

	/**
	 * Asks a host which addresses a client should use.
	 *
	 * @param host - The host that is asked.
	 * @returns The IP numbers of the hosts that it names, none when it does not answer.
	 */
	async lookUpAddresses(host: LocalHost): Promise<string[]> {
		try {
			const answer = await request(`http://${host.directoryAddress}/lookup?name=h.example&region=r&zone=a`, {signal: AbortSignal.timeout(1000)});
			const body = await answer.body.json() as {readonly addresses?: readonly string[]};
			return (body.addresses ?? []).map(address => address.split(':')[0]!);
		} catch {
			// A host that is gone names nobody; callers ask the next one.
			return [];
		}
	}

	/** Ends all processes and stand-ins. */
	async dispose(): Promise<void> {
		await Promise.all(this.hosts.map(async host => host.process.kill()));
		for (const server of this.servers) {
			server.dispose();
		}

		this.store.dispose();
		await rm(this.#folder, {recursive: true, force: true});
	}

	async #addressesOf(host: LocalHost): Promise<number> {
		const named = await this.lookUpAddresses(host);
		return named.length;
	}

	async #startServers(service: string, behaviours: readonly RequestHandler[]): Promise<void> {
		for (const [index, behaviour] of behaviours.entries()) {
			const server = new PlatformServerStandIn(`${service}-${index}`, behaviour);
			await server.start();
			this.servers.push(server);
			this.store.put(`servers/${server.id}`, server.createEntry(service, service === 'models' ? {models: [{name: 'm', version: server.weightsVersion}]} : {}));
		}
	}

	async #prepareHost(index: number): Promise<LocalHost> {
		const name = `host-${index + 1}`;
		const ip = `127.0.1.${index + 1}`;
		const address = (port: keyof typeof ports) => `${ip}:${this.#firstPort + ports[port]}`;
		const firstPeerPort = this.#firstPort + ports.peers;
		await writeFile(join(this.#folder, `${name}.toml`), `
nodeName = "${name}"
ip = "${ip}"
zone = "a"
region = "r"
portRange = [${firstPeerPort}, ${firstPeerPort + 2}]
seeds = []
[listen]
front = "${address('client')}"
ready = "${address('readiness')}"
directory = "${address('directory')}"
[limits]
memoryMb = 200
[bounds]
leaseMs = 1000
ttl_max_s = 1
[platform]
address = "${this.store.address}"
`);
		await writeFile(join(this.#folder, `${name}.jsonc`), JSON.stringify({
			completions: {port: this.#firstPort + ports.completions}, metricsPort: this.#firstPort + ports.metrics,
		}));
		const host = {
			name, ip, completionsAddress: address('completions'), readinessAddress: address('readiness'), directoryAddress: address('directory'), metricsAddress: address('metrics'), settingsFile: join(this.#folder, `${name}.toml`),
		};
		return {...host, process: this.#startProcess(host)};
	}

	#startProcess({name}: {readonly name: string}): LocalProcess {
		return new LocalProcess(name, 'lacewingpoint-host', ['--settings', join(this.#folder, `${name}.jsonc`)], {
			LACEWINGPOINT_NODE_FILE: join(this.#folder, `${name}.toml`),
		});
	}
}

// A port is looked for on one address and used on several; the ports behind it are most likely free as well.
async function freePort(): Promise<number> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.1.1', resolve);
	});
	const {port} = server.address() as {readonly port: number};
	await new Promise(resolve => {
		server.close(resolve);
	});
	return Math.min(port, 65_535 - portsPerHost);
}
