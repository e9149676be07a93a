import {
	type Claim, type KeptAnswer, judgeClaim,
} from '@lacewingpoint/coordination';
import type {Logger, Milliseconds} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {type ClaimStore, type ClaimWrite, claimKey} from './claim-store.js';
import type {PeerLinks} from './peer-links.js';
import {type Refusal, mayHaveRun, notRun} from './router-error.js';

/** A claim that this host holds and may dispatch under, once. */
export type HeldClaim = {readonly key: string; readonly claim: Claim; readonly revision: number};

/** How a claim went. */
export type ClaimResult
	= | {readonly type: 'held'; readonly held: HeldClaim}
		| {readonly type: 'replay'; readonly answer: KeptAnswer};

export type ClaimServiceOptions = {
	/** This host and its incarnation, as `host/incarnation`. */
	readonly claimer: string;
	/** How long to wait between attempts to keep an answer while the store is out. */
	readonly keepPause: Milliseconds;
	readonly keepAttempts: number;
};

type ClaimFate = 'pending' | 'dispatched' | 'never-dispatched';

const claimsUnavailable = 'the store that keeps claims does not answer';
const retryAfterOutage: Milliseconds = 2000;
const retryAfterInProgress: Milliseconds = 1000;
const rememberedFates = 10_000;

/** Claims idempotency keys, so that a request runs at most once over all hosts. */
export class ClaimService {
	readonly #store: ClaimStore;
	readonly #links: Pick<PeerLinks, 'peer'>;
	readonly #logger: Logger;
	readonly #options: ClaimServiceOptions;
	readonly #fates = new Map<string, ClaimFate>();

	constructor(store: ClaimStore, links: Pick<PeerLinks, 'peer'>, logger: Logger, options: ClaimServiceOptions) {
		this.#store = store;
		this.#links = links;
		this.#logger = logger;
		this.#options = options;
	}

	/**
	 * Claims a key before its request is dispatched.
	 *
	 * @param workspace - The workspace.
	 * @param idempotencyKey - The caller's idempotency key.
	 * @param bodyHash - Tells the request apart from others under the same key.
	 * @param claimId - A new id for this attempt.
	 * @returns The held claim, the kept answer of an earlier run, or a refusal.
	 */
	async claim(workspace: string, idempotencyKey: string, bodyHash: string, claimId: string): Promise<Result<ClaimResult, Refusal>> {
		const key = claimKey(workspace, idempotencyKey);
		const claim: Claim = {
			claimId, claimer: this.#options.claimer, bodyHash, state: 'claimed',
		};
		this.#remember(claimId, 'pending');
		const result = await this.#take(key, claim);
		if (result.isErr || result.value.type === 'replay') {
			this.#fates.set(claimId, 'never-dispatched');
		}

		return result;
	}

	/**
	 * Marks a held claim as dispatched; to be called in the same step as the dispatch.
	 *
	 * @param held - The claim.
	 */
	noteDispatched(held: HeldClaim): void {
		this.#fates.set(held.claim.claimId, 'dispatched');
	}

	/**
	 * Keeps the answer with the claim, for a resend. The caller does not wait for it.
	 *
	 * @param held - The claim.
	 * @param answer - The answer; without one only the fact is kept.
	 */
	async keep(held: HeldClaim, answer: KeptAnswer | undefined): Promise<void> {
		const claim: Claim = {...held.claim, state: 'answered', answer};
		for (let attempt = 0; attempt < this.#options.keepAttempts; attempt++) {
			const written = await this.#store.write(held.key, claim, held.revision);
			if (written.isOk) {
				return;
			}

			await new Promise(resolve => {
				setTimeout(resolve, this.#options.keepPause);
			});
		}

		this.#logger.warn('answer-not-kept', {claim: held.claim.claimId});
	}

	/**
	 * Marks a claim whose request certainly did not run, before anyone is told so.
	 *
	 * @param held - The claim.
	 * @returns True when the mark is in the store; otherwise the outcome is to be called unknown.
	 */
	async release(held: HeldClaim): Promise<boolean> {
		this.#fates.set(held.claim.claimId, 'never-dispatched');
		const written = await this.#store.write(held.key, {...held.claim, state: 'not-run'}, held.revision);
		return written.isOk && written.value.type === 'written';
	}

	/**
	 * Tells a peer what became of a claim of this host.
	 *
	 * @param claimId - The claim.
	 * @returns `never-dispatched` only when no dispatch has happened and none can happen any more.
	 */
	outcomeOf(claimId: string): 'never-dispatched' | 'unknown' {
		return this.#fates.get(claimId) === 'never-dispatched' ? 'never-dispatched' : 'unknown';
	}

	async #take(key: string, claim: Claim): Promise<Result<ClaimResult, Refusal>> {
		const written = await this.#store.write(key, claim, 0);
		if (written.isOk) {
			return this.#judge(key, claim, written.value);
		}

		// The write may have taken effect although its answer was lost: read it back, and write again if it did not.
		const readBack = await this.#store.read(key);
		const settled = readBack.isOk && readBack.value.type === 'absent' ? await this.#store.write(key, claim, 0) : readBack;
		return settled.isOk
			? this.#judge(key, claim, settled.value)
			: Result.err(notRun('claims-unavailable', claimsUnavailable, retryAfterOutage));
	}

