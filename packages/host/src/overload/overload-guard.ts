import {
	OverloadController, type RouteIndex, chooseTargetDelay, defaultOverloadControllerOptions, isConfigurationOutdated, spreadRetryAfter,
} from '@lacewingpoint/routing';
import {
	type Bytes, type Disposable, type Logger, type Metrics, type Milliseconds, type RandomSource, bytesPerMebibyte,
} from '@lacewingpoint/shared';
import type {RequestPreview} from '../ports.js';
import {findRoute} from '../requests/request-admission.js';
import {stoppingReason} from '../stopping/planned-stop.js';
import {RejectionLog, type RejectionReason} from './rejection-log.js';
import {YoungGenerationLimit} from './young-generation-limit.js';

/** Time between two measurements of the event loop's delay. */
const measurementInterval: Milliseconds = 50;

/** Time between two measurements of the memory in use. */
const memoryInterval: Milliseconds = 200;

/** Time between two log lines about rejected requests. */
const reportInterval: Milliseconds = 1000;

/** Share of the memory that may be in use before new requests are rejected. */
const memoryShare = 0.9;

/** What a running request occupies: its connections, buffers and state. */
const memoryPerRequest: Bytes = 65_536;

/** Requests that may run however little memory is left: those that end free some. */
const minimumRunningRequests = 4;

/** A client gives a request up that was not read within this time, or within a share of the time it has. */
const patience = {time: 1000, share: 1 / 3} as const;

/** A rejected request, of which nothing was executed. */
export type Rejection = {readonly reason: RejectionReason; readonly retryAfter: Milliseconds | undefined};

/** Messages of the responses to rejected requests. */
export const rejectionMessages: Readonly<Record<RejectionReason, string>> = {
	overloaded: 'the host is overloaded; the request was not executed',
	'no-memory': 'the host is out of memory; the request was not executed',
	'too-old': 'the request was read too late; it was not executed',
	'old-configuration': 'the host is overloaded and its configuration may be outdated; the request was not executed',
	stopping: stoppingReason,
};

/** Decides which requests are rejected before they are read. */
export type AdmissionGuard = {
	/** Whether requests wait so long for the event loop that the host may miss their objectives, or are limited for that reason. */
	readonly isBehind: boolean;
	/**
	 * Decides whether a request is rejected, from what its head shows.
	 *
	 * @param target - Path and query of the request.
	 * @param preview - Reads the head; not called unless requests may be rejected at present.
	 * @returns The rejection; `undefined` if the request is admitted.
	 */
	evaluate(target: string, preview: () => RequestPreview): Rejection | undefined;
};

export type OverloadGuardOptions = {
	readonly memory: Bytes;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
	/** @returns The routes and workspaces of the current configuration. */
	routes(): RouteIndex | undefined;
	/** @returns Time since the configuration was known to be the newest one; `undefined` if the store does not respond. */
	configurationAge(): Milliseconds | undefined;
	/** @returns How long after a configuration was stored requests may be handled by an earlier one; `undefined` if that is not limited. */
	applyWithin(): Milliseconds | undefined;
	/** @returns The number of requests without a final response. */
	runningRequests(): number;
	/** @returns The number of requests that have ended and whose clients have waited for it. */
	finishedRequests(): number;
	/** @returns How long the event loop was busy since the start of the process. */
	measureBusyTime(): Milliseconds;
	/** @returns The memory that the process occupies. */
	measureMemory(): Bytes;
};

/** Measures how far the host is behind and how much memory it occupies, and rejects requests that it cannot serve before they are read. */
export class OverloadGuard implements AdmissionGuard, Disposable {
	readonly #options: OverloadGuardOptions;
	readonly #controller = new OverloadController(defaultOverloadControllerOptions);
	readonly #rejections: RejectionLog;
	readonly #youngGeneration: YoungGenerationLimit;
	readonly #timers: readonly NodeJS.Timeout[];
	#measuredAt: Milliseconds;
	#targetDelay = chooseTargetDelay([]);
	#occupied: Bytes = 0;
	#maximumRunningRequests = Number.POSITIVE_INFINITY;

