import {type Milliseconds, type Tokens, millisecondsPerSecond} from '@lacewingpoint/shared';
import {Cells} from './cells.js';

/** What the configuration says of a backend server. */
export type ServerDescription = {
	readonly id: string;
	readonly address: string;
	readonly failureDomain: string;
	/** The model that an engine serves, or the name of a plain service. */
	readonly serves: string;
	readonly isDrained: boolean;
};

/** A report of load; it is late by the time it is read. */
export type LoadReport = {
	readonly incarnation: string;
	readonly weightsVersion: string;
	readonly queuedTokens: Tokens;
	readonly runningRequests: number;
};

export type ServerTableOptions = {
	/** The servers of one cell, on average. */
	readonly cellSize: number;
	/** Assumed until answers have shown a server's speed. */
	readonly initialTokensPerSecond: number;
	/** How long a server is passed over after its first failure in a row; doubled for each further one. */
	readonly firstBackoff: Milliseconds;
	readonly longestBackoff: Milliseconds;
};

/** One backend server with all that is known of it. */
export type ServerRow = {
	readonly description: ServerDescription;
	readonly incarnation: string | undefined;
	readonly weightsVersion: string | undefined;
	readonly isLeaving: boolean;
	readonly isLoading: boolean;
	/** Uncached prompt tokens that this router has sent and that have not answered yet. */
	readonly ownTokens: Tokens;
	readonly ownRequests: number;
	/** Prompt tokens of other routers, as of `reportedAt`. */
	readonly otherTokens: Tokens;
	readonly reportedAt: Milliseconds;
	readonly runningRequests: number;
	readonly tokensPerSecond: number;
	readonly failures: number;
	readonly passedOverUntil: Milliseconds;
};

/** A cell counts as used for this long after its last request. */
const cellMemory: Milliseconds = 60_000;

const speedWeight = 0.05;
const smallestSampleTokens = 1024;

/** The backend servers that this router works with. */
export class ServerTable {
	readonly #options: ServerTableOptions;
	readonly #rows = new Map<string, ServerRow>();
	readonly #cells = new Map<string, Cells>();
	readonly #cellUsedAt = new Map<string, Milliseconds>();

	constructor(options: ServerTableOptions) {
		this.#options = options;
	}

	/**
	 * Takes the servers that the configuration names; others are dropped.
	 *
	 * @param descriptions - The configured servers.
	 */
	configure(descriptions: readonly ServerDescription[]): void {
		this.#cells.clear();
		const kept = new Set(descriptions.map(description => description.id));
		for (const id of this.#rows.keys()) {
			if (!kept.has(id)) {
				this.#rows.delete(id);
			}
		}

		for (const description of descriptions) {
			const row = this.#rows.get(description.id);
			// Another address is another server, whatever its name.
			const isSame = row?.description.address === description.address;
			this.#rows.set(description.id, isSame ? {...row, description} : this.#newRow(description));
		}
	}

	get(id: string): ServerRow | undefined {
		return this.#rows.get(id);
	}

	/** @returns All rows. */
	rows(): ServerRow[] {
		return [...this.#rows.values()];
	}

	/**
	 * Lists the servers that may receive new work.
	 *
	 * @param serves - The model or plain service.
	 * @param now - The present moment.
	 * @returns The usable servers.
	 */
	usable(serves: string, now: Milliseconds): ServerRow[] {
		return usableServers(this.rows().filter(row => row.description.serves === serves), now);
	}

	/**
	 * Lists the servers that this router has to know the state of: those of cells that it has used lately, and all of a model
	 * that has one cell.
	 *
	 * @param serves - The model.
	 * @param now - The present moment.
	 * @returns The rows.
	 */
	rowsInUse(serves: string, now: Milliseconds): ServerRow[] {
		const cells = this.cells(serves);
		const used = cells.names.filter(cell => cells.names.length === 1 || now - (this.#cellUsedAt.get(cell) ?? Number.NEGATIVE_INFINITY) <= cellMemory);
		return used.flatMap(cell => cells.members(cell)).map(id => this.#rows.get(id)!);
	}

	/**
	 * Takes note that a cell was considered for a request.
	 *
	 * @param cell - The cell's name.
	 * @param now - The present moment.
	 */
	noteCellUsed(cell: string, now: Milliseconds): void {
		this.#cellUsedAt.set(cell, now);
	}

	/**
	 * Divides the servers of a model into cells.
	 *
	 * @param serves - The model.
	 * @returns The cells, the same on every router with the same configuration.
	 */
	cells(serves: string): Cells {
		const held = this.#cells.get(serves) ?? new Cells(
			serves,
			this.rows().filter(row => row.description.serves === serves).map(row => row.description.id),
			this.#options.cellSize,
		);
		this.#cells.set(serves, held);
		return held;
	}

	/**
	 * Takes in a report of load.
	 *
	 * @param id - The server.
	 * @param report - The report.
	 * @param now - When it was composed, at the latest.
	 */
	report(id: string, report: LoadReport, now: Milliseconds): void {
		this.#change(id, row => ({
			...row,
			incarnation: report.incarnation,
			weightsVersion: report.weightsVersion,
			otherTokens: Math.max(report.queuedTokens - row.ownTokens, 0),
			runningRequests: report.runningRequests,
			reportedAt: now,
			failures: 0,
			passedOverUntil: 0,
		}));
	}

