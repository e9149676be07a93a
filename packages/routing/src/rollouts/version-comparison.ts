import type {Milliseconds} from '@lacewingpoint/shared';
import {type AnswerCount, decodeOutcome} from './rollout.js';

export type VersionComparisonOptions = {
	/** How long answers of the baseline count as given at the same time. */
	readonly window: Milliseconds;
	/** Tolerated share of bad answers of the target beyond the baseline's: `margin` + `ratio` x the baseline's share. */
	readonly margin: number;
	readonly ratio: number;
	/** Evidence, as a natural logarithm of a likelihood ratio, from which the target is worse. */
	readonly evidence: number;
	/** An answer this many time classes above the baseline's median is slow. */
	readonly slowClasses: number;
	/** The same while the baseline's latest answers are older than the window. */
	readonly slowClassesWithoutBaseline: number;
	/** Bad answers from which the target is worse if its share of them is twice what is tolerated. */
	readonly mostBadAnswers: number;
};

/** The options for use in production. */
export const defaultVersionComparisonOptions: VersionComparisonOptions = {
	window: 4000, margin: 0.02, ratio: 1.5, evidence: 9, slowClasses: 5, slowClassesWithoutBaseline: 9, mostBadAnswers: 30,
};

/** Shares of bad answers for which evidence is collected, between the tolerated share and 1. */
const alternatives = [0.06, 0.15, 0.4, 0.8] as const;

/** Answers of the baseline from which its median is known. */
const fewestBaselineAnswers = 8;

/** Good answers that are assumed in addition to those of a period, so that few answers do not tell much. */
const assumedAnswers = 10;

/** Answers and bad answers of one route. */
export type Tally = {readonly answers: number; readonly bad: number};

type Batch = {readonly at: Milliseconds; failed: number; readonly times: Map<number, number>};

type RouteRecord = {
	baseline: Batch[];
	/** Cumulative sums of the evidence, one for each alternative; they restart at 0, so that early good answers do not hide later bad ones. */
	evidence: number[];
	target: {answers: number; bad: number};
};

function createRecord(): RouteRecord {
	return {baseline: [], evidence: alternatives.map(() => 0), target: {answers: 0, bad: 0}};
}

function createBatch(at: Milliseconds): Batch {
	return {at, failed: 0, times: new Map()};
}

/**
 * Compares the answers of two software versions at the same time and route: a sequential test (cumulative sums of likelihood ratios for
 * several shares of bad answers) for each route and for all together. Covers load patterns in which a version is bad from the start, from
 * some time on, under load, or on one route; what makes both versions bad is no evidence against the target.
 */
export class VersionComparison {
	readonly #options: VersionComparisonOptions;
	readonly #routes = new Map<string, RouteRecord>();
	readonly #total = createRecord();

	constructor(options: VersionComparisonOptions = defaultVersionComparisonOptions) {
		this.#options = options;
	}