	constructor(options: OverloadGuardOptions) {
		this.#options = options;
		this.#rejections = new RejectionLog(options.log, options.metrics);
		this.#youngGeneration = new YoungGenerationLimit(options.memory);
		this.#measuredAt = options.now();
		options.metrics.registerGauge('event_loop_delay_milliseconds', () => Math.round(this.#currentDelay()));
		this.#timers = [
			setInterval(() => {
				this.#measureDelay();
			}, measurementInterval),
			setInterval(() => {
				this.#measureMemory();
			}, memoryInterval),
			setInterval(() => {
				this.#report();
			}, reportInterval),
		];
	}

	get isBehind(): boolean {
		return this.#controller.rate !== undefined || this.#currentDelay() >= this.#targetDelay;
	}

	evaluate(target: string, preview: () => RequestPreview): Rejection | undefined {
		const age = this.#currentDelay();
		if (!this.isBehind && !this.#isFull) {
			return undefined;
		}

		const {id, host, credential, deadline} = preview();
		const index = this.#options.routes();
		const route = host === undefined || index === undefined ? undefined : findRoute(index, host, target);
		const workspace = credential === undefined ? undefined : index?.findWorkspace(credential);
		const rank = workspace?.rank ?? route?.rank;
		const mayBeGivenUp = route?.repeatability === 'idempotent' || route?.repeatability === 'resumable-stream';
		const longestAge = deadline === undefined ? Number.POSITIVE_INFINITY : (mayBeGivenUp ? Math.min(patience.time, deadline * patience.share) : deadline);
		const reason = age >= longestAge ? 'too-old' : this.#findReason(rank ?? 0, workspace?.name ?? '');
		if (reason === undefined) {
			return undefined;
		}

		this.#rejections.add(reason, rank, id);
		const remainingTime = deadline === undefined ? undefined : Math.min(deadline, route?.timeout ?? deadline) - age;
		return {reason, retryAfter: spreadRetryAfter(remainingTime, this.#options.random)};
	}

	dispose(): void {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#report();
	}

	#findReason(rank: number, workspace: string): RejectionReason | undefined {
		const {now, configurationAge, applyWithin} = this.#options;
		if (this.#isFull) {
			return 'no-memory';
		}

		if (isConfigurationOutdated({age: configurationAge(), isBehind: this.isBehind, applyWithin: applyWithin()})) {
			return 'old-configuration';
		}

		return this.#controller.admit({rank, workspace}, now()) ? undefined : 'overloaded';
	}

	get #isFull(): boolean {
		return this.#options.runningRequests() >= this.#maximumRunningRequests;
	}

	// How long the event loop has not run the timer that was due: so long, data may have waited to be read.
	#currentDelay(): Milliseconds {
		return Math.max(this.#options.now() - this.#measuredAt - measurementInterval, this.#controller.lastDelay, 0);
	}

	#measureDelay(): void {
		const {now, finishedRequests, measureBusyTime} = this.#options;
		const measuredAt = now();
		const delay = Math.max(measuredAt - this.#measuredAt - measurementInterval, 0);
		this.#measuredAt = measuredAt;
		this.#controller.recordMeasurement({
			delay, targetDelay: this.#targetDelay, finishedRequests: finishedRequests(), busyTime: measureBusyTime(),
		}, measuredAt);
	}

	#measureMemory(): void {
		const {memory, measureMemory, runningRequests} = this.#options;
		this.#youngGeneration.review();
		this.#occupied = measureMemory();
		const room = Math.floor(((memory * memoryShare) - this.#occupied) / memoryPerRequest);
		this.#maximumRunningRequests = Math.max(runningRequests() + room, minimumRunningRequests);
	}

	#report(): void {
		const {routes, runningRequests} = this.#options;
		this.#targetDelay = chooseTargetDelay(routes()?.configuration.routes.map(({objective}) => objective) ?? []);
		this.#rejections.flush({
			delay: Math.round(this.#currentDelay()), rate: this.#controller.rate === undefined ? undefined : Math.round(this.#controller.rate * 10) / 10, running: runningRequests(), memory: Math.round(this.#occupied / bytesPerMebibyte),
		});
	}
}