	/**
	 * Marks a server as leaving; only a new incarnation undoes it, never the lagging host list.
	 *
	 * @param id - The server.
	 * @param isLeaving - What the source says.
	 * @param incarnation - The incarnation that says it of itself, when it does.
	 */
	setLeaving(id: string, isLeaving: boolean, incarnation?: string): void {
		this.#change(id, row => {
			const isNew = incarnation !== undefined && row.incarnation !== undefined && incarnation !== row.incarnation;
			return {...row, isLeaving: isLeaving || (row.isLeaving && !isNew)};
		});
	}

	setLoading(id: string, isLoading: boolean): void {
		this.#change(id, row => ({...row, isLoading}));
	}

	/**
	 * Counts a request as sent.
	 *
	 * @param id - The server.
	 * @param tokens - Its uncached prompt tokens.
	 */
	noteSent(id: string, tokens: Tokens): void {
		this.#change(id, row => ({...row, ownTokens: row.ownTokens + tokens, ownRequests: row.ownRequests + 1}));
	}

	/**
	 * Counts a request's prefill as done or given up.
	 *
	 * @param id - The server.
	 * @param tokens - The tokens passed to {@link noteSent}.
	 */
	notePrefilled(id: string, tokens: Tokens): void {
		this.#change(id, row => ({...row, ownTokens: Math.max(row.ownTokens - tokens, 0), ownRequests: Math.max(row.ownRequests - 1, 0)}));
	}

	/**
	 * Learns a server's speed from an answer that found it idle. With a queue ahead the elapsed time holds guesses of what was
	 * waiting, and learning from those makes a busy server look slow and its queue look longer still.
	 *
	 * @param id - The server.
	 * @param queued - The tokens that were waiting there when the request was sent.
	 * @param tokens - The request's own uncached tokens.
	 * @param elapsed - The time to its first token.
	 */
	noteSpeed(id: string, queued: Tokens, tokens: Tokens, elapsed: Milliseconds): void {
		if (queued > 0 || tokens < smallestSampleTokens || elapsed <= 0) {
			return;
		}

		const sample = tokens * millisecondsPerSecond / elapsed;
		this.#change(id, row => ({...row, tokensPerSecond: (row.tokensPerSecond * (1 - speedWeight)) + (sample * speedWeight)}));
	}

	/**
	 * Passes a server over for a while after it failed.
	 *
	 * @param id - The server.
	 * @param now - The present moment.
	 */
	noteFailure(id: string, now: Milliseconds): void {
		this.#change(id, row => {
			const backoff = Math.min(this.#options.firstBackoff * (2 ** row.failures), this.#options.longestBackoff);
			return {...row, failures: row.failures + 1, passedOverUntil: now + backoff};
		});
	}

	#change(id: string, change: (row: ServerRow) => ServerRow): void {
		const row = this.#rows.get(id);
		if (row !== undefined) {
			this.#rows.set(id, change(row));
		}
	}

	#newRow(description: ServerDescription): ServerRow {
		return {
			description,
			incarnation: undefined,
			weightsVersion: undefined,
			isLeaving: false,
			isLoading: false,
			ownTokens: 0,
			ownRequests: 0,
			otherTokens: 0,
			reportedAt: 0,
			runningRequests: 0,
			tokensPerSecond: this.#options.initialTokensPerSecond,
			failures: 0,
			passedOverUntil: 0,
		};
	}
}

/**
 * Picks the servers that may receive new work: not those that are drained, leaving or loading weights, and not those passed
 * over after a failure, unless that leaves none. A server that fails again costs less than a refusal.
 *
 * @param rows - The servers.
 * @param now - The present moment.
 * @returns The usable servers.
 */
export function usableServers(rows: readonly ServerRow[], now: Milliseconds): ServerRow[] {
	const inService = rows.filter(row => !row.description.isDrained && !row.isLeaving && !row.isLoading);
	const healthy = inService.filter(row => row.passedOverUntil <= now);
	return healthy.length > 0 ? healthy : inService;
}

/**
 * Estimates the prompt tokens that wait at a server.
 *
 * @param row - The server.
 * @param now - The present moment.
 * @returns Own tokens and what is left of the others' after the time since the report.
 */
export function queuedTokens(row: ServerRow, now: Milliseconds): Tokens {
	const worked = (now - row.reportedAt) * row.tokensPerSecond / millisecondsPerSecond;
	return row.ownTokens + Math.max(row.otherTokens - worked, 0);
}
