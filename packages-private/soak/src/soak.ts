import {LocalCluster, readProcessUsage} from '@lacewingpoint/local-cluster';
import {
	type Milliseconds, type RandomSource, bytesPerMebibyte, createSeededRandom, hashText,
} from '@lacewingpoint/shared';
import {LoopbackProxy, createConfiguration} from '@lacewingpoint/stand-ins';
import {
	type Violation, checkAnswersInTime, checkLog, checkOrders, checkOutcomes, checkPlannedStops, findLogLines,
} from './checks.js';
import {type ClientOutcome, SoakClient} from './client-traffic.js';
import {FaultInjector} from './fault-injector.js';
import {type FaultProfile, createFaultSchedule} from './fault-schedule.js';
import {ExecutionLog, type ServerBehaviour, createSoakHandler} from './soak-server.js';

export type SoakOptions = {
	readonly seed: number;
	/** Time in which faults begin. */
	readonly duration: Milliseconds;
	readonly hostCount: number;
	readonly clientCount: number;
	/** Number of series of faults. */
	readonly seriesCount: number;
	/** Which faults are drawn; `mixed` by default. */
	readonly profile?: FaultProfile;
};

/** What a run found. */
export type SoakReport = {
	readonly seed: number;
	readonly violations: readonly Violation[];
	/** Number of requests by outcome. */
	readonly requests: Readonly<Record<'served' | 'refused' | 'failed' | 'broken off', number>>;
	/** Number of faults by kind. */
	readonly faults: Readonly<Record<string, number>>;
	/** The log of each process of a host. */
	readonly logs: ReadonlyArray<{readonly host: string; readonly log: string}>;
};

const plainServerCount = 2;
const modelServerCount = 3;

/** Memory of each host in MiB, as in the settings of a small machine. */
const hostMemory = 200;

/** The first second is free of faults. */
const warmUp: Milliseconds = 1000;

/** Within this time after the last fault, every host has to serve again with the newest configuration. */
const recoveryTime: Milliseconds = 12_000;

/** Consecutive requests that a host has to serve to count as recovered. */
const requiredSuccesses = 5;

