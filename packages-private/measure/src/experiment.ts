import {type Milliseconds, createSeededRandom} from '@lacewingpoint/shared';
import {EventQueue} from './event-queue.js';
import {ModelEngine} from './model-engine.js';
import {type GenerationOutcome, type PolicyName, SimulatedHost} from './simulated-host.js';
import {type RequestKind, type Site, Workload} from './workload.js';

/** What happens half-way through a run. */
export const loadPatterns = ['calm', 'burst', 'hot document', 'crashes', 'new weights'] as const;

export type LoadPattern = (typeof loadPatterns)[number];

export type ExperimentOptions = {
	readonly site: Site;
	readonly policy: PolicyName;
	readonly pattern: LoadPattern;
	/** Requests over those of the sheet. */
	readonly loadFactor: number;
	readonly durationSeconds: number;
	readonly seed: number;
};

/** What one run measured. */
export type ExperimentResult = {
	readonly requests: number;
	/** Shares of all requests. */
	readonly withinObjective: number;
	readonly unserved: number;
	readonly p50: Milliseconds;
	readonly p95: Milliseconds;
	readonly p99: Milliseconds;
	/** Prompt tokens that servers did not have to read. */
	readonly hitRate: number;
	/** Most tokens read by one server over the mean. */
	readonly imbalance: number;
	/** The share within their objective of the kind that fares worst. */
	readonly worstKind: number;
};

const hostCount = 9;

/** News travel between hosts at this pace, as in the daemon. */
const newsInterval: Milliseconds = 25;
const pumpInterval: Milliseconds = 10;
const wayBetweenHosts: Milliseconds = 1;

/** Requests of the first seconds meet empty caches and are not counted. */
const warmUp: Milliseconds = 4000;

const burst = {factor: 1.7, time: 4000};
const hotShare = 0.28;
const crashes = {count: 2, downFor: 3000};

/**
 * Plays one load pattern under one policy.
 *
 * @param options - The run.
 * @returns What was measured.
 */
export function runExperiment(options: ExperimentOptions): ExperimentResult {
	const {site, policy, pattern, loadFactor: load, durationSeconds: seconds, seed} = options;
	const events = new EventQueue();
	// Each pattern's requests come from one source, so that every policy meets the same ones.
	const workload = new Workload(site, createSeededRandom(seed));
	const engines = Array.from({length: site.engineCount}, (_, index) => new ModelEngine(`engine-${index}`, site.engineParameters, events));
	const outcomes: GenerationOutcome[] = [];
	let asked = 0;
	const hosts: SimulatedHost[] = Array.from({length: hostCount}, (_, index) => new SimulatedHost({
		name: `host-${index}`,
		policy,
		site,
		engines,
		events,
		onPlacement(news) {
			if (policy !== 'no notes') {
				events.schedule((newsInterval / 2) + wayBetweenHosts, () => {
					for (const host of hosts.filter((_host, other) => other !== index)) {
						host.mergePlacement(news);
					}
				});
			}
		},
		onOutcome(outcome) {
			if (events.now >= warmUp) {
				outcomes.push(outcome);
			}
		},
	}));
	let factor = load;
	const repeat = (interval: Milliseconds, run: () => void) => {
		events.schedule(interval, () => {
			run();
			repeat(interval, run);
		});
	};

	const arrive = (kind: RequestKind) => {
		events.schedule(workload.drawInterarrivalTime(kind.requestsPerSecond * factor), () => {
			asked++;
			hosts[asked % hostCount]!.submitRequest(workload.drawRequest(kind));
			arrive(kind);
		});
	};

	for (const kind of site.requestKinds) {
		arrive(kind);
	}

	repeat(pumpInterval, () => {
		for (const host of hosts) {
			host.processQueue();
		}
	});
	repeat(newsInterval, () => {
		if (policy !== 'no notes') {
			shareLoads(hosts, events.now);
		}
	});
	events.schedule(seconds * 500, () => {
		switch (pattern) {
			case 'burst': {
				factor = load * burst.factor;
				events.schedule(burst.time, () => {
					factor = load;
				});
				break;
			}

			case 'hot document': {
				workload.hotDocumentShare = hotShare;
				break;
			}

			case 'crashes': {
				for (const engine of engines.slice(0, crashes.count)) {
					engine.crash(crashes.downFor);
					for (const host of hosts) {
						host.forgetEngineCache(engine.id);
					}
				}

				break;
			}

			case 'new weights': {
				rollOut(engines, hosts, site);
				break;
			}

			case 'calm': {
				break;
			}
		}
	});
	events.runUntil(seconds * 1000);
	return summarize(outcomes, engines);
}

function shareLoads(hosts: readonly SimulatedHost[], now: Milliseconds): void {
	for (const host of hosts) {
		for (const peer of hosts) {
			if (peer !== host) {
				host.serverLoads.mergePeerLoads(peer.name, new Map(peer.serverLoads.localLoads()), now);
			}
		}
	}
}

function rollOut(engines: readonly ModelEngine[], hosts: readonly SimulatedHost[], site: Site): void {
	const due = [...engines];
	const next = () => {
		const engine = due.shift();
		engine?.loadWeights(engine.weightsVersion + 1, site.weightsLoadTime, () => {
			for (const host of hosts) {
				host.forgetEngineCache(engine.id);
			}

			next();
		});
	};

	for (let turn = 0; turn < site.maxConcurrentLoads; turn++) {
		next();
	}
}

function summarize(outcomes: readonly GenerationOutcome[], engines: readonly ModelEngine[]): ExperimentResult {
	const served = outcomes.filter(outcome => outcome.timeToFirstToken !== undefined);
	const times = served.map(outcome => outcome.timeToFirstToken!).toSorted((left, right) => left - right);
	const percentile = (share: number) => times[Math.min(Math.floor(times.length * share), times.length - 1)] ?? Number.NaN;
	const isOnTime = (outcome: GenerationOutcome) => (outcome.timeToFirstToken ?? Number.POSITIVE_INFINITY) <= outcome.request.kind.objective;
	const shareOnTime = (list: readonly GenerationOutcome[]) => list.filter(outcome => isOnTime(outcome)).length / Math.max(list.length, 1);
	const kinds = [...new Set(outcomes.map(outcome => outcome.request.kind))];
	const prompt = served.reduce((sum, outcome) => sum + outcome.request.promptTokens, 0);
	const cached = served.reduce((sum, outcome) => sum + Math.min(outcome.cachedTokens, outcome.request.promptTokens), 0);
	const reads = engines.map(engine => engine.prefilledTokens);
	return {
		requests: outcomes.length,
		withinObjective: shareOnTime(outcomes),
		unserved: (outcomes.length - served.length) / Math.max(outcomes.length, 1),
		p50: percentile(0.5),
		p95: percentile(0.95),
		p99: percentile(0.99),
		hitRate: cached / Math.max(prompt, 1),
		imbalance: Math.max(...reads) * reads.length / reads.reduce((sum, tokens) => sum + tokens, 1),
		worstKind: Math.min(...kinds.map(kind => shareOnTime(outcomes.filter(outcome => outcome.request.kind === kind)))),
	};
}
