import type {HostDescription} from '@lacewingpoint/coordination';
import {
	type ChangeBatch, type GossipTransport, type HostMessage, type PeerClient, type SnapshotSource, ClusterState, Fleet, decodeHostMessage, encodeHostMessage, snapshotTimeout,
} from '@lacewingpoint/host';
import {type Configuration, type ServerEntry, Quarantine} from '@lacewingpoint/routing';
import {
	type Bytes, Metrics, type Milliseconds, type RandomSource, createSeededRandom, silentLogger,
} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {EventQueue} from './event-queue.js';

const networkDelay: Milliseconds = 1;

/** Interval of the periodic work of a host, as in the host program. */
const reviewInterval: Milliseconds = 100;

/** Time until a change in the store reaches a host that reads it. */
const storeDelay: Milliseconds = 5;

/** All hosts of a fleet start within this time. */
const startSpread: Milliseconds = 300;

/** Promises settle after each step of this length; messages take at least as long. */
const simulationStep: Milliseconds = 1;

/** Larger than the number of changes between two restores of the store, as in the platform's adapter. */
const revisionsPerEra = 2 ** 40;

type Cut = (from: string, to: string) => boolean;

/** The content of the simulated store. */
export type SimulatedStoreCopy = {
	readonly configuration: Configuration | undefined;
	readonly servers: ReadonlyMap<string, {readonly entry: ServerEntry; readonly revision: number}>;
	readonly revision: number;
};

/** A host of the simulated fleet. */
export type SimulatedFleetHost = {
	readonly description: HostDescription;
	readonly clusterState: ClusterState;
	readonly fleet: Fleet;
	isReader: boolean;
	/** Whether it neither sends nor runs, as a suspended process. */
	isFrozen: boolean;
	sentMessages: number;
	sentBytes: number;
};

/** Hosts that exchange state over a simulated network, and the store that their readers follow. */
export class SimulatedFleet {
	/** The running hosts, by name. */
	readonly hosts = new Map<string, SimulatedFleetHost>();
	/** Which messages are lost. */
	cut: Cut | undefined;
	/** The share of messages that get lost. */
	lossShare = 0;
	/** Bandwidth of the link of each host for the state that its peers request, in megabits a second. */
	linkMegabits = 1000;
	/** Calls by readers to the store. */
	storeReads = 0;
	readonly #events = new EventQueue();
	readonly #random: RandomSource;
	/** Until when the link of a host is occupied by earlier responses. */
	readonly #linkBusyUntil = new Map<string, Milliseconds>();
	readonly #receivers = new Map<string, (message: HostMessage) => void>();
	readonly #byAddress = new Map<string, string>();
	#configuration: Configuration | undefined;
	#servers = new Map<string, {readonly entry: ServerEntry; readonly revision: number}>();
	#revision = 0;
	#era = 0;
	#starts = 0;

	/** @param seed - Seed of the random numbers. */
	constructor(seed: number) {
		this.#random = createSeededRandom(seed);
	}

	/** Simulated time. */
	get now(): Milliseconds {
		return this.#events.now;
	}