/**
 * Runs a system under faults drawn from a seed, and checks its promises.
 *
 * @param options - The seed, and the size and duration of the run.
 * @returns The report.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	// The traffic draws a varying number of values, so the schedule has a source of its own.
	const schedule = createFaultSchedule(createSeededRandom(options.seed), options.duration, options.seriesCount, options.profile);
	const random = createSeededRandom(hashText(`traffic ${options.seed}`));
	const executions = new ExecutionLog();
	const behaviours: ServerBehaviour[] = Array.from({length: plainServerCount + modelServerCount}, () => ({isBreakingOff: false, isLeaving: false, pauseSeconds: undefined}));
	const handlers = behaviours.map(behaviour => createSoakHandler(behaviour, random, executions));
	const proxies = new Map<string, LoopbackProxy>();
	const cluster = new LocalCluster({
		hostCount: options.hostCount,
		memory: hostMemory,
		nodeFlags: '--max-old-space-size=110',
		plainHandlers: handlers.slice(0, plainServerCount),
		modelHandlers: handlers.slice(plainServerCount),
		async interpose(link, address) {
			const proxy = new LoopbackProxy(address);
			await proxy.start();
			proxies.set(link, proxy);
			return proxy.address;
		},
	});
	const clients = Array.from({length: options.clientCount}, (_, index) => new SoakClient(`r${options.seed}-${index}`, random));
	const injector = new FaultInjector(cluster, proxies, behaviours);
	try {
		await cluster.start();
		const traffic = clients.map(async client => client.run(() => selectAddress(cluster, random)));
		await pause(warmUp);
		await injector.run(schedule);
		const memoryViolations = await checkMemory(cluster);
		const violations = await checkRecovery(cluster, clients[0]!, injector.configurationVersion);
		for (const client of clients) {
			client.stop();
		}

		await Promise.all(traffic);
		const outcomes = clients.flatMap(client => client.outcomes);
		return {
			seed: options.seed,
			violations: [...[
				...violations,
				...memoryViolations,
				...checkOutcomes(outcomes, executions),
				...checkPlannedStops(outcomes, executions, injector.plannedStops, [...injector.interruptions, ...injector.impairments]),
				...checkAnswersInTime(outcomes, [...injector.interruptions, ...injector.plannedStops]),
				// Links that hold orders back, and suspended hosts, excuse turns; these faults are drawn for the mixed profile only.
				...(options.profile === undefined || options.profile === 'mixed' ? [] : cluster.servers.flatMap(server => checkOrders(server.id, server.receivedOrders))),
			].map(violation => addLogLines(violation, injector)), ...injector.logs.flatMap(({host, log}) => checkLog(host, log)), ...injector.unexpectedExits],
			requests: countOutcomes(outcomes),
			faults: countBy(schedule.map(({kind}) => kind)),
			logs: injector.logs,
		};
	} finally {
		await Promise.all(clients.map(async client => client.dispose()));
		await cluster.dispose();
		for (const proxy of proxies.values()) {
			proxy.dispose();
		}
	}
}

function addLogLines(violation: Violation, {logs}: FaultInjector): Violation {
	const lines = violation.requestId === undefined ? [] : findLogLines(logs.map(({log}) => log), violation.requestId);
	return {...violation, detail: [violation.detail, ...lines].join('\n    ')};
}

function selectAddress(cluster: LocalCluster, random: RandomSource): string {
	const running = cluster.hosts.filter(host => host.process.isRunning);
	const candidates = running.length === 0 ? cluster.hosts : running;
	return candidates[Math.floor(random.next() * candidates.length)]!.clientAddress;
}

async function checkRecovery(cluster: LocalCluster, client: SoakClient, newestVersion: number): Promise<readonly Violation[]> {
	// One more configuration shows which hosts follow changes.
	const version = newestVersion + 1;
	cluster.store.put('op/config', createConfiguration(version));
	const violations = await Promise.all(cluster.hosts.map(async host => {
		const deadline = performance.now() + recoveryTime;
		let successes = 0;
		let lastStatus = 0;
		let lastFailedId: string | undefined;
		for (let index = 0; successes < requiredSuccesses || !host.process.standardOutput.includes(`"event":"configuration","version":${version},`); index++) {
			if (performance.now() > deadline) {
				return [{promise: 'recovery', requestId: lastFailedId, detail: `${host.name} does not serve with configuration ${version}: ${successes} successes in a row, last status ${lastStatus}`} as const];
			}

			const requestId = `recovery-${host.name}-${index}`;
			const outcome = await client.send(host.clientAddress, index % 2 === 0 ? 'look' : 'check', requestId);
			lastStatus = outcome.status;
			const isServed = outcome.status === 200 && outcome.isComplete;
			successes = isServed ? successes + 1 : 0;
			lastFailedId = isServed ? lastFailedId : requestId;
			await pause(20);
		}

		return [];
	}));
	return violations.flat();
}

// The peak since the start of each process that runs now.
async function checkMemory(cluster: LocalCluster): Promise<readonly Violation[]> {
	const usages = await Promise.all(cluster.hosts.map(async ({name, process}) => ({name, usage: await readProcessUsage(process.pid)})));
	return usages.filter(({usage}) => usage !== undefined && usage.peakMemory > hostMemory * bytesPerMebibyte).map(({name, usage}) => ({
		promise: 'memory', detail: `${name} took ${Math.round(usage!.peakMemory / bytesPerMebibyte)} MiB of ${hostMemory} MiB`,
	}));
}

function countOutcomes(outcomes: readonly ClientOutcome[]): SoakReport['requests'] {
	const counts = {
		served: 0, refused: 0, failed: 0, 'broken off': 0,
	};
	for (const {status, isComplete} of outcomes) {
		if (status === 200) {
			counts[isComplete ? 'served' : 'broken off']++;
		} else {
			counts[status === 503 || status === 429 ? 'refused' : 'failed']++;
		}
	}

	return counts;
}

function countBy(names: readonly string[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const name of names) {
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}

async function pause(time: Milliseconds): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}
