import {ClientCrowd, type LocalCluster, type LocalHost} from '@lacewingpoint/local-cluster';
import type {Milliseconds} from '@lacewingpoint/shared';
import {
	type LinkFault, type LoopbackProxy, type StoreCopy, type StoreFailureMode, createConfiguration,
} from '@lacewingpoint/stand-ins';
import type {Disturbance, Violation} from './checks.js';
import {createCrowd} from './crowd-fault.js';
import type {FaultKind, ScheduledFault} from './fault-schedule.js';
import {createOddEntry} from './odd-entry.js';
import type {ServerBehaviour} from './soak-server.js';

const linkFaults: readonly LinkFault[] = ['delay', 'reset', 'silent', 'one-way'];

const storeFailures: readonly StoreFailureMode[] = ['refusing', 'silent', 'resetting'];

/** Time between the copies from which the store is restored. */
const copyInterval: Milliseconds = 700;

/** How long a leaving server serves on before its next incarnation takes its place. */
const leavingTime: Milliseconds = 2500;

const restartDelay: Milliseconds = 300;

/** Time in which the process of a crowd starts. */
const crowdStartTime: Milliseconds = 500;

const plannedKinds: ReadonlySet<FaultKind> = new Set(['host-stop', 'host-reload', 'server-leave', 'configuration', 'weights']);

/** Injects scheduled faults into a cluster from outside of its processes. Of two faults with the same target, the later one ends both. */
export class FaultInjector {
	/** The output of each process of a host that has ended. */
	readonly endedLogs: Array<{readonly host: string; readonly log: string}> = [];
	readonly unexpectedExits: Violation[] = [];
	/** The planned stops of hosts, from their first signal to the end of the process. */
	readonly plannedStops: Disturbance[] = [];
	/** The times in which processes of hosts were killed or suspended. */
	readonly interruptions: Disturbance[] = [];
	/** The times of all other faults that are no planned work. */
	readonly impairments: Disturbance[] = [];
	/** Version of the newest configuration in the store. */
	configurationVersion = 1;
	readonly #cluster: LocalCluster;
	readonly #proxies: ReadonlyMap<string, LoopbackProxy>;
	readonly #behaviours: readonly ServerBehaviour[];
	/** Hosts whose process this injector has ended or is about to end. */
	readonly #endingHosts = new Set<LocalHost>();
	readonly #registrations = new Map<string, {incarnation: number; sequence: number}>();
	#weightsVersion = 1;
	#copies: readonly StoreCopy[] = [];

	/**
	 * @param cluster - The running system.
	 * @param proxies - The proxies by link.
	 * @param behaviours - How each server behaves, in the order of the cluster's servers.
	 */
	constructor(cluster: LocalCluster, proxies: ReadonlyMap<string, LoopbackProxy>, behaviours: readonly ServerBehaviour[]) {
		this.#cluster = cluster;
		this.#proxies = proxies;
		this.#behaviours = behaviours;
	}

	/** The logs of all processes of hosts, ended ones first. */
	get logs(): ReadonlyArray<{readonly host: string; readonly log: string}> {
		return [...this.endedLogs, ...this.#cluster.hosts.map(host => ({host: host.name, log: host.process.standardOutput}))];
	}

	/**
	 * Injects faults, and waits until the last one has ended.
	 *
	 * @param schedule - The faults.
	 */
	async run(schedule: readonly ScheduledFault[]): Promise<void> {
		const timer = setInterval(() => {
			this.#copies = [...this.#copies.slice(-3), this.#cluster.store.copy()];
			this.#restartEndedHosts();
		}, copyInterval);
		const startedAt = performance.now();
		await Promise.all(schedule.map(async fault => {
			await pause(startedAt + fault.at - performance.now());
			await this.#record(fault);
		}));
		clearInterval(timer);
		this.#restartEndedHosts();
	}

	async #record(fault: ScheduledFault): Promise<void> {
		const {hosts} = this.#cluster;
		const disturbance = {host: hosts[fault.target % hosts.length]!.clientAddress, from: performance.now(), to: Number.POSITIVE_INFINITY};
		if (fault.kind === 'host-kill' || fault.kind === 'host-suspend') {
			this.interruptions.push(disturbance);
		} else if (!plannedKinds.has(fault.kind)) {
			this.impairments.push({...disturbance, host: undefined});
		}

		await this.#inject(fault);
		disturbance.to = performance.now();
	}

