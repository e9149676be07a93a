import type {Milliseconds} from '@lacewingpoint/shared';

/** A crash of a server with requests in flight. */
export type PartCrash = {
	readonly at: Milliseconds;
	/** The shared prompt parts of each request in flight, by the request's fingerprint. */
	readonly requests: ReadonlyMap<number, ReadonlySet<number>>;
};

/** The crashes that count against a prompt part. */
export type PartEvidence = {
	readonly part: number;
	/** The number of independent crashes. */
	readonly crashCount: number;
	/** Monotonic time of the last crash. */
	readonly lastCrashAt: Milliseconds;
};

export type AttributionOptions = {
	/** The number of independent crashes that are attributed to a part if no other part was in flight during as many of them. */
	readonly crashThreshold: number;
	/** The number of independent crashes that are attributed to several parts that were in flight during the same ones. */
	readonly ambiguousCrashThreshold: number;
	/** Crashes within this time count as one. */
	readonly commonFailureWindow: Milliseconds;
	/** @returns Monotonic time at which the last response began that a server survived; it exonerates the part of earlier crashes. */
	executedAt(part: number): Milliseconds;
	/** @returns Whether the part is quarantined already, which explains the crashes during which it was in flight. */
	isQuarantined(part: number): boolean;
};

type Candidate = PartEvidence & {readonly crashes: ReadonlySet<PartCrash>};

/**
 * Finds the prompt parts that explain crashes of servers: repeatedly the one that was in flight during the most crashes that no other
 * part explains yet. Parts that were merely in flight at the same time explain fewer crashes, or have been executed in between.
 *
 * @param crashes - The crashes, in any order.
 * @param options - Thresholds, and what is known of the parts.
 * @returns The parts to be quarantined.
 */
export function attributeCrashes(crashes: readonly PartCrash[], options: AttributionOptions): PartEvidence[] {
	const attributed: PartEvidence[] = [];
	let unexplained = crashes.filter(({requests}) => ![...requests.values()].some(parts => [...parts].some(part => options.isQuarantined(part))));
	for (;;) {
		const candidates = listCandidates(unexplained, options);
		const leader = candidates[0];
		if (leader === undefined || leader.crashCount < options.crashThreshold) {
			return attributed;
		}

		const rivals = candidates.filter(candidate => candidate.crashCount === leader.crashCount && isOverlapping(candidate.crashes, leader.crashes));
		if (rivals.length > 1 && leader.crashCount < options.ambiguousCrashThreshold) {
			return attributed;
		}

		attributed.push(...rivals.map(({part, crashCount, lastCrashAt}) => ({part, crashCount, lastCrashAt})));
		const explained = new Set(rivals.flatMap(({crashes: own}) => [...own]));
		unexplained = unexplained.filter(crash => !explained.has(crash));
	}
}

// All parts in flight with the crashes that count against them, the most crashes first.
function listCandidates(crashes: readonly PartCrash[], options: AttributionOptions): Candidate[] {
	const repeatedRequests = findRepeatedRequests(crashes, options.crashThreshold);
	const crashesByPart = new Map<number, Set<PartCrash>>();
	for (const crash of crashes) {
		for (const part of new Set([...crash.requests.values()].flatMap(parts => [...parts]))) {
			if (crash.at > options.executedAt(part)) {
				const own = crashesByPart.get(part) ?? new Set();
				crashesByPart.set(part, own.add(crash));
			}
		}
	}

	return [...crashesByPart]
		.map(([part, own]) => ({
			part, crashes: own, crashCount: countIndependentCrashes(part, [...own], repeatedRequests, options.commonFailureWindow), lastCrashAt: Math.max(...[...own].map(({at}) => at)),
		}))
		.toSorted((left, right) => right.crashCount - left.crashCount);
}

// A request that is quarantined by itself, because it was in flight during enough crashes.
function findRepeatedRequests(crashes: readonly PartCrash[], crashThreshold: number): ReadonlySet<number> {
	const counts = new Map<number, number>();
	for (const fingerprint of crashes.flatMap(({requests}) => [...requests.keys()])) {
		counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
	}

	return new Set([...counts].filter(([, count]) => count >= crashThreshold).map(([fingerprint]) => fingerprint));
}

// All crashes under one repeated request count once for its own parts and not at all for those of other requests.
function countIndependentCrashes(part: number, crashes: readonly PartCrash[], repeatedRequests: ReadonlySet<number>, commonFailureWindow: Milliseconds): number {
	const repeatedCarriers = new Set<number>();
	let count = 0;
	let failureAt = Number.NEGATIVE_INFINITY;
	for (const {at, requests} of crashes.toSorted((left, right) => left.at - right.at)) {
		const repeated = [...requests.keys()].filter(fingerprint => repeatedRequests.has(fingerprint));
		if (repeated.length > 0) {
			for (const fingerprint of repeated.filter(candidate => requests.get(candidate)!.has(part))) {
				repeatedCarriers.add(fingerprint);
			}
		} else if (at - failureAt > commonFailureWindow) {
			count++;
			failureAt = at;
		}
	}

	return count + repeatedCarriers.size;
}

function isOverlapping(left: ReadonlySet<PartCrash>, right: ReadonlySet<PartCrash>): boolean {
	return [...left].some(crash => right.has(crash));
}
