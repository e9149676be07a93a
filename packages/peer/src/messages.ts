import {epochSchema, registerSchema} from '@lacewingpoint/coordination';
import * as v from 'valibot';

const agesSchema = v.object({
	store: v.optional(v.number()),
	epoch: v.number(),
	ages: v.string(),
	exceptions: v.array(v.object({index: v.number(), epoch: v.number(), isLeaving: v.optional(v.boolean())})),
});

const suspectSchema = v.object({
	fingerprint: v.number(),
	server: v.string(),
	incarnation: v.string(),
	failureDomain: v.string(),
	age: v.number(),
});

export const exchangeRequestSchema = v.object({
	from: v.string(),
	incarnation: v.number(),
	/** The cursor that the answering host gave last, with the incarnation it gave it in. */
	cursor: v.number(),
	cursorIncarnation: v.number(),
	epoch: v.number(),
});

export const exchangeReplySchema = v.object({
	from: v.string(),
	incarnation: v.number(),
	cursor: v.number(),
	registers: v.array(registerSchema),
	/** Left out when the asking host holds it already. */
	epoch: v.optional(epochSchema),
	/** Left out until the answering host knows a membership. */
	ages: v.optional(agesSchema),
	suspects: v.array(suspectSchema),
});

export const creditRequestSchema = v.object({from: v.string(), workspace: v.string(), amount: v.number()});

export const creditReplySchema = v.object({amount: v.number(), left: v.number()});

export const claimQuestionSchema = v.object({claimId: v.string()});

export const claimReplySchema = v.object({outcome: v.picklist(['never-dispatched', 'unknown'])});

export const prefixReplySchema = v.object({
	snapshots: v.array(v.object({
		server: v.string(),
		incarnation: v.string(),
		weightsVersion: v.string(),
		blocks: v.array(v.number()),
	})),
});

export type ExchangeRequest = Readonly<v.InferOutput<typeof exchangeRequestSchema>>;
export type ExchangeReply = Readonly<v.InferOutput<typeof exchangeReplySchema>>;
export type CreditRequest = Readonly<v.InferOutput<typeof creditRequestSchema>>;
export type CreditReply = Readonly<v.InferOutput<typeof creditReplySchema>>;
export type ClaimQuestion = Readonly<v.InferOutput<typeof claimQuestionSchema>>;
export type ClaimReply = Readonly<v.InferOutput<typeof claimReplySchema>>;
export type PrefixReply = Readonly<v.InferOutput<typeof prefixReplySchema>>;
