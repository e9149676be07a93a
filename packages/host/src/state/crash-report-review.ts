import type {SuspectCrash} from '@lacewingpoint/routing';
import type {Logger, Metrics, Milliseconds} from '@lacewingpoint/shared';
import type {ConnectionTarget} from '../requests/backend-connection-pool.js';
import type {ClusterState} from './cluster-state.js';

/** Data that a server sent before its crash may be read this long after a peer noticed the crash. */
const readDelay: Milliseconds = 100;

/** Crashes of one process that are reported within this time of each other are taken for one. */
const sameCrashWindow: Milliseconds = 2000;

/** Reviews of more processes than this are forgotten, the oldest first. */
const maximumReviews = 512;

export type CrashReportReviewOptions = {
	readonly clusterState: ClusterState;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	/** @returns Whether this host has lost its links to all servers. */
	isDetached(): boolean;
	/** @returns Whether the server accepts a connection. */
	canConnect(server: ConnectionTarget): Promise<boolean>;
};

/** What this host found about a reported crash. */
type Review = {readonly crashedAt: Milliseconds; readonly isConfirmed: Promise<boolean>};

/**
 * Checks what a peer reports of crashed servers against what this host sees: the peer may have lost its own links to sound servers, or may be
 * a build that does not ask others before it reports.
 */
export class CrashReportReview {
	readonly #options: CrashReportReviewOptions;
	readonly #reviews = new Map<string, Review>();

	constructor(options: CrashReportReviewOptions) {
		this.#options = options;
	}

	/**
	 * Selects the reports that this host can confirm.
	 *
	 * @param reporter - The peer's name.
	 * @param suspects - One entry for each request in flight.
	 * @returns Those whose server is out of this host's reach, or is no longer the same process. None if this host has no links itself.
	 */
	async confirm(reporter: string, suspects: readonly SuspectCrash[]): Promise<SuspectCrash[]> {
		const reviewed = await Promise.all(suspects.map(async suspect => ({suspect, isConfirmed: await this.#isConfirmed(reporter, suspect)})));
		return reviewed.flatMap(({suspect, isConfirmed}) => isConfirmed ? [suspect] : []);
	}

	async #isConfirmed(reporter: string, {server, incarnation, age}: SuspectCrash): Promise<boolean> {
		const key = JSON.stringify([server, incarnation]);
		const crashedAt = this.#options.now() - age;
		const known = this.#reviews.get(key);
		if (known !== undefined && Math.abs(known.crashedAt - crashedAt) <= sameCrashWindow) {
			return known.isConfirmed;
		}

		const isConfirmed = this.#review(reporter, {server, incarnation, crashedAt});
		this.#reviews.delete(key);
		this.#reviews.set(key, {crashedAt, isConfirmed});
		if (this.#reviews.size > maximumReviews) {
			this.#reviews.delete(this.#reviews.keys().next().value!);
		}

		return isConfirmed;
	}

	async #review(reporter: string, {server, incarnation, crashedAt}: {readonly server: string; readonly incarnation: string; readonly crashedAt: Milliseconds}): Promise<boolean> {
		const {clusterState, log, metrics, isDetached, canConnect} = this.#options;
		const entry = clusterState.servers.findEntry(server);
		const isSameProcess = entry?.incarnation === incarnation;
		const isReached = isSameProcess && (clusterState.health.hasSentSince(server, crashedAt + readDelay) || await canConnect(entry));
		const result = isReached ? 'refuted' : (isSameProcess && isDetached() ? 'unknown' : 'confirmed');
		metrics.incrementCounter('crash_reports', {result});
		log.info('crash-report', {
			server, incarnation, source: reporter, result,
		});
		return result === 'confirmed';
	}
}
