import {ServerLoads} from '@lacewingpoint/routing';
import {type Milliseconds, createSeededRandom} from '@lacewingpoint/shared';
import {EventQueue} from './event-queue.js';
import {ModelEngine} from './model-engine.js';
import {
	type GenerationOutcome, type PauseOutcome, type PolicyName, SimulatedHost,
} from './simulated-host.js';
import {createSlowdown} from './uneven-speed.js';
import {type RequestKind, type Site, Workload} from './workload.js';

/** Load patterns: the change that happens half-way through a run. */
export const loadPatterns = ['calm', 'burst', 'hot document', 'crashes', 'new weights'] as const;

export type LoadPattern = (typeof loadPatterns)[number];

export type ExperimentOptions = {
	readonly site: Site;
	readonly policy: PolicyName;
	readonly pattern: LoadPattern;
	/** Factor on the request rates of the site. */
	readonly loadFactor: number;
	readonly durationSeconds: number;
	readonly seed: number;
	/** Number of hosts; nine by default. */
	readonly hostCount?: number;
	/** Time until an announcement reaches the other hosts; by default that of hosts which are all relays. */
	readonly gossipDelay?: Milliseconds;
};

/** Results of one run. */
export type ExperimentResult = {
	readonly requests: number;
	/** Share of all requests whose first token came within the objective. */
	readonly withinObjective: number;
	/** Share of all requests without a first token. */
	readonly unserved: number;
	/** Percentiles of the time to the first token. */
	readonly p50: Milliseconds;
	readonly p95: Milliseconds;
	readonly p99: Milliseconds;
	/** Share of prompt tokens that were cached or fetched. */
	readonly hitRate: number;
	/** Most tokens prefilled by one server, relative to the mean of all servers. */
	readonly imbalance: number;
	/** The longest time that one server worked, relative to the mean of all servers. */
	readonly busyImbalance: number;
	/** Share of completed responses with a pause over the objective. */
	readonly latePauses: number;
	/** Lowest `withinObjective` of all request kinds. */
	readonly worstKind: number;
};

const defaultHostCount = 9;

/** Interval at which hosts exchange loads and placements, as in the host program. */
const gossipInterval: Milliseconds = 25;
const queueInterval: Milliseconds = 10;
const networkDelay: Milliseconds = 1;

/** Lifetime of loads in a sum, which is used at once. */
const sumExpiry: Milliseconds = 1;

/** First tokens and failures in this initial period are not counted, because the caches are still empty. */
const warmUpTime: Milliseconds = 4000;

/** Request rates are multiplied by `factor` for `time` milliseconds. */
const burstLoad = {factor: 1.7, time: 4000};

/** Additional share of requests that are about one document from the middle of the run on. */
const hotDocumentShare = 0.28;

/** `count` engines crash and are down for `downFor` milliseconds. */
const engineCrashes = {count: 2, downFor: 3000};

/**
 * Simulates one load pattern under one policy.
 *
 * @param options - Site, policy, load and duration of the run.
 * @returns Latencies, share of requests served and cache use of the run.
 */
export function runExperiment(options: ExperimentOptions): ExperimentResult {
	const {
		site, policy, pattern, loadFactor, durationSeconds, seed, hostCount = defaultHostCount, gossipDelay = (gossipInterval / 2) + networkDelay,
	} = options;
	const events = new EventQueue();
	// The workload has a random source of its own, so that every policy gets the same requests.
	const workload = new Workload(site, createSeededRandom(seed));
	const engines = Array.from({length: site.engineCount}, (_, index) => new ModelEngine(`engine-${index}`, site.engineParameters, events, createSlowdown(site.unevenSpeed, index, seed, () => events.now)));
	const outcomes: GenerationOutcome[] = [];
	const pauses: PauseOutcome[] = [];
	let requestCount = 0;
	const hosts: SimulatedHost[] = Array.from({length: hostCount}, (_, index) => new SimulatedHost({
		name: `host-${index}`,
		policy,
		site,
		engines,
		events,
		random: createSeededRandom(seed + index),
		onPlacement(placement) {
			if (policy !== 'no notes') {
				events.schedule(gossipDelay, () => {
					for (const host of hosts.filter((_host, other) => other !== index)) {
						host.mergePlacement(placement);
					}
				});
			}
		},
		onOutcome(outcome) {
			if (events.now >= warmUpTime) {
				outcomes.push(outcome);
			}
		},
		onPause(outcome) {
			if (events.now >= warmUpTime) {
				pauses.push(outcome);
			}
		},
	}));
	let currentLoadFactor = loadFactor;
	const repeat = (interval: Milliseconds, run: () => void) => {
		events.schedule(interval, () => {
			run();
			repeat(interval, run);
		});
	};

	const scheduleArrivals = (kind: RequestKind) => {
		events.schedule(workload.drawInterarrivalTime(kind.requestsPerSecond * currentLoadFactor), () => {
			requestCount++;
			hosts[requestCount % hostCount]!.submitRequest(workload.drawRequest(kind));
			scheduleArrivals(kind);
		});
	};

	for (const kind of site.requestKinds) {
		scheduleArrivals(kind);
	}

	repeat(queueInterval, () => {
		for (const host of hosts) {
			host.processQueue();
		}
	});
	// On average, a load has changed half an interval before it is sent.
	repeat(Math.max(gossipInterval, 2 * (gossipDelay - networkDelay)), () => {
		if (policy !== 'no notes') {
			shareLoads(hosts, events.now);
		}
	});
	events.schedule(durationSeconds * 500, () => {
		switch (pattern) {
			case 'burst': {
				currentLoadFactor = loadFactor * burstLoad.factor;
				events.schedule(burstLoad.time, () => {
					currentLoadFactor = loadFactor;
				});
				break;
			}

			case 'hot document': {
				workload.hotDocumentShare = hotDocumentShare;
				break;
			}

			case 'crashes': {
				for (const engine of engines.slice(0, engineCrashes.count)) {
					engine.crash(engineCrashes.downFor);
					for (const host of hosts) {
						host.forgetEngineCache(engine.id);
					}
				}

				break;
			}

			case 'new weights': {
				startRollout(engines, hosts, site);
				break;
			}

			case 'calm': {
				break;
			}
		}
	});
	events.runUntil(durationSeconds * 1000);
	return summarize(outcomes, pauses, engines);
}