	async #inject(fault: ScheduledFault): Promise<void> {
		const {store, hosts, servers} = this.#cluster;
		const host = hosts[fault.target % hosts.length]!;
		const server = servers[fault.target % servers.length]!;
		const behaviour = this.#behaviours[fault.target % servers.length]!;
		switch (fault.kind) {
			case 'host-kill': {
				await this.#endHost(host, async () => host.process.kill());
				break;
			}

			case 'host-stop': {
				if (this.#endingHosts.has(host)) {
					// The platform, or an operator, may send it again.
					host.process.sendSignal('SIGTERM');
				}

				await this.#endHost(host, async () => {
					const stop = {host: host.clientAddress, from: performance.now(), to: Number.POSITIVE_INFINITY};
					this.plannedStops.push(stop);
					host.process.sendSignal('SIGTERM');
					await host.process.waitForExit();
					stop.to = performance.now();
				});
				break;
			}

			case 'host-suspend': {
				const {process} = host;
				process.sendSignal('SIGSTOP');
				await pause(fault.duration);
				process.sendSignal('SIGCONT');
				break;
			}

			case 'host-reload': {
				// Before that, the signal ends the process: an open finding in KNOWN-RED.txt.
				if (host.process.standardOutput.includes('"event":"start"')) {
					host.process.sendSignal('SIGHUP');
				}

				break;
			}

			case 'server-link': {
				await this.#disturbLink(`server ${server.id}`, fault);
				break;
			}

			case 'store-link': {
				await this.#disturbLink(`store ${host.name}`, fault);
				break;
			}

			case 'store-refuse': {
				store.failureMode = storeFailures[fault.variant % storeFailures.length]!;
				await pause(fault.duration);
				store.failureMode = 'none';
				break;
			}

			case 'store-forget': {
				store.compact();
				break;
			}

			case 'store-restore': {
				await this.#restoreStore();
				break;
			}

			case 'server-break-off': {
				behaviour.isBreakingOff = true;
				await pause(fault.duration);
				behaviour.isBreakingOff = false;
				break;
			}

			case 'server-malformed': {
				behaviour.isMalformed = true;
				await pause(fault.duration);
				behaviour.isMalformed = false;
				break;
			}

			case 'odd-entry': {
				const key = `servers/odd-${fault.target}`;
				store.putText(key, createOddEntry(server, fault.variant));
				await pause(fault.duration);
				store.remove(key);
				break;
			}

			case 'client-crowd': {
				const crowd = new ClientCrowd(createCrowd(host, fault));
				await pause(crowdStartTime + fault.duration);
				await crowd.dispose();
				break;
			}

			case 'server-pause': {
				behaviour.pauseSeconds = 0.2 + (fault.variant / 1000);
				await pause(fault.duration);
				behaviour.pauseSeconds = undefined;
				break;
			}

			case 'server-leave': {
				await this.#replaceServer(fault.target % servers.length);
				break;
			}

			case 'configuration': {
				this.configurationVersion++;
				store.put('op/config', createConfiguration(this.configurationVersion));
				break;
			}

			case 'weights': {
				this.#weightsVersion++;
				store.put('op/version/m', {model: 'm', version: this.#weightsVersion});
				break;
			}
		}
	}

	async #endHost(host: LocalHost, end: () => Promise<unknown>): Promise<void> {
		if (this.#endingHosts.has(host)) {
			return;
		}

		this.#endingHosts.add(host);
		host.process.sendSignal('SIGCONT');
		await end();
		await pause(restartDelay);
		this.#restart(host);
		this.#endingHosts.delete(host);
	}

	#restartEndedHosts(): void {
		for (const host of this.#cluster.hosts) {
			if (!host.process.isRunning && !this.#endingHosts.has(host)) {
				this.unexpectedExits.push({promise: 'no end by itself', detail: `${host.name} ended with ${host.process.ending}: ${host.process.standardError.slice(-400)}${host.process.standardOutput.slice(-200)}`});
				this.#restart(host);
			}
		}
	}

	#restart(host: LocalHost): void {
		this.endedLogs.push({host: host.name, log: host.process.standardOutput});
		this.#cluster.restart(host);
	}

	async #disturbLink(link: string, fault: ScheduledFault): Promise<void> {
		const proxy = this.#proxies.get(link)!;
		proxy.fault = linkFaults[fault.variant % linkFaults.length]!;
		if (proxy.fault === 'reset') {
			proxy.resetConnections();
		}

		await pause(fault.duration);
		if (proxy.fault === 'silent' || proxy.fault === 'one-way') {
			// The bytes that were dropped must not leave a gap.
			proxy.resetConnections();
		}

		proxy.fault = 'none';
	}

	// What operators and servers wrote since the copy is written again, as the platform promises.
	async #restoreStore(): Promise<void> {
		const {store} = this.#cluster;
		const copy = this.#copies[0];
		if (copy === undefined) {
			return;
		}

		store.failureMode = 'silent';
		await pause(300);
		store.restore(copy);
		store.failureMode = 'none';
		store.put('op/config', createConfiguration(this.configurationVersion));
		if (this.#weightsVersion > 1) {
			store.put('op/version/m', {model: 'm', version: this.#weightsVersion});
		}

		for (const index of this.#behaviours.keys()) {
			this.#register(index);
		}
	}

	async #replaceServer(index: number): Promise<void> {
		const behaviour = this.#behaviours[index]!;
		if (behaviour.isLeaving) {
			return;
		}

		behaviour.isLeaving = true;
		this.#register(index);
		await pause(leavingTime);
		behaviour.isLeaving = false;
		const {id} = this.#cluster.servers[index]!;
		this.#registrations.set(id, {incarnation: (this.#registrations.get(id)?.incarnation ?? 0) + 1, sequence: 1});
		this.#register(index);
	}

	#register(index: number): void {
		const server = this.#cluster.servers[index]!;
		const registration = this.#registrations.get(server.id) ?? {incarnation: 0, sequence: 1};
		registration.sequence++;
		this.#registrations.set(server.id, registration);
		const isModelServer = server.id.startsWith('models');
		this.#cluster.store.put(`servers/${server.id}`, server.createEntry(isModelServer ? 'models' : 'plain', {
			address: this.#proxies.get(`server ${server.id}`)!.address,
			born: 1_700_000_000_000 + registration.incarnation,
			seq: registration.sequence,
			state: this.#behaviours[index]!.isLeaving ? 'draining' : 'ready',
			...(isModelServer ? {models: [{name: 'm', version: server.weightsVersion}]} : {}),
		}));
	}
}

async function pause(time: Milliseconds): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, Math.max(time, 0));
	});
}
