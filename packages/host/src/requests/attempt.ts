import {type RequestLoad, estimateMemoryTokens} from '@lacewingpoint/routing';
import type {Bytes, Milliseconds, Tokens} from '@lacewingpoint/shared';
import type {ClientRequest, ResponseHead} from '../ports.js';
import type {ChosenServer} from '../placement/placement-request.js';
import type {Exchange} from './backend-connection-pool.js';
import type {ResetCheck} from './socket-state.js';

/** Called when an attempt has ended. */
export type AttemptListener = {
	/** The response was forwarded completely. */
	onAnswered(status: number): void;
	/** Another attempt is to be made. */
	onRetry(): void;
	/** @returns Another server for a second try beside the running one; `undefined` if none has room. */
	chooseSecondServer(): ChosenServer | undefined;
	/** A server could not be reached; the request was not sent. */
	onUnreachable(): void;
	/** No other attempt is allowed. */
	onExhausted(reason: string, retryAfter: Milliseconds | undefined): void;
};

/** One attempt to have a request executed by a server. */
export type Attempt = {
	readonly chosen: ChosenServer;
	readonly sentAt: Milliseconds;
	load: RequestLoad;
	/** Whether it was written to a connection, or is about to be once one is open. */
	isSent: boolean;
	exchange: Exchange | undefined;
	head: ResponseHead | undefined;
	/** Status of the response; 0 until its head arrives. */
	status: number;
	isFinished: boolean;
	/** Whether the server could not be reached, so that the attempt tells nothing of its software. */
	isUnreachable: boolean;
	hasFirstByte: boolean;
	/** When the response body began; `undefined` before its first byte. */
	firstDataAt: Milliseconds | undefined;
	/** Whether the server has survived the beginning of its response. */
	hasSurvivedResponse: boolean;
	/** When the response last made progress; `undefined` before its first byte. */
	lastDataAt: Milliseconds | undefined;
	/** The longest time between two pieces of the response. */
	longestPause: Milliseconds;
	/** Uncached prompt tokens that the server had to prefill for others during the longest pause, as far as this host knows. */
	pauseBacklog: Tokens;
	/** How the end of the response body is marked; `undefined` unless the head of this response was forwarded. */
	framing: 'length' | 'chunks' | 'close' | undefined;
	/** Whether the response consists of server-sent events. */
	isEventStream: boolean;
	/** What is known of a reset at the end of a close-delimited response; `undefined` for other responses. */
	resetCheck: ResetCheck | undefined;
	/** Size of the incomplete event at the end of a stream. */
	partialEventBytes: Bytes;
	/** How long the server had sent nothing to this host when the attempt was given up, in any response; 0 unless it was. */
	silentTime: Milliseconds;
};

/** The entry of an attempt in the log event `request`. */
export type AttemptRecord = Readonly<Record<string, unknown>>;

/**
 * Creates an attempt.
 *
 * @param chosen - The server and, for a generation, the placement on its engine.
 * @param request - The client's request.
 * @param now - Current monotonic time.
 * @returns The attempt, which has not been sent yet.
 */
export function createAttempt(chosen: ChosenServer, request: ClientRequest, now: Milliseconds): Attempt {
	return {
		chosen,
		sentAt: now,
		load: {
			prefillTokens: chosen.engine?.uncachedTokens ?? 0,
			memoryTokens: chosen.engine === undefined ? 0 : estimateMemoryTokens(request.generation!),
		},
		isSent: false,
		exchange: undefined,
		head: undefined,
		status: 0,
		isFinished: false,
		isUnreachable: false,
		hasFirstByte: false,
		firstDataAt: undefined,
		hasSurvivedResponse: false,
		lastDataAt: undefined,
		longestPause: 0,
		pauseBacklog: 0,
		framing: undefined,
		isEventStream: false,
		resetCheck: undefined,
		partialEventBytes: 0,
		silentTime: 0,
	};
}

/**
 * Describes an attempt for the log: the estimates that its server was chosen by, and how it ended.
 *
 * @param attempt - The attempt that has ended.
 * @param receivedAt - Monotonic time at which the request was received.
 * @param outcome - How the attempt ended, and at which monotonic time.
 * @returns The log entry; times are in milliseconds.
 */
export function describeAttempt(attempt: Attempt, receivedAt: Milliseconds, outcome: {readonly result: string; readonly endedAt: Milliseconds}): AttemptRecord {
	const {entry, engine, outdatedTime} = attempt.chosen;
	return {
		server: entry.id,
		version: entry.softwareVersion,
		predicted: roundTime(engine?.predictedTimeToFirstToken),
		slowness: engine === undefined ? undefined : Math.round(engine.slowness * 100) / 100,
		cost: roundTime(engine?.cost),
		nextBest: roundTime(engine?.nextBestCost),
		cached: engine?.cachedTokens,
		fetched: engine?.fetchedTokens,
		unread: engine?.uncachedTokens,
		from: engine?.fetchFrom,
		weights: engine?.weightsVersion,
		outdated: outdatedTime === 0 ? undefined : roundTime(outdatedTime),
		at: roundTime(attempt.sentAt - receivedAt),
		result: outcome.result,
		took: roundTime(outcome.endedAt - attempt.sentAt),
		pause: attempt.longestPause === 0 ? undefined : roundTime(attempt.longestPause),
		pauseBacklog: attempt.longestPause === 0 ? undefined : attempt.pauseBacklog,
		status: attempt.status,
		framing: attempt.framing,
		resetCheck: attempt.resetCheck,
		partialEvent: attempt.partialEventBytes === 0 ? undefined : attempt.partialEventBytes,
		silent: attempt.silentTime === 0 ? undefined : roundTime(attempt.silentTime),
	};
}

/**
 * Determines the framing of a response body.
 *
 * @param headers - The response headers.
 * @returns `length` for a content length, `chunks` for chunked transfer encoding, `close` if the body ends with the connection.
 */
export function responseFraming(headers: Readonly<Record<string, string | string[] | undefined>>): Attempt['framing'] {
	if (headers['transfer-encoding'] !== undefined) {
		return 'chunks';
	}

	return headers['content-length'] === undefined ? 'close' : 'length';
}

/**
 * Determines whether the response of a streaming route consists of events. A response without a content type is assumed to.
 *
 * @param headers - The response headers.
 * @returns Whether the body is a stream of server-sent events.
 */
export function isEventStream(headers: Readonly<Record<string, string | string[] | undefined>>): boolean {
	const contentType = headers['content-type'];
	return contentType === undefined || String(contentType).toLowerCase().startsWith('text/event-stream');
}

/**
 * Rounds a time for the log.
 *
 * @param time - The time; `undefined` is returned unchanged.
 * @returns The time, rounded to a tenth of a millisecond.
 */
export function roundTime(time: Milliseconds | undefined): Milliseconds | undefined {
	return time === undefined ? undefined : Math.round(time * 10) / 10;
}
