import * as v from 'valibot';

const answerSchema = v.object({
	status: v.number(),
	contentType: v.string(),
	bodyBase64: v.string(),
});

/** A claim of an idempotency key, as the store keeps it. */
export const claimSchema = v.object({
	claimId: v.string(),
	claimer: v.string(),
	bodyHash: v.string(),
	state: v.picklist(['claimed', 'answered', 'not-run']),
	answer: v.optional(answerSchema),
});

export type Claim = Readonly<v.InferOutput<typeof claimSchema>>;
export type KeptAnswer = Readonly<v.InferOutput<typeof answerSchema>>;

/** What to do with a request after its claim was looked up. */
export type ClaimDecision
	= | {readonly type: 'run'}
		| {readonly type: 'replay'; readonly answer: KeptAnswer}
		| {readonly type: 'take-over'}
		| {readonly type: 'ask-claimer'; readonly claimer: string; readonly claimId: string}
		| {readonly type: 'mismatch'};

/**
 * Judges a claim found in the store against a request.
 *
 * @param found - The stored claim.
 * @param own - The claim that this host tried to write.
 * @returns What may be done: only `run` and a successful `take-over` lead to a dispatch.
 */
export function judgeClaim(found: Claim, own: Claim): ClaimDecision {
	if (found.bodyHash !== own.bodyHash) {
		return {type: 'mismatch'};
	}

	if (found.state === 'answered' && found.answer !== undefined) {
		return {type: 'replay', answer: found.answer};
	}

	if (found.state === 'not-run') {
		return {type: 'take-over'};
	}

	// The write took effect although its answer was lost.
	if (found.claimId === own.claimId) {
		return {type: 'run'};
	}

	return {type: 'ask-claimer', claimer: found.claimer, claimId: found.claimId};
}
