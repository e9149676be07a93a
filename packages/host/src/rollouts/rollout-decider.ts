import {
	type AnswerCount, type KnownRollout, type RolloutObservation, type RolloutProgress, type RolloutVerdict, RolloutDecision,
} from '@lacewingpoint/routing';
import {
	type Logger, type Metrics, type Milliseconds, describeError,
} from '@lacewingpoint/shared';
import type {HostGossip} from '../members/host-gossip.js';
import type {ClusterState} from '../state/cluster-state.js';
import {grantLifetime} from './rollout-changes.js';
import type {RolloutRecord, StoredRollout} from './rollout-record.js';

/** Time between two grants of the same share. */
const grantInterval: Milliseconds = 300;

export type RolloutDeciderOptions = {
	readonly clusterState: ClusterState;
	readonly gossip: HostGossip;
	readonly record: RolloutRecord;
	/** Term of the lease under which this decider acts. */
	readonly term: number;
	readonly exposureShare: number;
	readonly exposureSlack: number;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly now: () => Milliseconds;
	/** @returns Whether this host still holds the lease of the same term. */
	isInOffice(): boolean;
};

/**
 * Decides one rollout during one term of the lease. It first claims the record in the store; each later write states the revision of the
 * one before, so that a decider that was replaced cannot write any more, however long its calls are on their way.
 */
export class RolloutDecider {
	readonly request: KnownRollout['request'];
	readonly #options: RolloutDeciderOptions;
	#stored: Omit<StoredRollout, 'progress'> | undefined;
	/** What is to be written, until it was. */
	#unwritten: RolloutProgress | undefined;
	#decision: RolloutDecision | undefined;
	#isCalling = false;
	#hasEnded = false;
	#claimedAt = 0;
	#elapsedAtClaim = 0;
	#counted = new Map<string, number>();
	#grant = {number: 0, share: -1, sentAt: Number.NEGATIVE_INFINITY};
	#barred: readonly string[] = [];
	readonly #baselineVersions = new Set<string>();
	#reason = '';

	constructor(request: KnownRollout['request'], options: RolloutDeciderOptions) {
		this.request = request;
		this.#options = options;
	}

	/** Whether this decider does nothing any more: the rollout is decided, or another host has taken it over. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** Goes on with the rollout. Call it several times a second. */
	review(): void {
		const known = this.#options.clusterState.rollouts.list().get(this.request.service);
		if (this.#hasEnded || known?.request.id !== this.request.id || !this.#options.isInOffice()) {
			this.#hasEnded = true;
			return;
		}

		if (this.#decision === undefined) {
			if (!this.#isCalling) {
				void this.#claim(known);
			}

			return;
		}

		const verdict = this.#decision.decide(this.#observe(known));
		this.#grantShare(verdict.share);
		this.#recordVerdict(known, verdict, this.#decision.reached.beganAt);
	}

	async #claim(known: KnownRollout): Promise<void> {
		const {record, term, clusterState, now, exposureShare, exposureSlack, log} = this.#options;
		const {service, id, target} = this.request;
		this.#isCalling = true;
		const stored = await record.read(service);
		this.#isCalling = false;
		if (stored.isErr || this.#hasEnded) {
			return;
		}

		const {progress} = stored.value;
		if (progress !== undefined && this.#isBehind(progress, known)) {
			// This host lags behind; the change that brings the newer term or request follows.
			this.#hasEnded = progress.term > term;
			return;
		}

		if (progress !== undefined) {
			clusterState.apply({changes: [{type: 'rollout-progress', revision: stored.value.recordRevision, progress}], revision: 0}, false, 'record');
		}

		const current = clusterState.rollouts.list().get(service)!;
		const reached = current.progress;
		this.#barred = current.barred;
		this.#claimedAt = now();
		this.#elapsedAtClaim = Math.max(now() - current.requestedAt, reached?.elapsed ?? 0);
		this.#stored = stored.value;
		if (reached !== undefined && reached.state !== 'running') {
			// Only a record that a restored store has lost is written again.
			this.#hasEnded = progress?.requestId === id && progress.state === reached.state;
			if (!this.#hasEnded) {
				await this.#write({...reached, term, requestRevision: known.requestRevision});
			}

			return;
		}

