import type {SecondTryPolicy} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {ChosenServer} from '../placement/placement-request.js';
import type {AttemptLedger} from './attempt-ledger.js';
import {abortExchange} from './attempt-records.js';
import type {Attempt} from './attempt.js';
import type {PipelineContext} from './pipeline-context.js';
import type {RetryAllowance} from './retry-allowance.js';
import type {RoutedRequest} from './routed-request.js';
import type {TriedServers} from './tried-servers.js';

/** How long two model servers may work on one generation. */
const maximumOverlap: Milliseconds = 300;

export type SecondTryOptions = {
	readonly context: PipelineContext;
	readonly request: RoutedRequest;
	readonly ledger: AttemptLedger;
	readonly retries: RetryAllowance;
	readonly triedServers: TriedServers;
	/** @returns Another server for the request; `undefined` if none has room. */
	chooseServer(): ChosenServer | undefined;
	/** Writes the request of an attempt. */
	send(attempt: Attempt): void;
	/** Called when the first attempt has to end, as both have run for too long. */
	onOverlapEnded(): void;
};

/**
 * The second try of a request whose first response is slow. It runs beside the first attempt until one of them responds; the runner of the
 * attempts then goes on with that one and ends the other.
 */
export class SecondTry {
	readonly #options: SecondTryOptions;
	readonly #policy: SecondTryPolicy | undefined;
	#timer: NodeJS.Timeout | undefined;
	#attempt: Attempt | undefined;

	constructor(options: SecondTryOptions) {
		this.#options = options;
		const {request, context} = options;
		const isEligible = request.isRetryable && !request.isResumedStream && request.received.forwarding === undefined;
		this.#policy = isEligible ? context.secondTries : undefined;
	}

	/**
	 * Waits for the first response, and makes the second try when it is slow.
	 *
	 * @param first - The first attempt, which has just begun.
	 */
	arm(first: Attempt): void {
		if (this.#policy === undefined || this.#attempt !== undefined) {
			return;
		}

		const {context, request} = this.#options;
		const {name: route, objective} = request.route!;
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			this.#begin(first);
		}, this.#policy.slowAfter({route, objective, predicted: predictedTime(first)}, context.now()));
	}

	/** Whether the second try is running beside the first. */
	get isRunning(): boolean {
		return this.#attempt !== undefined;
	}

	/**
	 * Tells whether an attempt is the second try, and still beside the first.
	 *
	 * @param attempt - The attempt.
	 * @returns Whether it is.
	 */
	is(attempt: Attempt): boolean {
		return attempt === this.#attempt;
	}

	/**
	 * Hands over the second try, which becomes the only attempt.
	 *
	 * @param outcome - Why, for the metrics.
	 * @returns The attempt; `undefined` if none is running.
	 */
	take(outcome: 'won' | 'replaced'): Attempt | undefined {
		this.#stopTimer();
		const attempt = this.#attempt;
		if (attempt !== undefined) {
			this.#attempt = undefined;
			this.#count(outcome);
		}

		return attempt;
	}

	/**
	 * Ends the second try, or makes sure that there will be none.
	 *
	 * @param result - Why, for the log.
	 * @param outcome - The same for the metrics.
	 */
	cancel(result: string, outcome: 'lost' | 'refused' | 'failed' | 'abandoned'): void {
		this.#stopTimer();
		const attempt = this.#attempt;
		if (attempt === undefined) {
			return;
		}

		const {ledger, retries, context, request} = this.#options;
		this.#attempt = undefined;
		this.#count(outcome);
		attempt.isFinished = true;
		abortExchange(context, attempt);
		if (attempt.isSent && outcome !== 'refused') {
			retries.executions++;
		}

		if (outcome === 'lost') {
			this.#policy!.recordResponseTime(request.route!.name, context.now() - attempt.sentAt, predictedTime(attempt), context.now());
		}

		ledger.end(attempt, `second try: ${result}`);
	}

	#begin(first: Attempt): void {
		const {
			context, request, ledger, retries, triedServers, chooseServer, send, onOverlapEnded,
		} = this.#options;
		if (first.isFinished || first.head !== undefined || !retries.mayTryTwice) {
			return;
		}

		const chosen = chooseServer();
		if (chosen === undefined) {
			this.#count('no-server');
			return;
		}

		if (!hasSharedParts(first.chosen, request) || !hasSharedParts(chosen, request)) {
			this.#count('not-cached');
			return;
		}

		const decision = this.#policy!.claim({
			route: request.route!.name,
			...context.dispatcher.describeRoom(request.service),
			isHostOverloaded: context.isOverloaded(),
			remainingTime: request.remainingTime(),
		}, chosen.engine?.predictedTimeToFirstToken ?? 0, context.now());
		if (decision !== 'send') {
			this.#count(decision);
			return;
		}

		if (!retries.claimSecondTry()) {
			this.#count('retry-budget');
			return;
		}

		triedServers.add(chosen.entry.id);
		const attempt = ledger.begin(chosen);
		this.#attempt = attempt;
		context.arrivals.pass(() => {
			if (!attempt.isFinished) {
				send(attempt);
			}
		});
		if (request.isStream) {
			this.#timer = setTimeout(onOverlapEnded, maximumOverlap);
		}
	}

	#stopTimer(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#count(outcome: string): void {
		const {context, request} = this.#options;
		context.metrics.incrementCounter('second_tries', {route: request.route!.name, outcome});
	}
}

function predictedTime(attempt: Attempt): Milliseconds {
	return attempt.chosen.engine?.predictedTimeToFirstToken ?? 0;
}

// Prefilling the shared parts of a prompt once more, or in vain, would cost the servers more than the slow answer costs its caller.
function hasSharedParts({engine}: ChosenServer, {received}: RoutedRequest): boolean {
	const sharedTokens = received.request.generation?.parts.slice(0, -1).reduce((sum, {tokens}) => sum + tokens, 0) ?? 0;
	return engine === undefined || engine.cachedTokens + engine.fetchedTokens >= sharedTokens;
}
