import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	type RequestHandler, PlatformServerStandIn, PlatformStoreStandIn, createConfiguration,
} from '@lacewingpoint/stand-ins';
import {request} from 'undici';
import {LocalProcess, currentBuildDirectory} from './local-process.js';
import {waitFor} from './wait-for.js';

/** Ports of a host, relative to the first port of the cluster. Each host has its own loopback IP address. */
const portOffsets = {
	client: 0, readiness: 1, directory: 2, completions: 3, metrics: 4, peers: 5,
} as const;

const portsPerHost = 8;

/** A host of the cluster. Its process is replaced on restart. */
export type LocalHost = {
	readonly name: string;
	readonly ipAddress: string;
	/** Address of the platform's interface for clients. */
	readonly clientAddress: string;
	readonly completionsAddress: string;
	readonly readinessAddress: string;
	readonly directoryAddress: string;
	readonly metricsAddress: string;
	/** Address for datagrams of peers. */
	readonly datagramAddress: string;
	/** Address for the state that peers fetch and the requests that they forward. */
	readonly snapshotAddress: string;
	/** Path of the host's settings file in the platform's format. */
	readonly settingsFile: string;
	/** Path of a file with the ports to which the host cannot connect, separated by spaces; it need not exist. */
	readonly refusedPortsFile: string;
	/** Directory of the build that the host runs; a restart uses the current value. */
	buildDirectory: string;
	process: LocalProcess;
};

export type LocalClusterOptions = {
	readonly hostCount: number;
	/** One backend server of the service `plain` is started for each handler. */
	readonly plainHandlers: readonly RequestHandler[];
	/** One backend server of the service `models` is started for each handler. */
	readonly modelHandlers: readonly RequestHandler[];
	/** The build that each host runs first, by its index; the current one by default. */
	readonly buildDirectories?: readonly string[];
	/** Fields that replace those of the default configuration. */
	readonly configurationOverrides?: Readonly<Record<string, unknown>>;
	/** Memory of each host in MiB; 200 by default. */
	readonly memory?: number;
	/** Largest number of descriptors of each host; not stated in the settings by default. */
	readonly maximumDescriptors?: number;
	/** Flags of Node.js for the hosts, separated by spaces. */
	readonly nodeFlags?: string;
	/**
	 * Puts something between a link's two ends, such as a proxy. Links are named `store NAME` after their host and `server ID`.
	 *
	 * @returns The address that is used instead of `address`.
	 */
	interpose?(link: string, address: string): Promise<string>;
};

/** A complete system on the loopback interface: store and backend servers in this process, hosts as child processes. */
export class LocalCluster {
	readonly store = new PlatformStoreStandIn();
	readonly servers: PlatformServerStandIn[] = [];
	readonly hosts: LocalHost[] = [];
	readonly #options: LocalClusterOptions;
	#directory = '';
	#firstPort = 0;

	constructor(options: LocalClusterOptions) {
		this.#options = options;
	}