// Each host gets the loads of all others in one sum, as a member gets them from its relay.
function shareLoads(hosts: readonly SimulatedHost[], now: Milliseconds): void {
	const sums = new ServerLoads(sumExpiry);
	for (const host of hosts) {
		sums.mergePeerLoads(host.name, host.serverLoads.localLoads(), now);
	}

	const allLoads = sums.sumLoads(() => true, now);
	for (const host of hosts) {
		host.serverLoads.mergePeerLoads('others', sums.subtractPeerLoads(allLoads, host.name), now);
	}
}

function startRollout(engines: readonly ModelEngine[], hosts: readonly SimulatedHost[], site: Site): void {
	const pendingEngines = [...engines];
	const loadNext = () => {
		const engine = pendingEngines.shift();
		engine?.loadWeights(engine.weightsVersion + 1, site.weightsLoadTime, () => {
			for (const host of hosts) {
				host.forgetEngineCache(engine.id);
			}

			loadNext();
		});
	};

	for (let index = 0; index < site.maxConcurrentLoads; index++) {
		loadNext();
	}
}

function summarize(outcomes: readonly GenerationOutcome[], pauses: readonly PauseOutcome[], engines: readonly ModelEngine[]): ExperimentResult {
	const served = outcomes.filter(outcome => outcome.timeToFirstToken !== undefined);
	const timesToFirstToken = served.map(outcome => outcome.timeToFirstToken!).toSorted((left, right) => left - right);
	const percentile = (share: number) => timesToFirstToken[Math.min(Math.floor(timesToFirstToken.length * share), timesToFirstToken.length - 1)] ?? Number.NaN;
	const isWithinObjective = (outcome: GenerationOutcome) => (outcome.timeToFirstToken ?? Number.POSITIVE_INFINITY) <= outcome.request.kind.objective;
	const shareWithinObjective = (selected: readonly GenerationOutcome[]) => selected.filter(outcome => isWithinObjective(outcome)).length / Math.max(selected.length, 1);
	const kinds = [...new Set(outcomes.map(outcome => outcome.request.kind))];
	const promptTokens = served.reduce((sum, outcome) => sum + outcome.request.promptTokens, 0);
	const cachedTokens = served.reduce((sum, outcome) => sum + Math.min(outcome.cachedTokens, outcome.request.promptTokens), 0);
	const prefilledTokens = engines.map(engine => engine.prefilledTokens);
	return {
		requests: outcomes.length,
		withinObjective: shareWithinObjective(outcomes),
		unserved: (outcomes.length - served.length) / Math.max(outcomes.length, 1),
		p50: percentile(0.5),
		p95: percentile(0.95),
		p99: percentile(0.99),
		hitRate: cachedTokens / Math.max(promptTokens, 1),
		imbalance: Math.max(...prefilledTokens) * prefilledTokens.length / prefilledTokens.reduce((sum, tokens) => sum + tokens, 1),
		busyImbalance: Math.max(...engines.map(engine => engine.busyTime)) * engines.length / engines.reduce((sum, engine) => sum + engine.busyTime, 1),
		latePauses: pauses.filter(({request, longestPause}) => longestPause > request.kind.pauseObjective).length / Math.max(pauses.length, 1),
		worstKind: Math.min(...kinds.map(kind => shareWithinObjective(outcomes.filter(outcome => outcome.request.kind === kind)))),
	};
}
