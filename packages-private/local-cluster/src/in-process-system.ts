import {createHash} from 'node:crypto';
import {type Ticket, registersOf, ticketSchema} from '@lacewingpoint/coordination';
import {ticketKey} from '@lacewingpoint/platform';
import {RouterDaemon, systemClock} from '@lacewingpoint/router';
import {type Deployment, deploymentSchema} from '@lacewingpoint/settings';
import {
	type Disposable, type Logger, DisposableStore,
} from '@lacewingpoint/shared';
import {EngineStandIn, PlatformStandIn, ServiceStandIn} from '@lacewingpoint/stand-ins';
import {request} from 'undici';
import * as v from 'valibot';
import {Caller} from './caller.js';
import {freePorts} from './free-ports.js';
import {waitFor} from './wait-for.js';

export type InProcessOptions = {
	readonly hosts: number;
	readonly engines: number;
	readonly services: number;
	readonly settings?: Partial<Record<keyof Deployment, unknown>>;
	/** Parts of the engines' options that differ from the usual ones. */
	readonly engine?: Partial<ConstructorParameters<typeof EngineStandIn>[0]>;
};

type Status = {
	readonly credit: ReadonlyArray<{readonly level: number}>;
	readonly servers: ReadonlyArray<{readonly serves: string; readonly incarnation?: string}>;
};

/** The secrets of the workspaces that the first ticket creates. */
export const testSecrets = {alpha: 'secret-of-alpha-7d1f', beta: 'secret-of-beta-93ac'} as const;

/** The system within one process: the same daemons and stand-ins, with every object at hand for tests. */
export class InProcessSystem implements Disposable {
	readonly platform = new PlatformStandIn();
	readonly engines: EngineStandIn[] = [];
	readonly services: ServiceStandIn[] = [];
	readonly daemons: RouterDaemon[] = [];
	readonly caller = new Caller();
	readonly logLines: string[] = [];
	deployment!: Deployment;
	readonly #options: InProcessOptions;
	readonly #disposables = new DisposableStore();
	#ticket = 0;

	constructor(options: InProcessOptions) {
		this.#options = options;
	}

