import type {Milliseconds} from '@lacewingpoint/shared';

/** A request of the operators to move the traffic of a service to servers of another software version. */
export type RolloutRequest = {
	/** Tells requests apart, also when a restored store assigns a revision again. */
	readonly id: string;
	readonly service: string;
	/** The software version to move to. */
	readonly target: string;
	/** How long the rollout may take, counted from the request. */
	readonly timeBudget: Milliseconds;
};

/** How far a rollout has got: `completed` and `reverted` are final. */
export type RolloutState = 'running' | 'completed' | 'reverted';

/** What the decider of a rollout records in the store for the hosts and for its successors. */
export type RolloutProgress = {
	readonly requestId: string;
	/** Store revision of the request. A request with a higher one replaces it. */
	readonly requestRevision: number;
	readonly service: string;
	readonly target: string;
	readonly state: RolloutState;
	/** Index of the step that has been reached; steps only rise. */
	readonly step: number;
	/** Time from the request until servers of the target version were there; absent before. */
	readonly beganAt?: Milliseconds | undefined;
	/** Time from the request until this record was written. */
	readonly elapsed: Milliseconds;
	/** Term of the lease under which the record was written. */
	readonly term: number;
	/** Versions that get no requests because a rollout to them was reverted or replaced before it was judged. */
	readonly barred: readonly string[];
	/** Versions that a completed rollout has replaced. */
	readonly retired: readonly string[];
};

/** Permission of the decider to send a share of the requests to the target version; the one of the latest term and number counts. */
export type RolloutGrant = {readonly requestId: string; readonly term: number; readonly number: number; readonly share: number};

/** Which servers a request went to: those of the target version, or the others. */
export type VersionSide = 'target' | 'baseline';

/** Requests of one route to one side that had the same outcome. */
export type AnswerCount = {
	readonly route: string;
	readonly side: VersionSide;
	/** Code made by `encodeOutcome`. */
	readonly outcome: number;
	readonly count: number;
};

/** How an attempt ended, as far as it tells something of the server's version. */
export type AnswerOutcome
	= | {readonly type: 'sent' | 'failed'}
		/** `took` is the time until the end of the response, or until it was given up (`isCutShort`). */
		| {readonly type: 'answered'; readonly took: Milliseconds; readonly isCutShort: boolean};

const sentCode = 0;
const failedCode = 1;
const firstTimeCode = 2;
const firstCutShortCode = 100;

/** Ratio of the bounds of a class of response times. */
const timeClassRatio = 1.25;

const lastTimeClass = 50;

/**
 * Encodes an outcome for messages between hosts.
 *
 * @param outcome - How an attempt ended.
 * @returns A small integer; response times are rounded to classes of a quarter each.
 */
export function encodeOutcome(outcome: AnswerOutcome): number {
	if (outcome.type !== 'answered') {
		return outcome.type === 'sent' ? sentCode : failedCode;
	}

	return (outcome.isCutShort ? firstCutShortCode : firstTimeCode) + timeClass(outcome.took);
}

/** An outcome as it was counted: `timeClass` rises by 1 with each quarter of the response time. */
export type DecodedOutcome
	= | {readonly type: 'sent'}
		| {readonly type: 'failed'}
		| {readonly type: 'answered' | 'cut-short'; readonly timeClass: number};

/**
 * Decodes an outcome.
 *
 * @param code - A code made by `encodeOutcome`.
 * @returns The outcome.
 */
export function decodeOutcome(code: number): DecodedOutcome {
	if (code === sentCode) {
		return {type: 'sent'};
	}

	if (code === failedCode) {
		return {type: 'failed'};
	}

	return code >= firstCutShortCode ? {type: 'cut-short', timeClass: code - firstCutShortCode} : {type: 'answered', timeClass: code - firstTimeCode};
}

function timeClass(time: Milliseconds): number {
	return Math.min(Math.max(Math.floor(Math.log(Math.max(time, 1)) / Math.log(timeClassRatio)), 0), lastTimeClass);
}
