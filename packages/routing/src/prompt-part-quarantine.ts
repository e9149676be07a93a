import type {Milliseconds} from '@lacewingpoint/shared';
import {type PartCrash, type PartEvidence, attributeCrashes} from './crash-attribution.js';
import type {SuspectCrash} from './quarantine.js';

export type PromptPartQuarantineOptions = {
	/** The number of independent crashes that quarantines a part if no other part was in flight during as many of them. */
	readonly crashThreshold: number;
	/** The number of independent crashes that quarantines several parts that were in flight during the same ones. */
	readonly ambiguousCrashThreshold: number;
	/** Crashes within this time count as one, because one failure may stop many servers. */
	readonly commonFailureWindow: Milliseconds;
	/** How long the reports of a crash and of executed parts may take to arrive from all hosts; only then the crash counts. */
	readonly settlingTime: Milliseconds;
	/** How long a crash counts against a part that is not quarantined. */
	readonly suspicionLifetime: Milliseconds;
	/** The time from the last crash until a quarantined part is tried again; doubles with each failed trial. */
	readonly trialInterval: Milliseconds;
	readonly longestTrialInterval: Milliseconds;
};

/** The options for use in production. */
export const defaultPromptPartQuarantineOptions: PromptPartQuarantineOptions = {
	crashThreshold: 3,
	ambiguousCrashThreshold: 5,
	commonFailureWindow: 100,
	settlingTime: 300,
	suspicionLifetime: 60_000,
	trialInterval: 30_000,
	longestTrialInterval: 3_600_000,
};

/** A prompt part that is kept from the servers, as hosts report it to each other. */
export type QuarantinedPart = {
	/** Hash of the part's id. */
	readonly part: number;
	/** Time since the last crash during which the part was in flight. */
	readonly age: Milliseconds;
	/** Time from that crash to the next trial. */
	readonly trialInterval: Milliseconds;
};

/** A prompt part that a server has executed without a crash, as hosts report it to each other. */
export type ExecutedPart = {
	/** Hash of the part's id. */
	readonly part: number;
	/** Time since the server began to respond. */
	readonly age: Milliseconds;
};

/** Whether a request may be sent to a server: a `trial` finds out whether a quarantined part still crashes servers. */
export type PartAdmission = {readonly type: 'clear'} | {readonly type: 'trial' | 'quarantined'; readonly part: number};

type Quarantined = {lastCrashAt: Milliseconds; trialInterval: Milliseconds; trialAt: Milliseconds};

/** Limit on the remembered executions; the least recent ones are removed. */
const maximumExecutedParts = 10_000;

/**
 * Detects prompt parts that crash each server that responds to a request with them. Such a part is in flight during every crash that it
 * causes and is never executed, while a popular part is in flight during crashes of any cause but is executed again and again. A part is
 * quarantined once it was in flight during enough independent crashes since its last execution, and explains more of them than any other.
 */
export class PromptPartQuarantine {
	readonly #options: PromptPartQuarantineOptions;
	readonly #crashes = new Map<string, PartCrash>();
	/** Times of the crashes during which each part was in flight. */
	readonly #crashTimes = new Map<number, Milliseconds[]>();
	/** When a server last began a response to a request with the part that it survived, least recent first. */
	readonly #executedAt = new Map<number, Milliseconds>();
	readonly #quarantined = new Map<number, Quarantined>();
	/** Whether the next review may come to another result than the last one. */
	#needsReview = false;

	constructor(options: PromptPartQuarantineOptions) {
		this.#options = options;
	}

	/** The number of quarantined parts. */
	get quarantinedCount(): number {
		return this.#quarantined.size;
	}