		const claimed = await this.#write({
			requestId: id,
			requestRevision: known.requestRevision,
			service,
			target,
			state: 'running',
			step: reached?.step ?? 0,
			beganAt: reached?.beganAt,
			elapsed: this.#elapsedAtClaim,
			term,
			barred: this.#barred,
			retired: [],
		});
		if (claimed) {
			log.info('rollout-claimed', {
				service, target, term, step: reached?.step ?? 0, elapsed: Math.round(this.#elapsedAtClaim),
			});
			this.#decision = new RolloutDecision({exposureShare, exposureSlack, grantLifetime}, {step: reached?.step ?? 0, beganAt: reached?.beganAt});
		}
	}

	#isBehind(progress: RolloutProgress, known: KnownRollout): boolean {
		return progress.term > this.#options.term || (progress.requestId !== known.request.id && progress.requestRevision > known.requestRevision);
	}

	#observe({request: {service, target, timeBudget}}: KnownRollout): RolloutObservation {
		const {clusterState, now} = this.#options;
		const entries = clusterState.servers.listEntries().map(({entry}) => entry).filter(entry => entry.service === service && !this.#barred.includes(entry.softwareVersion ?? ''));
		const baseline = entries.filter(({softwareVersion}) => (softwareVersion ?? '') !== target);
		for (const {softwareVersion} of baseline) {
			this.#baselineVersions.add(softwareVersion ?? '');
		}

		const available = entries.filter(entry => !entry.isDraining && !clusterState.serverNotices.isLeaving(entry));
		const sumSlots = (isTarget: boolean) => sum(available.filter(({softwareVersion}) => (softwareVersion === target) === isTarget).map(({slots}) => slots));
		return {
			now: now(),
			elapsed: this.#elapsed(),
			timeBudget,
			targetSlots: sumSlots(true),
			baselineSlots: sumSlots(false),
			baselineRequests: sum(baseline.map(({id}) => clusterState.loads.totalLoad(id, now()).requests)),
			answers: this.#takeAnswers(),
		};
	}

	#takeAnswers(): AnswerCount[] {
		const before = this.#counted;
		this.#counted = new Map();
		return this.#options.clusterState.rollouts.totals(this.request.service).flatMap(answer => {
			const key = JSON.stringify([answer.route, answer.side, answer.outcome]);
			this.#counted.set(key, answer.count);
			const count = answer.count - (before.get(key) ?? 0);
			return count === 0 ? [] : [{...answer, count}];
		});
	}

	#grantShare(share: number): void {
		const {clusterState, gossip, term, now} = this.#options;
		const isLower = share < this.#grant.share;
		if (share === this.#grant.share && now() - this.#grant.sentAt < grantInterval) {
			return;
		}

		this.#grant = {number: this.#grant.number + 1, share, sentAt: now()};
		clusterState.rollouts.applyGrant(this.request.service, {
			requestId: this.request.id, term, number: this.#grant.number, share,
		}, now());
		if (isLower) {
			gossip.broadcastState();
		} else {
			gossip.recordTotalsChanged('all');
		}
	}

	#recordVerdict(known: KnownRollout, {state, step, reason}: RolloutVerdict, beganAt: Milliseconds | undefined): void {
		const {log, metrics, term} = this.#options;
		const {service, target} = this.request;
		if (reason !== this.#reason) {
			this.#reason = reason;
			const {requests, answers} = this.#decision!;
			log.info('rollout-decision', {
				service, target, state, step, reason, elapsed: Math.round(this.#elapsed()), requests: requests.all, targetRequests: requests.target, answers: answers.answers, badAnswers: answers.bad,
			});
		}

		const written = known.progress;
		const isWritten = written?.state === state && written.step === step && written.term === term && written.beganAt === beganAt;
		if (isWritten || this.#isCalling) {
			return;
		}

		const progress = this.#unwritten ?? {
			requestId: this.request.id,
			requestRevision: known.requestRevision,
			service,
			target,
			state,
			step,
			beganAt,
			elapsed: this.#elapsed(),
			term,
			barred: this.#barred,
			retired: state === 'completed' ? [...this.#baselineVersions] : [],
		};
		metrics.incrementCounter('rollout_steps', {service, state});
		void this.#write(progress);
	}

	/** @returns Whether the record was written; if that is not known, the same record is written again. */
	async #write(progress: RolloutProgress): Promise<boolean> {
		const {record, clusterState, log} = this.#options;
		this.#isCalling = true;
		this.#unwritten = progress;
		const written = await record.write(progress, this.#stored!);
		this.#isCalling = false;
		if (written.isErr) {
			log.info('rollout-write-failed', {
				service: progress.service, state: progress.state, step: progress.step, reason: describeError(written.error),
			});
			return false;
		}

		if (written.value === undefined) {
			return this.#resolveConflict(progress);
		}

		this.#accept(progress, written.value, written.value);
		clusterState.apply({changes: [{type: 'rollout-progress', revision: written.value, progress}], revision: 0}, false, 'own decision');
		return true;
	}

	// Only this host writes under its term: an earlier call whose response was lost, or one of which the store gave each key a revision of its own.
	async #resolveConflict(progress: RolloutProgress): Promise<boolean> {
		const {record, clusterState, log, term} = this.#options;
		this.#isCalling = true;
		const stored = await record.read(progress.service);
		this.#isCalling = false;
		if (stored.isErr) {
			return false;
		}

		const {progress: found, recordRevision, statusRevision} = stored.value;
		if (found?.term !== term || found.requestId !== progress.requestId) {
			const isOwnClaim = this.#decision === undefined;
			log.info('rollout-taken-over', {service: progress.service, term, by: found?.term});
			// Before the claim, the record of an earlier term may have been written meanwhile; the claim is repeated.
			this.#hasEnded = !isOwnClaim || (found?.term ?? 0) > term;
			return false;
		}

		this.#stored = {recordRevision, statusRevision};
		if (JSON.stringify(found) !== JSON.stringify(progress)) {
			return false;
		}

		this.#accept(progress, recordRevision, statusRevision);
		clusterState.apply({changes: [{type: 'rollout-progress', revision: recordRevision, progress}], revision: 0}, false, 'own decision');
		return true;
	}

	#accept(progress: RolloutProgress, recordRevision: number, statusRevision: number): void {
		this.#stored = {recordRevision, statusRevision};
		this.#unwritten = undefined;
		this.#hasEnded ||= progress.state !== 'running';
	}

	#elapsed(): Milliseconds {
		return this.#elapsedAtClaim + this.#options.now() - this.#claimedAt;
	}
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
