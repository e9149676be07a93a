import {type Milliseconds, hashText} from '@lacewingpoint/shared';
import type {
	AnswerCount, RolloutGrant, RolloutProgress, RolloutRequest, VersionSide,
} from './rollout.js';

/** What a host knows of the rollout of one service. */
export type KnownRollout = {
	readonly request: RolloutRequest;
	readonly requestRevision: number;
	/** Monotonic time of the request, as far as this host knows. */
	readonly requestedAt: Milliseconds;
	readonly progress: RolloutProgress | undefined;
	readonly progressRevision: number;
	/** Versions that get no requests: see `RolloutProgress.barred`. */
	readonly barred: readonly string[];
};

type ReceivedGrant = {readonly grant: RolloutGrant; readonly givenAt: Milliseconds};

/** A request that is to be sent, as far as rollouts depend on it. */
export type RolloutTraffic = {
	/** Id of the request, which draws its side. */
	readonly requestId: string;
	/** The version at which a stream has to go on. */
	readonly requiredVersion: string | undefined;
	/** Whether a server of the target version was tried already. */
	readonly hasTriedTarget: boolean;
	/** @returns Whether a server whose version meets a condition is listed and not draining. */
	hasServer(condition: (version: string) => boolean): boolean;
};

const hashRange = 2 ** 32;

function rankProgress(progress: RolloutProgress | undefined): number {
	if (progress === undefined) {
		return -1;
	}

	return progress.state === 'running' ? progress.step : Number.POSITIVE_INFINITY;
}

function isRunning({progress}: KnownRollout): boolean {
	return progress === undefined || progress.state === 'running';
}

/**
 * What a host knows of the rollouts of all services. Requests of the operators are ordered by their store revision; progress never goes
 * back. A share of the requests for the target version is in force only while its grant is renewed.
 */
export class RolloutTable {
	readonly #grantLifetime: Milliseconds;
	readonly #rollouts = new Map<string, KnownRollout>();
	readonly #grants = new Map<string, ReceivedGrant>();
	/** By service and peer, the grant that the peer was told of last. */
	readonly #toldGrants = new Map<string, Map<string, RolloutGrant>>();
	/** Answers by service and key, of this host and its members, and of all hosts. */
	readonly #groupAnswers = new Map<string, Map<string, AnswerCount>>();
	readonly #allAnswers = new Map<string, Map<string, AnswerCount>>();
	/** By service and peer, the counts of each key that the peer has got. */
	readonly #sentToPeers = new Map<string, Map<string, Map<string, number>>>();

	#firstTaken = 0;

	/**
	 * @param grantLifetime - How long a grant is in force after it was given.
	 */
	constructor(grantLifetime: Milliseconds) {
		this.#grantLifetime = grantLifetime;
	}