	/**
	 * Adds answers. Call it several times a second, so that the answers of one call are of the same time.
	 *
	 * @param counts - The answers since the last call.
	 * @param now - Current monotonic time.
	 * @param ignoresSlow - Whether only failures count, because few requests are sent to the target any more and the rest of its answers are slow ones.
	 */
	add(counts: readonly AnswerCount[], now: Milliseconds, ignoresSlow = false): void {
		const fresh = new Map<string, Batch>();
		for (const {route, side, outcome, count} of counts) {
			const decoded = decodeOutcome(outcome);
			if (side === 'target' || decoded.type === 'sent') {
				continue;
			}

			const batch = fresh.get(route) ?? createBatch(now);
			fresh.set(route, batch);
			if (decoded.type === 'failed') {
				batch.failed += count;
			} else {
				// A response that was given up took at least as long as the class says.
				batch.times.set(decoded.timeClass, (batch.times.get(decoded.timeClass) ?? 0) + count);
			}
		}

		for (const [route, batch] of fresh) {
			const record = this.#record(route);
			record.baseline = [...record.baseline.filter(({at}) => now - at <= this.#options.window), batch];
		}

		const total = {answers: 0, bad: 0, expected: 0};
		for (const route of new Set(counts.filter(({side}) => side === 'target').map(count => count.route))) {
			const {answers, bad, tolerated} = this.#addTarget(route, counts, ignoresSlow ? Number.POSITIVE_INFINITY : this.#slowFrom(this.#record(route), now));
			total.answers += answers;
			total.bad += bad;
			total.expected += answers * tolerated;
		}

		if (total.answers > 0) {
			this.#collect(this.#total, total, total.expected / total.answers);
		}
	}

	/** The answers of the target version so far. */
	get targetTally(): Tally {
		return this.#total.target;
	}

	/**
	 * Returns the answers of the target version on one route.
	 *
	 * @param route - Name of the route.
	 * @returns The answers so far.
	 */
	routeTally(route: string): Tally {
		return this.#routes.get(route)?.target ?? {answers: 0, bad: 0};
	}

	/** @returns The route on which the target is worse, `all` for all together; `undefined` while there is not enough evidence. */
	findWorse(): string | undefined {
		const {evidence, mostBadAnswers} = this.#options;
		for (const [name, record] of [['all', this.#total] as const, ...this.#routes]) {
			if (record.evidence.some(sum => sum >= evidence)) {
				return name;
			}
		}

		// The smaller the excess, the longer the test takes; the number of bad answers is limited in any case.
		const {bad} = this.#total.target;
		return bad >= mostBadAnswers && bad > 2 * this.#expectedBad() ? 'all' : undefined;
	}

	#expectedBad(): number {
		let expected = 0;
		for (const record of this.#routes.values()) {
			expected += record.target.answers * this.#tolerated(record, this.#slowFrom(record, record.baseline.at(-1)?.at ?? 0));
		}

		return expected;
	}

	#addTarget(route: string, counts: readonly AnswerCount[], slowFrom: number): Tally & {readonly tolerated: number} {
		const record = this.#record(route);
		let answers = 0;
		let bad = 0;
		for (const {outcome, count} of counts.filter(entry => entry.route === route && entry.side === 'target')) {
			const decoded = decodeOutcome(outcome);
			if (decoded.type === 'sent') {
				continue;
			}

			const isBad = decoded.type === 'failed' || decoded.timeClass >= slowFrom;
			// A response that its client gave up early tells nothing.
			if (decoded.type !== 'cut-short' || isBad) {
				answers += count;
				bad += isBad ? count : 0;
			}
		}

		const tolerated = this.#tolerated(record, slowFrom);
		this.#collect(record, {answers, bad}, tolerated);
		return {answers, bad, tolerated};
	}

	#collect(record: RouteRecord, {answers, bad}: Tally, tolerated: number): void {
		record.target.answers += answers;
		record.target.bad += bad;
		record.evidence = record.evidence.map((sum, index) => {
			const share = tolerated + ((1 - tolerated) * alternatives[index]!);
			return Math.max(0, sum + (bad * Math.log(share / tolerated)) + ((answers - bad) * Math.log((1 - share) / (1 - tolerated))));
		});
	}

	#slowFrom(record: RouteRecord, now: Milliseconds): number {
		const times = new Map<number, number>();
		let answers = 0;
		for (const batch of record.baseline) {
			for (const [time, count] of batch.times) {
				times.set(time, (times.get(time) ?? 0) + count);
				answers += count;
			}
		}

		if (answers < fewestBaselineAnswers) {
			return Number.POSITIVE_INFINITY;
		}

		let below = 0;
		const median = [...times].toSorted(([left], [right]) => left - right).find(([, count]) => {
			below += count;
			return below * 2 >= answers;
		})![0];
		const isRecent = now - record.baseline.at(-1)!.at <= this.#options.window;
		return median + (isRecent ? this.#options.slowClasses : this.#options.slowClassesWithoutBaseline);
	}

	// The largest of several periods, the latest answers alone being one: what makes both versions bad may have begun just now.
	#tolerated(record: RouteRecord, slowFrom: number): number {
		const {margin, ratio, window} = this.#options;
		const latest = record.baseline.at(-1)?.at ?? 0;
		return Math.max(...[0, window / 8, window].map(period => {
			let answers = 0;
			let bad = 0;
			for (const {at, failed, times} of record.baseline) {
				if (latest - at > period) {
					continue;
				}

				answers += failed;
				bad += failed;
				for (const [time, count] of times) {
					answers += count;
					bad += time >= slowFrom ? count : 0;
				}
			}

			return Math.min(margin + (ratio * bad / (answers + assumedAnswers)), 0.7);
		}));
	}

	#record(route: string): RouteRecord {
		const record = this.#routes.get(route) ?? createRecord();
		this.#routes.set(route, record);
		return record;
	}
}
