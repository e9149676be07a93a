import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Deployment, DeploymentHost} from '@lacewingpoint/settings';
import {type Disposable, DisposableStore} from '@lacewingpoint/shared';
import {request} from 'undici';
import {LocalProcess} from './child-process.js';
import {freePorts} from './free-ports.js';
import {waitFor} from './wait-for.js';

export type LocalClusterOptions = {
	readonly name: string;
	readonly hosts: number;
	readonly controllers: number;
	readonly engines: number;
	readonly services: number;
	/** Further parameters of every engine stand-in. */
	readonly engineParameters?: readonly string[];
	/** Replaces parts of the settings. */
	readonly settings?: Partial<Record<keyof Deployment, unknown>>;
};

const failureDomains = ['domain-a', 'domain-b', 'domain-c'];

/** A stand-in with its address. */
export type Backend = {readonly name: string; readonly address: string; readonly port: number; readonly failureDomain: string};

/** The whole system as processes on loopback: platform, backend servers, routers, controllers. */
export class LocalCluster implements Disposable {
	readonly processes = new Map<string, LocalProcess>();
	readonly engines: Backend[] = [];
	readonly services: Backend[] = [];
	readonly hosts: DeploymentHost[] = [];
	settingsPath = '';
	platformAddress = '';
	readonly #options: LocalClusterOptions;
	readonly #disposables = new DisposableStore();

	constructor(options: LocalClusterOptions) {
		this.#options = options;
	}

	/** Starts the platform and the backend servers and writes the settings; routers come with {@link startHosts}. */
	async startBackends(): Promise<void> {
		const ports = await freePorts(1 + (this.#options.hosts * 3) + this.#options.engines + this.#options.services);
		const nextAddress = () => `127.0.0.1:${ports.pop()!}`;
		this.platformAddress = nextAddress();
		this.start('platform', 'stand-in', ['platform', '--port', portOf(this.platformAddress)]);
		for (let index = 0; index < this.#options.engines; index++) {
			this.startEngine(this.#newBackend(`engine-${index + 1}`, this.engines, index, nextAddress()));
		}

		for (let index = 0; index < this.#options.services; index++) {
			this.startService(this.#newBackend(`service-${index + 1}`, this.services, index, nextAddress()));
		}

		for (let index = 0; index < this.#options.hosts; index++) {
			this.hosts.push({
				id: `host-${index + 1}`, failureDomain: domainOf(index), callersAddress: nextAddress(), peerAddress: nextAddress(), operatorsAddress: nextAddress(),
			});
		}

		await this.#writeSettings();
		await this.waitFor('the stand-ins', async () => this.#areBackendsUp());
	}

	/** Starts the routers and controllers, and waits until every router has contact. */
	async startHosts(): Promise<void> {
		for (const host of this.hosts) {
			this.startRouter(host.id);
		}

		for (const host of this.hosts.slice(0, this.#options.controllers)) {
			this.start(`controller ${host.id}`, 'lacewingpoint-controller', ['--settings', this.settingsPath, '--host', host.id]);
		}

		await this.waitForReady(this.hosts.map(host => host.id));
	}

	start(name: string, program: string, parameters: readonly string[]): LocalProcess {
		const child = new LocalProcess(name, program, parameters);
		this.processes.set(name, child);
		this.#disposables.defer(async () => child.kill());
		return child;
	}

	startRouter(hostId: string): LocalProcess {
		return this.start(hostId, 'lacewingpoint-router', ['--settings', this.settingsPath, '--host', hostId]);
	}

	startEngine(engine: Backend): LocalProcess {
		return this.start(engine.name, 'stand-in', ['engine', '--port', String(engine.port), ...(this.#options.engineParameters ?? [])]);
	}

	startService(service: Backend): LocalProcess {
		return this.start(service.name, 'stand-in', ['service', '--port', String(service.port)]);
	}

	/**
	 * Runs lacewingpointctl to its end.
	 *
	 * @param words - The command.
	 * @returns Its exit code and output.
	 */
	async control(...words: readonly string[]): Promise<{readonly code: number | undefined; readonly output: string; readonly errors: string}> {
		const child = new LocalProcess('lacewingpointctl', 'lacewingpointctl', ['--settings', this.settingsPath, ...words]);
		const code = await child.ended();
		return {code, output: child.output, errors: child.errors};
	}

	/**
	 * Submits a ticket through lacewingpointctl.
	 *
	 * @param ticket - The ticket.
	 * @returns The command's exit code and output.
	 */
	async submit(ticket: unknown) {
		const path = `${this.settingsPath}.${Math.trunc(performance.now() * 1000)}.ticket`;
		await writeFile(path, JSON.stringify(ticket));
		return this.control('ticket', 'submit', path, '--json');
	}

	/**
	 * Switches faults of a stand-in.
	 *
	 * @param address - The stand-in's address.
	 * @param faults - Its faults.
	 */
	async setFaults(address: string, faults: unknown): Promise<void> {
		await request(`http://${address}/faults`, {method: 'POST', body: JSON.stringify(faults)});
	}

	/**
	 * Waits until routers may take new work.
	 *
	 * @param hostIds - The routers.
	 */
	async waitForReady(hostIds: readonly string[]): Promise<void> {
		const hosts = this.hosts.filter(host => hostIds.includes(host.id));
		await this.waitFor('routers', async () => {
			const answers = await Promise.all(hosts.map(async host => isOk(`http://${host.operatorsAddress}/readyz`)));
			const callers = await Promise.all(hosts.map(async host => isOk(`http://${host.callersAddress}/v1/entry-hosts`)));
			return [...answers, ...callers].every(Boolean);
		});
	}

	/**
	 * Waits until a condition holds.
	 *
	 * @param what - Named in the error when it never does.
	 * @param condition - The condition.
	 */
	async waitFor(what: string, condition: () => Promise<boolean>): Promise<void> {
		await waitFor(what, condition, () => [...this.processes.values()].map(child => `${child.name}: ${child.errors.slice(-400)}`).join('\n'));
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	#newBackend(name: string, list: Backend[], index: number, address: string): Backend {
		const backend = {
			name, address, port: Number(portOf(address)), failureDomain: domainOf(index),
		};
		list.push(backend);
		return backend;
	}

	async #areBackendsUp(): Promise<boolean> {
		const urls = [`http://${this.platformAddress}/v1/hosts`, ...this.engines.map(engine => `http://${engine.address}/v1/state`), ...this.services.map(service => `http://${service.address}/ran`)];
		const answers = await Promise.all(urls.map(async url => isOk(url)));
		return answers.every(Boolean);
	}

	async #writeSettings(): Promise<void> {
		const folder = await mkdtemp(join(tmpdir(), 'lacewingpoint-'));
		this.#disposables.defer(async () => rm(folder, {recursive: true}));
		this.settingsPath = join(folder, 'deployment.jsonc');
		await writeFile(this.settingsPath, JSON.stringify({
			name: this.#options.name,
			hosts: this.hosts,
			platform: {keyValueService: `http://${this.platformAddress}`, hostList: `http://${this.platformAddress}`, weightStore: `http://${this.platformAddress}`},
			...this.#options.settings,
		}));
	}
}

const domainOf = (index: number) => failureDomains[index % failureDomains.length]!;

const portOf = (address: string) => address.split(':')[1]!;

async function isOk(url: string): Promise<boolean> {
	try {
		const response = await request(url, {signal: AbortSignal.timeout(1000)});
		await response.body.dump();
		return response.statusCode === 200;
	} catch {
		return false;
	}
}