	/** Starts all components and waits until all hosts serve. */
	async start(): Promise<void> {
		this.#directory = await mkdtemp(join(tmpdir(), 'lacewingpoint-'));
		this.#firstPort = await findFreePort();
		await this.store.start();
		this.store.put('op/config', createConfiguration(1, this.#options.configurationOverrides));
		await this.#startServers('plain', this.#options.plainHandlers);
		await this.#startServers('models', this.#options.modelHandlers);
		for (let index = 0; index < this.#options.hostCount; index++) {
			this.hosts.push(await this.#createHost(index));
		}

		await this.waitUntilServing();
	}

	/** Waits until every running host lists all running hosts in its directory. */
	async waitUntilServing(): Promise<void> {
		const runningHosts = () => this.hosts.filter(host => host.process.isRunning);
		await waitFor('hosts to serve', async () => {
			const addressCounts = await Promise.all(runningHosts().map(async host => this.#countAddresses(host)));
			return addressCounts.every(count => count === runningHosts().length);
		}, () => this.hosts.map(host => `${host.name}: ${host.process.standardOutput.slice(-2000)}${host.process.standardError}`).join('\n'));
	}

	/**
	 * Starts a new process for a host, as the platform does after the previous one has ended.
	 *
	 * @param host - The host to restart.
	 */
	restart(host: LocalHost): void {
		host.process = this.#startProcess(host);
	}

	/**
	 * Looks up the addresses for clients in a host's directory.
	 *
	 * @param host - The host to query.
	 * @returns IP addresses of the listed hosts; empty if the host does not respond.
	 */
	async lookUpAddresses(host: LocalHost): Promise<string[]> {
		try {
			const response = await request(`http://${host.directoryAddress}/lookup?name=h.example&region=r&zone=a`, {signal: AbortSignal.timeout(1000)});
			const body = await response.body.json() as {readonly addresses?: readonly string[]};
			return (body.addresses ?? []).map(address => address.split(':')[0]!);
		} catch {
			// An unreachable host yields no addresses, so that callers try the next one.
			return [];
		}
	}

	/** Stops all processes and stand-ins and deletes the settings files. */
	async dispose(): Promise<void> {
		await Promise.all(this.hosts.map(async host => host.process.kill()));
		for (const server of this.servers) {
			server.dispose();
		}

		this.store.dispose();
		await rm(this.#directory, {recursive: true, force: true});
	}

	async #countAddresses(host: LocalHost): Promise<number> {
		const addresses = await this.lookUpAddresses(host);
		return addresses.length;
	}

	async #startServers(service: string, handlers: readonly RequestHandler[]): Promise<void> {
		for (const [index, handler] of handlers.entries()) {
			const server = new PlatformServerStandIn(`${service}-${index}`, handler);
			await server.start();
			this.servers.push(server);
			const address = await this.#interpose(`server ${server.id}`, server.address);
			this.store.put(`servers/${server.id}`, server.createEntry(service, {address, ...(service === 'models' ? {models: [{name: 'm', version: server.weightsVersion}]} : {})}));
		}
	}

	async #createHost(index: number): Promise<LocalHost> {
		const name = `host-${index + 1}`;
		const ipAddress = `127.0.1.${index + 1}`;
		const formatAddress = (port: keyof typeof portOffsets) => `${ipAddress}:${this.#firstPort + portOffsets[port]}`;
		const storeAddress = await this.#interpose(`store ${name}`, this.store.address);
		const firstPeerPort = this.#firstPort + portOffsets.peers;
		await writeFile(join(this.#directory, `${name}.toml`), `
nodeName = "${name}"
ip = "${ipAddress}"
zone = "a"
region = "r"
portRange = [${firstPeerPort}, ${firstPeerPort + 2}]
seeds = []
[listen]
front = "${formatAddress('client')}"
ready = "${formatAddress('readiness')}"
directory = "${formatAddress('directory')}"
[limits]
memoryMb = ${this.#options.memory ?? 200}
${this.#options.maximumDescriptors === undefined ? '' : `maxFds = ${this.#options.maximumDescriptors}`}
[bounds]
leaseMs = 1000
ttl_max_s = 1
[platform]
address = "${storeAddress}"
`);
		await writeFile(join(this.#directory, `${name}.jsonc`), JSON.stringify({
			completions: {port: this.#firstPort + portOffsets.completions}, metricsPort: this.#firstPort + portOffsets.metrics,
		}));
		const host = {
			name,
			ipAddress,
			clientAddress: formatAddress('client'),
			completionsAddress: formatAddress('completions'),
			readinessAddress: formatAddress('readiness'),
			directoryAddress: formatAddress('directory'),
			metricsAddress: formatAddress('metrics'),
			datagramAddress: `${ipAddress}:${firstPeerPort}`,
			snapshotAddress: `${ipAddress}:${firstPeerPort + 1}`,
			settingsFile: join(this.#directory, `${name}.toml`),
			refusedPortsFile: join(this.#directory, `${name}.refused`),
			buildDirectory: this.#options.buildDirectories?.[index] ?? currentBuildDirectory,
		};
		return {...host, process: this.#startProcess(host)};
	}

	async #interpose(link: string, address: string): Promise<string> {
		return await this.#options.interpose?.(link, address) ?? address;
	}

	#startProcess({name, ipAddress, buildDirectory, refusedPortsFile}: Pick<LocalHost, 'name' | 'ipAddress' | 'buildDirectory' | 'refusedPortsFile'>): LocalProcess {
		return new LocalProcess(name, 'lacewingpoint-host', ['--settings', join(this.#directory, `${name}.jsonc`)], {
			LACEWINGPOINT_NODE_FILE: join(this.#directory, `${name}.toml`),
			NODE_OPTIONS: `${this.#options.nodeFlags ?? ''} --import ${createConnectModule(ipAddress, refusedPortsFile)}`,
		}, buildDirectory);
	}
}

// A module for a host: it connects from its own address, as on a machine of its own, so that proxies can tell hosts apart. Connections to the
// ports that a file lists are refused.
function createConnectModule(ipAddress: string, refusedPortsFile: string): string {
	const code = `
		import {readFileSync} from 'node:fs';
		import {Socket} from 'node:net';
		const connect = Socket.prototype.connect;
		const readRefusedPorts = () => {
			try {
				return readFileSync(${JSON.stringify(refusedPortsFile)}, 'utf8').split(' ');
			} catch {
				return [];
			}
		};
		Socket.prototype.connect = function (...parameters) {
			const options = Array.isArray(parameters[0]) ? parameters[0][0] : parameters[0];
			if (readRefusedPorts().includes(String(options.port))) {
				setImmediate(() => {
					this.destroy(Object.assign(new Error('connect ECONNREFUSED'), {code: 'ECONNREFUSED'}));
				});
				return this;
			}

			options.localAddress ??= '${ipAddress}';
			return connect.apply(this, parameters);
		};
	`;
	return `data:text/javascript,${encodeURIComponent(code)}`;
}

// Finds a free port on one address. It is used on several addresses, together with the ports that follow it; these are very likely
// free as well.
async function findFreePort(): Promise<number> {
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