	/**
	 * Starts hosts within a short time, evenly over the failure domains; the first ones are the seeds.
	 *
	 * @param count - The number of hosts.
	 * @param domains - The number of failure domains.
	 */
	async startHosts(count: number, domains: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			this.#events.schedule(this.#random.next() * startSpread, () => {
				this.startHost(`host-${index}`, `domain-${index % domains}`, index < 3 * domains ? 2 : 1);
			});
		}

		await this.run(startSpread);
	}

	/**
	 * Starts a host, or starts it again after it was killed.
	 *
	 * @param name - The host's name.
	 * @param failureDomain - Its failure domain.
	 * @param capacity - Its processor capacity.
	 * @returns The host.
	 */
	startHost(name: string, failureDomain: string, capacity = 1): SimulatedFleetHost {
		const description: HostDescription = {
			name, incarnation: `start-${this.#starts++}`, failureDomain, region: 'r', clientAddress: `${name}:1`, peerAddress: `${name}:2`, snapshotAddress: `${name}:3`, capacity,
		};
		const clusterState = new ClusterState(silentLogger, () => this.#events.now, () => 12_000, {
			onServersChanged() {/* No requests wait here. */},
			onServerRemoved() {/* There are no connections. */},
			onLeaseHolderRead() {/* There is no lease. */},
			onStateChanged(change) {
				host.fleet.gossip.announceStateChange(change?.type === 'server' || change?.type === 'server-gone' ? change : undefined);
			},
		});
		const host: SimulatedFleetHost = {
			description,
			clusterState,
			isReader: false,
			isFrozen: false,
			sentMessages: 0,
			sentBytes: 0,
			fleet: new Fleet({
				description,
				seedAddresses: ['host-0:2', 'host-1:2', 'host-2:2'], seedSnapshotAddresses: ['host-0:3', 'host-1:3', 'host-2:3'],
				readServers: async () => undefined,
				clusterState,
				quarantine: new Quarantine({crashThreshold: 3, domainFailureWindow: 0, suspicionLifetime: 60_000}),
				transport: this.#createTransport(name, () => host),
				peerClient: this.#createPeerClient(name),
				scheduler: {
					schedule: (delay, run) => {
						let isCancelled = false;
						const runUnlessFrozen = () => {
							if (host.isFrozen) {
								this.#events.schedule(reviewInterval, runUnlessFrozen);
							} else if (!isCancelled) {
								run();
							}
						};

						this.#events.schedule(delay, runUnlessFrozen);
						return () => {
							isCancelled = true;
						};
					},
				},
				log: silentLogger,
				metrics: new Metrics(),
				now: () => this.#events.now, earliestArrival: () => this.#events.now, random: createSeededRandom(1), isDetached: () => false, canConnect: async () => false,
				hostState: () => clusterState.configuration === undefined ? 'starting' : 'serving',
				hasStoreContact: () => host.isReader,
				mustBeRelay: () => false,
				onReaderChanged: isReader => {
					host.isReader = isReader;
					this.#read(host);
				},
				onRoleChanged: () => {
					this.#updateRegistrations();
				},
			}),
		};
		this.hosts.set(name, host);
		this.#byAddress.set(description.peerAddress, name);
		this.#byAddress.set(description.snapshotAddress, name);
		void host.fleet.start();
		this.#scheduleReview(host);
		return host;
	}

	/**
	 * Ends a host, as a crash would.
	 *
	 * @param name - The host's name.
	 */
	kill(name: string): void {
		this.hosts.get(name)?.fleet.dispose();
		this.hosts.delete(name);
		this.#receivers.delete(name);
		this.#updateRegistrations();
	}

	/**
	 * Publishes a configuration in the store.
	 *
	 * @param version - Its version.
	 * @param bytes - Approximate size of its keys.
	 */
	publish(version: number, bytes: Bytes = 0): void {
		this.#revision++;
		this.#configuration = {
			version, routes: [], services: [], limits: {
				headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1,
			},
			workspaces: [{
				name: 'blue', keys: ['k'.repeat(bytes)], isIsolated: false, unitsPerSecond: 1000, burstUnits: 1000, countsTokens: true, plainTokens: 1,
			}],
		};
		this.#notifyReaders();
	}

	/**
	 * Writes the registration of a server to the store.
	 *
	 * @param entry - The registration.
	 */
	registerServer(entry: ServerEntry): void {
		this.#revision++;
		this.#servers.set(entry.id, {entry, revision: this.#revision});
		this.#notifyReaders();
	}

	/** @returns A copy of the store. */
	copyStore(): SimulatedStoreCopy {
		return {configuration: this.#configuration, servers: new Map(this.#servers), revision: this.#revision};
	}

	/**
	 * Restores the store from a copy. Revisions that were assigned since are assigned again; readers notice it and read everything.
	 *
	 * @param copy - The copy.
	 */
	restoreStore(copy: SimulatedStoreCopy): void {
		this.#era++;
		this.#configuration = copy.configuration;
		this.#servers = new Map(copy.servers);
		this.#revision = copy.revision;
		for (const host of this.hosts.values()) {
			if (host.isReader) {
				host.clusterState.servers.recordStoreRestored(this.now);
			}
		}

		this.#notifyReaders();
	}

	/**
	 * Lists the hosts that know other servers than the store lists.
	 *
	 * @returns Their names.
	 */
	listDeviating(): string[] {
		const describe = (entries: Iterable<ServerEntry>) => [...entries].map(entry => `${entry.id} ${entry.incarnation} ${entry.isDraining}`).toSorted().join(', ');
		const expected = describe([...this.#servers.values()].map(({entry}) => entry));
		return [...this.hosts.values()]
			.filter(host => !host.isFrozen && describe(host.clusterState.servers.listEntries().map(({entry}) => entry)) !== expected)
			.map(host => host.description.name);
	}

	/**
	 * Runs the simulation.
	 *
	 * @param duration - The simulated time.
	 */
	async run(duration: Milliseconds): Promise<void> {
		const end = this.#events.now + duration;
		while (this.#events.now < end) {
			this.#events.runUntil(Math.min(this.#events.now + simulationStep, end));
			await Promise.resolve();
		}
	}

	/**
	 * Lists the hosts that do not have a version of the configuration.
	 *
	 * @param version - The version.
	 * @returns Their names.
	 */
	listOutdated(version: number): string[] {
		return [...this.hosts.values()].filter(host => !host.isFrozen && host.clusterState.configuration?.version !== version).map(host => host.description.name);
	}

	/** @returns The names of the hosts that do not know exactly the running hosts. */
	listMisinformed(): string[] {
		const running = [...this.hosts.values()].filter(host => !host.isFrozen).map(host => host.description.name).toSorted().join(' ');
		return [...this.hosts.values()].filter(host => {
			const known = [host.description.name, ...host.clusterState.hosts.listServing(this.#events.now).map(other => other.name)];
			return !host.isFrozen && known.toSorted().join(' ') !== running;
		}).map(host => host.description.name);
	}

	#scheduleReview(host: SimulatedFleetHost): void {
		this.#events.schedule(reviewInterval, () => {
			if (this.hosts.get(host.description.name) === host) {
				if (!host.isFrozen) {
					host.fleet.review();
					host.clusterState.removeExpiredServers();
				}

				this.#scheduleReview(host);
			}
		});
	}

	#createTransport(name: string, getHost: () => SimulatedFleetHost): GossipTransport {
		return {
			start: async onMessage => {
				this.#receivers.set(name, onMessage);
			},
			send: (message, addresses) => {
				const host = getHost();
				const bytes = encodeHostMessage(message);
				for (const address of addresses) {
					host.sentMessages++;
					host.sentBytes += bytes.length;
					const target = this.#byAddress.get(address);
					if (target === undefined || this.cut?.(name, target) === true || this.#random.next() < this.lossShare) {
						continue;
					}

					this.#events.schedule(networkDelay, () => {
						if (this.hosts.get(target)?.isFrozen === false) {
							this.#receivers.get(target)?.(decodeHostMessage(bytes)!);
						}
					});
				}
			},
			dispose: () => {
				this.#receivers.delete(name);
			},
		};
	}

	#createPeerClient(name: string): PeerClient {
		const call = async <Response>(address: string, respond: (source: SnapshotSource) => Response) => {
			const target = this.#byAddress.get(address) ?? '';
			const host = this.hosts.get(target);
			if (host === undefined || host.isFrozen || this.cut?.(name, target) === true || this.cut?.(target, name) === true) {
				return Result.err<Response, {layer: 'host'; code: 'unreachable'; message: string}>({layer: 'host', code: 'unreachable', message: 'no response'});
			}

			const response = respond(host.fleet.snapshotSource);
			const isInTime = await this.#transfer(target, response);
			return isInTime
				? Result.ok<Response, {layer: 'host'; code: 'unreachable'; message: string}>(response)
				: Result.err<Response, {layer: 'host'; code: 'unreachable'; message: string}>({layer: 'host', code: 'unreachable', message: 'timed out'});
		};

		return {
			fetchSnapshot: async address => call(address, source => source.snapshot()),
			fetchChanges: async (address, known) => call(address, source => source.changesSince(known)),
			fetchHosts: async (address, kind) => call(address, source => [...source.hosts(kind)]), fetchServerContact: async address => call(address, () => ({contact: 'unknown' as const, isOverloaded: false})), fetchStreamOrigin: async (address, question) => call(address, source => source.streamOrigin(question)),
		};
	}

	// Responses of a host share its link one after the other; one that takes too long occupies the link all the same.
	async #transfer(host: string, response: unknown): Promise<boolean> {
		const transferTime = JSON.stringify(response).length * 8 / (this.linkMegabits * 1000);
		const end = Math.max(this.now, this.#linkBusyUntil.get(host) ?? 0) + transferTime;
		this.#linkBusyUntil.set(host, end);
		const waitTime = Math.min(end - this.now, snapshotTimeout);
		return new Promise(resolve => {
			this.#events.schedule(waitTime, () => {
				resolve(end - this.now < 1);
			});
		});
	}

	#updateRegistrations(): void {
		this.#revision++;
		this.#notifyReaders();
	}

	#notifyReaders(): void {
		for (const host of this.hosts.values()) {
			this.#read(host);
		}
	}

	#read(host: SimulatedFleetHost): void {
		if (!host.isReader) {
			return;
		}

		this.storeReads++;
		this.#events.schedule(storeDelay, () => {
			if (host.isReader && !host.isFrozen) {
				host.clusterState.apply(this.#listState(), true, 'store');
			}
		});
	}

	#listState(): ChangeBatch {
		const relays = [...this.hosts.values()].filter(host => host.fleet.role === 'relay');
		const base = this.#era * revisionsPerEra;
		const revision = base + this.#revision;
		return {
			revision,
			changes: [
				...(this.#configuration === undefined ? [] : [{type: 'configuration', revision, configuration: this.#configuration} as const]),
				...[...this.#servers.values()].map(server => ({type: 'server', revision: base + server.revision, entry: server.entry} as const)),
				...relays.map(host => ({type: 'host', revision, description: host.description} as const)),
			],
		};
	}
}