	/**
	 * Records crashes that this host observed or a peer reported; a crash that is known already is not counted again.
	 *
	 * @param suspects - One entry for each request in flight; without parts if the server had begun to respond to it long before.
	 * @param now - Current monotonic time.
	 * @returns Parts of these requests that have been executed since the crash, to be reported to the peers.
	 */
	recordCrashes(suspects: readonly SuspectCrash[], now: Milliseconds): ExecutedPart[] {
		const executed = new Map<number, ExecutedPart>();
		for (const {server, incarnation, fingerprint, parts, age} of suspects) {
			const key = `${server} ${incarnation}`;
			const at = now - age;
			const crash = this.#crashes.get(key) ?? {at, requests: new Map<number, ReadonlySet<number>>()};
			if (parts.length === 0 || age > this.#options.suspicionLifetime || crash.requests.has(fingerprint)) {
				continue;
			}

			this.#needsReview = true;
			this.#crashes.set(key, {at: Math.min(crash.at, at), requests: new Map([...crash.requests, [fingerprint, new Set(parts)]])});
			for (const part of parts) {
				this.#crashTimes.set(part, [...(this.#crashTimes.get(part) ?? []), at]);
				this.#recordCrashInQuarantine(part, at);
				const executedAt = this.#executedAt.get(part);
				if (executedAt !== undefined && executedAt >= at) {
					executed.set(part, {part, age: now - executedAt});
				}
			}
		}

		return [...executed.values()];
	}