	/**
	 * Applies a request of the operators.
	 *
	 * @param request - The request.
	 * @param revision - Store revision of the request.
	 * @param requestedAt - Monotonic time at which it was made, as far as known.
	 * @returns Whether it is new; a request with a lower revision than a known one is ignored.
	 */
	applyRequest(request: RolloutRequest, revision: number, requestedAt: Milliseconds): boolean {
		const known = this.#rollouts.get(request.service);
		if (known !== undefined && revision <= known.requestRevision) {
			return false;
		}

		if (known?.request.id === request.id) {
			// The store was restored from a copy.
			this.#rollouts.set(request.service, {...known, requestRevision: revision});
			return false;
		}

		const isUnjudged = known !== undefined && known.progress?.state !== 'completed';
		const barred = [...known?.barred ?? [], ...(isUnjudged ? [known.request.target] : [])].filter(version => version !== request.target);
		this.#rollouts.set(request.service, {
			request, requestRevision: revision, requestedAt, progress: undefined, progressRevision: known?.progressRevision ?? 0, barred: [...new Set(barred)],
		});
		this.#forgetCourse(request.service);
		return true;
	}

	/**
	 * Applies what a decider has recorded.
	 *
	 * @param progress - The record.
	 * @param revision - Its store revision.
	 * @returns Whether the known progress has changed.
	 */
	applyProgress(progress: RolloutProgress, revision: number): boolean {
		const known = this.#rollouts.get(progress.service) ?? this.#recallRequest(progress, revision);
		if (known?.request.id !== progress.requestId) {
			// Kept versions of an earlier rollout stay barred, also for a host that was not there.
			if (known !== undefined && known.requestRevision > progress.requestRevision) {
				const unjudged = progress.state === 'completed' ? [] : [progress.target];
				const barred = [...new Set([...known.barred, ...progress.barred, ...unjudged])].filter(version => version !== known.request.target);
				this.#rollouts.set(progress.service, {...known, barred, progressRevision: Math.max(revision, known.progressRevision)});
				return barred.length !== known.barred.length;
			}

			return false;
		}

		const isNewer = revision > known.progressRevision;
		const isAhead = rankProgress(progress) > rankProgress(known.progress);
		if (!isNewer && !isAhead) {
			return false;
		}

		const applies = rankProgress(progress) >= rankProgress(known.progress);
		this.#rollouts.set(progress.service, {
			...known,
			...(applies ? {progress, barred: [...new Set([...known.barred, ...progress.barred])].filter(version => version !== known.request.target)} : {}),
			progressRevision: Math.max(revision, known.progressRevision),
		});
		if (progress.state !== 'running') {
			this.#forgetCourse(progress.service);
		}

		return isAhead;
	}

	/**
	 * Applies a grant.
	 *
	 * @param service - Name of the service.
	 * @param grant - The grant.
	 * @param givenAt - Monotonic time at which the decider gave it, as far as known.
	 * @returns Whether it is newer than the known one, so that peers are to be told.
	 */
	applyGrant(service: string, grant: RolloutGrant, givenAt: Milliseconds): boolean {
		const known = this.#grants.get(service)?.grant;
		const rollout = this.#rollouts.get(service);
		if (rollout?.request.id !== grant.requestId || !isRunning(rollout)) {
			return false;
		}

		if (known !== undefined && (grant.term < known.term || (grant.term === known.term && grant.number <= known.number))) {
			return false;
		}

		this.#grants.set(service, {grant, givenAt});
		return true;
	}

	/** @returns The known rollouts by service. */
	list(): ReadonlyMap<string, KnownRollout> {
		return this.#rollouts;
	}

	/** @returns The rollouts without a verdict, beginning with another one at each call, so that limits of messages hold none of them back for good. */
	takeRunning(): readonly KnownRollout[] {
		const running = [...this.#rollouts.values()].filter(rollout => isRunning(rollout));
		const first = this.#firstTaken++ % Math.max(running.length, 1);
		return [...running.slice(first), ...running.slice(0, first)];
	}

	/**
	 * Takes the latest grant, unless the peer was told of it.
	 *
	 * @param service - Name of the service.
	 * @param peer - Name and incarnation of the peer.
	 * @param now - Current monotonic time.
	 * @returns The grant and its age; `undefined` if none in force is new to the peer. The loss of a message is made up for by the next grant.
	 */
	takeGrant(service: string, peer: string, now: Milliseconds): (RolloutGrant & {readonly age: Milliseconds}) | undefined {
		const received = this.#grants.get(service);
		const told = this.#toldGrants.get(service) ?? new Map<string, RolloutGrant>();
		this.#toldGrants.set(service, told);
		if (received === undefined || !this.#isInForce(received, now) || told.get(peer) === received.grant) {
			return undefined;
		}

		told.set(peer, received.grant);
		return {...received.grant, age: now - received.givenAt};
	}

	/**
	 * Returns the share of the requests that may go to the target version.
	 *
	 * @param service - Name of the service.
	 * @param now - Current monotonic time.
	 * @returns The share; 0 without a grant in force; `undefined` if there is no rollout.
	 */
	share(service: string, now: Milliseconds): number | undefined {
		const rollout = this.#rollouts.get(service);
		if (rollout === undefined) {
			return undefined;
		}

		if (rollout.progress?.state === 'completed' || rollout.progress?.state === 'reverted') {
			return rollout.progress.state === 'completed' ? 1 : 0;
		}

		const received = this.#grants.get(service);
		return received !== undefined && this.#isInForce(received, now) ? received.grant.share : 0;
	}

	/**
	 * Tells on which side of a rollout a server is.
	 *
	 * @param service - Name of the service.
	 * @param version - Software version of the server.
	 * @returns The side; `undefined` if no rollout is running.
	 */
	side(service: string, version: string | undefined): VersionSide | undefined {
		const rollout = this.#rollouts.get(service);
		if (rollout === undefined || !isRunning(rollout)) {
			return undefined;
		}

		return (version ?? '') === rollout.request.target ? 'target' : 'baseline';
	}

	/**
	 * Tells whether servers of a version may get a request.
	 *
	 * @param service - Name of the service.
	 * @param version - Software version of the server.
	 * @param traffic - The request.
	 * @param now - Current monotonic time.
	 * @returns False if the rollout or the end of an earlier one forbids it.
	 */
	permits(service: string, version: string | undefined, traffic: RolloutTraffic, now: Milliseconds): boolean {
		const rollout = this.#rollouts.get(service);
		if (rollout === undefined) {
			return true;
		}

		const name = version ?? '';
		const {request: {target}, progress, barred} = rollout;
		if (barred.includes(name)) {
			return false;
		}

		if (progress?.state === 'reverted') {
			return name !== target;
		}

		if (progress?.state === 'completed') {
			const isCurrent = (other: string) => !progress.retired.includes(other) && !barred.includes(other);
			return isCurrent(name) || traffic.requiredVersion === name || !traffic.hasServer(other => isCurrent(other));
		}

		const share = this.share(service, now)!;
		if (traffic.requiredVersion !== undefined) {
			return name !== target || share > 0;
		}

		const isDrawn = hashText(traffic.requestId, hashText(rollout.request.id)) / hashRange < share && (share === 1 || !traffic.hasTriedTarget);
		// Without servers on the other side, a request is served by those that there are; with a share of all, running ones have to end.
		const usesTarget = isDrawn ? share === 1 || traffic.hasServer(other => other === target) : !traffic.hasServer(other => other !== target && !barred.includes(other));
		return usesTarget === (name === target);
	}

	/**
	 * Counts what became of a request of this host.
	 *
	 * @param service - Name of the service.
	 * @param answer - The outcome, for a server on the given side.
	 */
	recordAnswer(service: string, answer: AnswerCount): void {
		this.#addAnswers(service, [answer], true);
	}

	/**
	 * Merges the answers that a peer has counted since its last message.
	 *
	 * @param service - Name of the service.
	 * @param requestId - Id of the rollout's request.
	 * @param answers - The answers.
	 * @param isMember - Whether the peer is a member of this relay, which passes its answers on to other relays.
	 */
	mergeAnswers(service: string, requestId: string, answers: readonly AnswerCount[], isMember: boolean): void {
		const rollout = this.#rollouts.get(service);
		if (rollout?.request.id === requestId && isRunning(rollout)) {
			this.#addAnswers(service, answers, isMember);
		}
	}

	/**
	 * Returns the answers of all hosts since this host knows of the rollout.
	 *
	 * @param service - Name of the service.
	 * @returns The totals by route, side and outcome.
	 */
	totals(service: string): readonly AnswerCount[] {
		return [...this.#allAnswers.get(service)?.values() ?? []];
	}

	/**
	 * Takes the answers that were not yet sent to a peer.
	 *
	 * @param service - Name of the service.
	 * @param peer - Name and incarnation of the peer.
	 * @param limit - The largest number of entries; the others are sent with later messages.
	 * @returns The answers since the last call; none at the first one, as others may have told the peer of the earlier ones.
	 */
	takeAnswers(service: string, peer: string, limit: number): AnswerCount[] {
		const sentOfService = this.#sentToPeers.get(service) ?? new Map<string, Map<string, number>>();
		this.#sentToPeers.set(service, sentOfService);
		const group = this.#groupAnswers.get(service) ?? new Map<string, AnswerCount>();
		const sent = sentOfService.get(peer);
		if (sent === undefined) {
			sentOfService.set(peer, new Map([...group].map(([name, {count}]) => [name, count])));
			return [];
		}

		const changed = [...group].filter(([name, {count}]) => count !== (sent.get(name) ?? 0)).slice(0, limit);
		return changed.map(([name, answer]) => {
			const before = sent.get(name) ?? 0;
			sent.set(name, answer.count);
			return {...answer, count: answer.count - before};
		});
	}

	#forgetCourse(service: string): void {
		for (const records of [this.#grants, this.#toldGrants, this.#groupAnswers, this.#allAnswers, this.#sentToPeers]) {
			records.delete(service);
		}
	}

	#isInForce({givenAt}: ReceivedGrant, now: Milliseconds): boolean {
		return now - givenAt <= this.#grantLifetime;
	}

	// The request may have been deleted since; what it has led to remains in force.
	#recallRequest({requestId, requestRevision, service, target, state, barred}: RolloutProgress, revision: number): KnownRollout | undefined {
		if (state === 'running') {
			return undefined;
		}

		const recalled: KnownRollout = {
			request: {
				id: requestId, service, target, timeBudget: 0,
			}, requestRevision, requestedAt: 0, progress: undefined, progressRevision: revision, barred,
		};
		this.#rollouts.set(service, recalled);
		return recalled;
	}

	#addAnswers(service: string, answers: readonly AnswerCount[], isGroup: boolean): void {
		for (const answer of answers) {
			for (const answersOf of isGroup ? [this.#groupAnswers, this.#allAnswers] : [this.#allAnswers]) {
				const totals = answersOf.get(service) ?? new Map<string, AnswerCount>();
				answersOf.set(service, totals);
				const key = JSON.stringify([answer.route, answer.side, answer.outcome]);
				totals.set(key, {...answer, count: answer.count + (totals.get(key)?.count ?? 0)});
			}
		}
	}
}