	async #judge(key: string, claim: Claim, write: ClaimWrite): Promise<Result<ClaimResult, Refusal>> {
		if (write.type === 'written') {
			return Result.ok({type: 'held', held: {key, claim, revision: write.revision}});
		}

		if (write.type === 'absent') {
			return Result.err(notRun('claims-unavailable', claimsUnavailable, retryAfterOutage));
		}

		const decision = judgeClaim(write.claim, claim);
		switch (decision.type) {
			case 'run': {
				return Result.ok({type: 'held', held: {key, claim, revision: write.revision}});
			}

			case 'replay': {
				return Result.ok(decision);
			}

			case 'mismatch': {
				return Result.err(notRun('idempotency-key-reused', 'this idempotency key was used with another request'));
			}

			case 'take-over': {
				return this.#takeOver(key, claim, write.revision);
			}

			case 'ask-claimer': {
				return this.#askClaimer(key, claim, write);
			}
		}
	}

	async #takeOver(key: string, claim: Claim, revision: number): Promise<Result<ClaimResult, Refusal>> {
		const written = await this.#store.write(key, claim, revision);
		if (written.isOk && written.value.type === 'written') {
			return Result.ok({type: 'held', held: {key, claim, revision: written.value.revision}});
		}

		if (written.isOk) {
			return Result.err(mayHaveRun('in-progress', 'the same request is being served elsewhere', undefined, retryAfterInProgress));
		}

		const readBack = await this.#store.read(key);
		const isOwn = readBack.isOk && readBack.value.type === 'found' && readBack.value.claim.claimId === claim.claimId;
		return isOwn && readBack.value.type === 'found'
			? Result.ok({type: 'held', held: {key, claim, revision: readBack.value.revision}})
			: Result.err(notRun('claims-unavailable', claimsUnavailable, retryAfterOutage));
	}

	async #askClaimer(key: string, claim: Claim, found: Extract<ClaimWrite, {type: 'found'}>): Promise<Result<ClaimResult, Refusal>> {
		if (found.claim.state === 'answered') {
			return Result.err(mayHaveRun('answer-not-kept', 'the request has run, but its answer was too large to keep'));
		}

		const outcome = await this.#fateElsewhere(found.claim);
		return outcome === 'never-dispatched'
			? this.#takeOver(key, claim, found.revision)
			: Result.err(mayHaveRun('outcome-unknown', 'an earlier request with this key is running or may have run', undefined, retryAfterInProgress));
	}

	async #fateElsewhere(claim: Claim): Promise<'never-dispatched' | 'unknown'> {
		if (claim.claimer === this.#options.claimer) {
			return this.outcomeOf(claim.claimId);
		}

		const [host = ''] = claim.claimer.split('/');
		const reply = await this.#links.peer(host)?.claimOutcome({claimId: claim.claimId});
		return reply?.isOk === true ? reply.value.outcome : 'unknown';
	}

	#remember(claimId: string, fate: ClaimFate): void {
		this.#fates.set(claimId, fate);
		if (this.#fates.size > rememberedFates) {
			this.#fates.delete(this.#fates.keys().next().value!);
		}
	}
}
