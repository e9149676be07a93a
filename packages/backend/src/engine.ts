import type {Milliseconds, Tokens} from '@lacewingpoint/shared';
import type {Result} from 'true-myth';
import type {BackendError} from './backend-error.js';

/** A request to a model engine; the caller's key is no part of it. */
export type EngineRequest = {
	readonly requestId: string;
	readonly path: '/v1/chat/completions' | '/v1/completions';
	/** The JSON body, with the model, the cache salt and the priority set by the router. */
	readonly body: string;
	readonly streams: boolean;
	/** The number of the last chunk that the caller has, when the stream resumes. */
	readonly resumeAfter?: number;
};

/** What an engine says of itself with each answer. */
export type EngineReport = {
	/** Changes when the engine restarts empty. */
	readonly incarnation: string;
	readonly weightsVersion: string;
	/** Prompt tokens that wait for or are in their prefill. */
	readonly queuedTokens: Tokens;
	readonly runningRequests: number;
};

/** One piece of a stream. */
export type EngineChunk
	= | {readonly type: 'chunk'; readonly sequence: number; readonly data: string}
		| {readonly type: 'done'};

/** An answer whose head has arrived. */
export type EngineAnswer = {
	readonly status: number;
	readonly report: EngineReport | undefined;
	/** The pieces of a stream as they arrive together, `done` last; a failure is the error of the final result. */
	readonly chunks: AsyncIterable<Result<readonly EngineChunk[], BackendError>>;
	/** Reads an answer that is not a stream. */
	text(): Promise<Result<string, BackendError>>;
};

/** An order to run other weights. */
export type LoadOrder = {
	readonly version: string;
	readonly adapters: readonly string[];
	/** Engines that check it refuse a lower number than the highest they have seen. */
	readonly fencing: number;
};

/** What an engine reports when asked for its state. */
export type EngineState = EngineReport & {
	readonly model: string;
	readonly adapters: readonly string[];
	readonly loading: boolean;
	readonly leaving: boolean;
};

/** A change of an engine's cache, published late and with gaps. */
export type CacheEvent = {
	readonly incarnation: string;
	readonly sequence: number;
	readonly stored: readonly number[];
	readonly removed: readonly number[];
};

/** A model engine. */
export type Engine = {
	readonly address: string;

	/**
	 * Starts a request.
	 *
	 * @param request - The request.
	 * @param signal - Cancels it; its connection is not used again.
	 * @returns The answer once its head has arrived.
	 */
	start(request: EngineRequest, signal: AbortSignal): Promise<Result<EngineAnswer, BackendError>>;

	/**
	 * Asks for the engine's state.
	 *
	 * @param timeout - How long to wait, in milliseconds.
	 */
	state(timeout: Milliseconds): Promise<Result<EngineState, BackendError>>;

	/**
	 * Orders other weights.
	 *
	 * @param order - The order.
	 * @returns An error of code `declined` when the engine refuses the fencing number.
	 */
	load(order: LoadOrder): Promise<Result<void, BackendError>>;

	/**
	 * Follows the engine's cache events until the signal aborts or the connection breaks.
	 *
	 * @param onEvent - Receives each event.
	 * @param signal - Ends the subscription.
	 */
	followCacheEvents(onEvent: (event: CacheEvent) => void, signal: AbortSignal): Promise<void>;

	/** Closes the connections. */
	dispose(): Promise<void>;
};