	/** Starts all of it and puts the first ticket in force. */
	async start(): Promise<void> {
		await this.#listen(this.platform.server);
		for (let index = 0; index < this.#options.engines; index++) {
			await this.#startEngine(index);
		}

		for (let index = 0; index < this.#options.services; index++) {
			const service = new ServiceStandIn();
			this.services.push(service);
			await this.#listen(service.server);
		}

		this.#disposables.add(this.caller);
		this.deployment = await this.#composeDeployment();
		for (const host of this.deployment.hosts) {
			await this.startHost(host.id);
		}

		await this.submit(this.#firstObjects());
		await this.#waitForEngines();
	}

	/**
	 * Starts a router.
	 *
	 * @param id - The host.
	 * @returns The daemon.
	 */
	async startHost(id: string): Promise<RouterDaemon> {
		const daemon = new RouterDaemon(this.deployment, this.deployment.hosts.find(host => host.id === id)!, systemClock, this.#logger(id));
		this.daemons.push(this.#disposables.add(daemon));
		await daemon.start();
		return daemon;
	}

	/** The address of a host that callers talk to. */
	address(index = 0): string {
		return this.deployment.hosts[index]!.callersAddress;
	}

	/**
	 * Puts a ticket into the store and waits until every router that answers holds it.
	 *
	 * @param objects - What it touches.
	 * @returns The ticket.
	 */
	async submit(objects: readonly unknown[]): Promise<Ticket> {
		this.#ticket++;
		const ticket = v.parse(ticketSchema, {number: this.#ticket, author: 'test', objects});
		this.platform.table.compareAndSwap([{key: ticketKey(ticket.number), value: JSON.stringify(ticket), expected: 0}]);
		await waitFor(`ticket ${ticket.number}`, async () => this.isInForce(ticket));
		return ticket;
	}

	/**
	 * Asks every router whether it holds a ticket.
	 *
	 * @param ticket - The ticket.
	 * @returns True when all do.
	 */
	async isInForce(ticket: Ticket): Promise<boolean> {
		const answers = await Promise.all(this.deployment.hosts.map(async host => {
			const response = await request(`http://${host.operatorsAddress}/v1/holds`, {method: 'POST', body: JSON.stringify({registers: registersOf(ticket)})});
			return (await response.body.json() as {readonly holds: boolean}).holds;
		}));
		return answers.every(Boolean);
	}

	/**
	 * Reads a router's metrics.
	 *
	 * @param index - Which host.
	 * @returns The text.
	 */
	async metrics(index = 0): Promise<string> {
		const response = await request(`http://${this.deployment.hosts[index]!.operatorsAddress}/metrics`);
		return response.body.text();
	}

	/** Restarts an engine that went away, empty, at its old address. */
	async restartEngine(index: number, address: string): Promise<EngineStandIn> {
		const engine = this.#createEngine(index);
		this.engines[index] = engine;
		await engine.server.listen(Number(address.split(':')[1]));
		this.#disposables.add(engine.server);
		return engine;
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	async #listen(server: PlatformStandIn['server']): Promise<void> {
		await server.listen(0);
		this.#disposables.add(server);
	}

	async #startEngine(index: number): Promise<void> {
		const engine = this.#createEngine(index);
		this.engines.push(engine);
		await this.#listen(engine.server);
	}

	#createEngine(index: number): EngineStandIn {
		const engine: EngineStandIn = new EngineStandIn({
			model: 'general',
			version: 'v1',
			incarnation: `engine-${index}-${performance.now()}`,
			prefillTokensPerSecond: 200_000,
			tokenInterval: 1,
			cacheBlocks: 500,
			checksFencing: true,
			loadTime: 30,
			onCrash() {
				void engine.server.dispose();
			},
			...this.#options.engine,
		});
		return engine;
	}

	async #composeDeployment(): Promise<Deployment> {
		const ports = await freePorts(this.#options.hosts * 3);
		const next = () => `127.0.0.1:${ports.pop()!}`;
		return v.parse(deploymentSchema, {
			name: 'test',
			hosts: Array.from({length: this.#options.hosts}, (_, index) => ({
				id: `host-${index + 1}`, failureDomain: `domain-${index % 3}`, callersAddress: next(), peerAddress: next(), operatorsAddress: next(),
			})),
			platform: {keyValueService: `http://${this.platform.server.address}`, hostList: `http://${this.platform.server.address}`, callTimeoutMilliseconds: 500},
			engines: {stateIntervalMilliseconds: 100},
			...this.#options.settings,
		});
	}

	#firstObjects(): unknown[] {
		return [
			...Object.entries(testSecrets).flatMap(([workspace, secret]) => [
				{kind: 'workspace', name: workspace, state: {tokensPerSecond: 1_000_000, burstTokens: 2_000_000}},
				{kind: 'key', name: `key-${workspace}`, state: {sha256: createHash('sha256').update(secret).digest('hex'), workspace}},
			]),
			{kind: 'model', name: 'general', state: {version: 'v1', loadsAtOnce: 1}},
			{kind: 'route', name: 'general', state: {type: 'model', model: 'general'}},
			{kind: 'route', name: 'open', state: {type: 'model', model: 'general', openToAll: true}},
			{kind: 'route', name: 'bookings', state: {type: 'service', path: '/bookings', service: 'trading'}},
			{
				kind: 'route', name: 'catalogue', state: {
					type: 'service', path: '/catalogue', service: 'trading', idempotentMethods: ['GET'],
				},
			},
			...this.engines.map((engine, index) => ({
				kind: 'backend', name: `engine-${index}`, state: {
					type: 'engine', address: engine.server.address, failureDomain: `domain-${index % 3}`, model: 'general', checksFencing: true,
				},
			})),
			...this.services.map((service, index) => ({
				kind: 'backend', name: `service-${index}`, state: {
					type: 'service', address: service.server.address, failureDomain: `domain-${index % 3}`, service: 'trading',
				},
			})),
		];
	}

	async #waitForEngines(): Promise<void> {
		await waitFor('the engines\' states', async () => {
			const statuses = await Promise.all(this.deployment.hosts.map(async host => {
				const response = await request(`http://${host.operatorsAddress}/v1/status`);
				return await response.body.json() as Status;
			}));
			const servers = statuses.flatMap(status => status.servers.filter(server => server.serves === 'general'));
			return servers.every(server => server.incarnation !== undefined) && statuses.every(status => status.credit.every(({level}) => level > 0));
		});
	}

	#logger(host: string): Logger {
		const keep = (event: string, fields: unknown) => {
			this.logLines.push(JSON.stringify({host, event, fields}));
		};

		return {info: keep, warn: keep};
	}
}
