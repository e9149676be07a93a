import {type RequestLoad, estimateMemoryTokens} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {Exchange} from './backend-connection-pool.js';
import type {ChosenServer} from './dispatcher.js';
import type {ResponseHead, ClientRequest} from './ports.js';

/** One send of a request to one server. */
export type Attempt = {
	readonly chosen: ChosenServer;
	readonly sentAt: Milliseconds;
	load: RequestLoad;
	exchange: Exchange | undefined;
	head: ResponseHead | undefined;
	status: number;
	isFinished: boolean;
	hasFirstByte: boolean;
	/** How the end of the answer is told. */
	framing: 'length' | 'chunks' | 'close' | undefined;
};

/** What the log tells of one send. */
export type AttemptRecord = Readonly<Record<string, unknown>>;

/**
 * Begins an attempt.
 *
 * @param chosen - The server.
 * @param request - The request.
 * @param now - The present moment.
 * @returns The attempt, not sent yet.
 */
export function createAttempt(chosen: ChosenServer, request: ClientRequest, now: Milliseconds): Attempt {
	return {
		chosen,
		sentAt: now,
		load: {
			prefillTokens: chosen.engine?.uncachedTokens ?? 0,
			memoryTokens: chosen.engine === undefined ? 0 : estimateMemoryTokens(request.generation!),
		},
		exchange: undefined,
		head: undefined,
		status: 0,
		isFinished: false,
		hasFirstByte: false,
		framing: undefined,
	};
}

/**
 * Describes an attempt for the log: what decided it, and how it ended.
 *
 * @param attempt - The attempt.
 * @param receivedAt - When its request came.
 * @param outcome - How it ended.
 * @returns The record.
 */
export function describeAttempt(attempt: Attempt, receivedAt: Milliseconds, outcome: {readonly result: string; readonly endedAt: Milliseconds}): AttemptRecord {
	const {entry, engine} = attempt.chosen;
	return {
		server: entry.id,
		predicted: roundTime(engine?.predictedTimeToFirstToken),
		cost: roundTime(engine?.cost),
		nextBest: roundTime(engine?.nextBestCost),
		cached: engine?.cachedTokens,
		fetched: engine?.fetchedTokens,
		unread: engine?.uncachedTokens,
		from: engine?.fetchFrom,
		weights: engine?.weightsVersion,
		at: roundTime(attempt.sentAt - receivedAt),
		result: outcome.result,
		took: roundTime(outcome.endedAt - attempt.sentAt),
		status: attempt.status,
		framing: attempt.framing,
	};
}

/**
 * Tells how the end of an answer is told.
 *
 * @param headers - The answer's headers.
 * @returns By its length, by chunks or by the end of the connection.
 */
export function responseFraming(headers: Readonly<Record<string, string | string[] | undefined>>): Attempt['framing'] {
	if (headers['transfer-encoding'] !== undefined) {
		return 'chunks';
	}

	return headers['content-length'] === undefined ? 'close' : 'length';
}

/**
 * Rounds a time for the log.
 *
 * @param time - The time.
 * @returns It, to a tenth of a millisecond.
 */
export function roundTime(time: Milliseconds | undefined): Milliseconds | undefined {
	return time === undefined ? undefined : Math.round(time * 10) / 10;
}