	/**
	 * Records that a server has responded to a request and survived it.
	 *
	 * @param parts - The parts of the request's prompt that other requests may share.
	 * @param beganAt - Monotonic time at which the response began.
	 * @param now - Current monotonic time.
	 * @returns The parts that are no longer suspected or quarantined, to be reported to the peers.
	 */
	recordExecution(parts: readonly number[], beganAt: Milliseconds, now: Milliseconds): ExecutedPart[] {
		const released = parts.filter(part => this.#applyExecution(part, beganAt));
		return released.map(part => ({part, age: now - beganAt}));
	}

	/**
	 * Merges executions that a peer reported.
	 *
	 * @param executions - The executed parts.
	 * @param now - Current monotonic time.
	 * @returns Those that end a suspicion or a quarantine here.
	 */
	mergeExecutions(executions: readonly ExecutedPart[], now: Milliseconds): ExecutedPart[] {
		return executions.filter(({part, age}) => this.#applyExecution(part, now - age));
	}

	/**
	 * Merges the quarantine of a peer. Parts that were executed here after the crash are left out.
	 *
	 * @param reported - The peer's quarantined parts.
	 * @param now - Current monotonic time.
	 * @returns The parts that the peer should release, because they have been executed since.
	 */
	mergeQuarantined(reported: readonly QuarantinedPart[], now: Milliseconds): ExecutedPart[] {
		const executed: ExecutedPart[] = [];
		for (const {part, age, trialInterval} of reported) {
			const lastCrashAt = now - age;
			const executedAt = this.#executedAt.get(part) ?? Number.NEGATIVE_INFINITY;
			const known = this.#quarantined.get(part);
			if (executedAt >= lastCrashAt) {
				executed.push({part, age: now - executedAt});
			} else if (known === undefined) {
				this.#quarantined.set(part, {lastCrashAt, trialInterval, trialAt: lastCrashAt + trialInterval});
			} else {
				known.lastCrashAt = Math.max(known.lastCrashAt, lastCrashAt);
				known.trialInterval = Math.max(known.trialInterval, trialInterval);
				known.trialAt = Math.max(known.trialAt, known.lastCrashAt + known.trialInterval);
			}
		}

		return executed;
	}

	/**
	 * Lists the quarantined parts for the peers.
	 *
	 * @param now - Current monotonic time.
	 * @returns One entry for each part.
	 */
	listQuarantined(now: Milliseconds): QuarantinedPart[] {
		return [...this.#quarantined].map(([part, {lastCrashAt, trialInterval}]) => ({part, age: now - lastCrashAt, trialInterval}));
	}

	/**
	 * Decides whether a request may be sent to a server. A trial is granted once for each interval.
	 *
	 * @param parts - The parts of the request's prompt that other requests may share.
	 * @param now - Current monotonic time.
	 * @param mayTry - Whether this host may send the request if a trial of the part is due.
	 * @returns The decision, with the quarantined part.
	 */
	admit(parts: readonly number[], now: Milliseconds, mayTry: (part: number) => boolean): PartAdmission {
		const part = parts.find(candidate => this.#quarantined.has(candidate));
		if (part === undefined) {
			return {type: 'clear'};
		}

		const quarantined = this.#quarantined.get(part)!;
		if (now < quarantined.trialAt || !mayTry(part)) {
			return {type: 'quarantined', part};
		}

		quarantined.trialAt = now + quarantined.trialInterval;
		return {type: 'trial', part};
	}

	/**
	 * Attributes the crashes to parts, and removes those that no longer count. Called periodically.
	 *
	 * @param now - Current monotonic time.
	 * @returns The parts that are quarantined from now on, with the crashes attributed to them.
	 */
	review(now: Milliseconds): PartEvidence[] {
		this.#removeExpired(now);
		if (!this.#needsReview) {
			return [];
		}

		const settled = [...this.#crashes.values()].filter(crash => now - crash.at >= this.#options.settlingTime);
		this.#needsReview = settled.length < this.#crashes.size;
		const added = attributeCrashes(settled, {
			...this.#options,
			executedAt: part => this.#executedAt.get(part) ?? Number.NEGATIVE_INFINITY,
			isQuarantined: part => this.#quarantined.has(part),
		});
		for (const {part, lastCrashAt} of added) {
			const {trialInterval} = this.#options;
			this.#quarantined.set(part, {lastCrashAt, trialInterval, trialAt: lastCrashAt + trialInterval});
		}

		return added;
	}

	#recordCrashInQuarantine(part: number, at: Milliseconds): void {
		const quarantined = this.#quarantined.get(part);
		if (quarantined === undefined || at <= quarantined.lastCrashAt) {
			return;
		}

		// Requests that were sent before the quarantine are no trials.
		if (at >= quarantined.lastCrashAt + quarantined.trialInterval) {
			quarantined.trialInterval = Math.min(quarantined.trialInterval * 2, this.#options.longestTrialInterval);
		}

		quarantined.lastCrashAt = at;
		quarantined.trialAt = at + quarantined.trialInterval;
	}

	// Returns whether the execution ends a suspicion or a quarantine.
	#applyExecution(part: number, beganAt: Milliseconds): boolean {
		const previous = this.#executedAt.get(part) ?? Number.NEGATIVE_INFINITY;
		if (beganAt <= previous) {
			return false;
		}

		this.#executedAt.delete(part);
		this.#executedAt.set(part, beganAt);
		if (this.#executedAt.size > maximumExecutedParts) {
			this.#executedAt.delete(this.#executedAt.keys().next().value!);
		}

		const quarantined = this.#quarantined.get(part);
		if (quarantined !== undefined && quarantined.lastCrashAt <= beganAt) {
			this.#quarantined.delete(part);
			return true;
		}

		const wasInFlight = (this.#crashTimes.get(part) ?? []).some(at => at > previous && at <= beganAt);
		this.#needsReview ||= wasInFlight;
		return wasInFlight;
	}

	#removeExpired(now: Milliseconds): void {
		const {suspicionLifetime, longestTrialInterval} = this.#options;
		const isExpired = (at: Milliseconds) => now - at > suspicionLifetime;
		for (const [key, {at}] of this.#crashes) {
			if (isExpired(at)) {
				this.#crashes.delete(key);
			}
		}

		for (const [part, times] of this.#crashTimes) {
			if (times.every(at => isExpired(at))) {
				this.#crashTimes.delete(part);
			}
		}

		for (const [part, {lastCrashAt}] of this.#quarantined) {
			if (now - lastCrashAt > 2 * longestTrialInterval) {
				this.#quarantined.delete(part);
			}
		}
	}
}
