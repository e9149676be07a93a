import type {Bytes, Milliseconds} from '@lacewingpoint/shared';
import {SlowReaderLimit} from '../overload/slow-reader-limit.js';
import {
	type Holdings, type InboundActions, type ShedReason, InboundAccount,
} from './inbound-account.js';
import type {InboundLimits, ListenerKind} from './inbound-limits.js';

export type InboundLedgerOptions = {
	readonly limits: InboundLimits;
	now(): Milliseconds;
	/** @returns How long a client may read none of a response while memory is not scarce. */
	stallTime(): Milliseconds;
	/** Called for each connection that is shed, or not accepted (`connections`). */
	onLimited(kind: ListenerKind, reason: ShedReason): void;
};

/** Above this share of the memory, bodies that are not small wait, and stalled ones are refused soon. */
const contendedShare = 0.75;

/** Bodies up to this size are read even when memory is scarce, so that ordinary requests get through. */
const smallBody: Bytes = 16_384;

/** A connection that waits for memory is refused after this multiple of the time after which stalled ones are. */
const longestWaitFactor = 2;

/** After a longer time between two reviews, the process was held up or suspended. */
const longestReviewGap: Milliseconds = 1000;

/** Less than this is not worth ending a connection for. */
const worthwhileRelease: Bytes = 4096;

/**
 * Decides which connections may hold memory, and which are ended when memory or descriptors are scarce. Designed for clients that leave
 * requests incomplete, do not read responses or only connect, alone or in a crowd: each of them holds little, or stays within all limits
 * on a single request, and together they would end the process. A client that behaves is only slowed down while there is another way.
 */
export class InboundLedger {
	readonly #options: InboundLedgerOptions;
	readonly #accounts = new Set<InboundAccount>();
	readonly #waiting = new Set<InboundAccount>();
	readonly #connections = new Map<ListenerKind, number>();
	readonly #slowReaders: SlowReaderLimit<InboundAccount>;
	/** The one connection whose large body goes on while memory is scarce, so that bodies do not wait for each other. */
	#preferred: InboundAccount | undefined;
	#heldBytes: Bytes = 0;
	#reviewedAt: Milliseconds | undefined;
	#isEnforcing = false;

	constructor(options: InboundLedgerOptions) {
		this.#options = options;
		this.#slowReaders = new SlowReaderLimit({totalBytes: options.limits.memory, slowestRate: options.limits.slowestReadRate});
	}

	/** Memory that all connections take. */
	get heldBytes(): Bytes {
		return this.#heldBytes;
	}

	/** Whether no more requests can be taken, although everything that can be released was. */
	get isFull(): boolean {
		return this.#heldBytes > this.#options.limits.memory;
	}

	/** Whether so much memory is taken that only small bodies are read. */
	get isContended(): boolean {
		return this.#heldBytes > this.#options.limits.memory * contendedShare;
	}

	/**
	 * Counts the open connections of a kind.
	 *
	 * @param kind - The kind.
	 * @returns Their number.
	 */
	countConnections(kind: ListenerKind): number {
		return this.#connections.get(kind) ?? 0;
	}

	/**
	 * Opens an account for a new connection. If the kind has too many, the connection that is least likely to be used is ended.
	 *
	 * @param kind - The kind of listener.
	 * @param actions - What may be done to the connection.
	 * @returns The account; `undefined` if the connection is to be closed, because all others of its kind are in use.
	 */
	open(kind: ListenerKind, actions: InboundActions): InboundAccount | undefined {
		if (this.countConnections(kind) >= this.#options.limits.connections[kind]) {
			const victim = this.#findLeastUseful(account => account.kind === kind);
			if (victim === undefined) {
				this.#options.onLimited(kind, 'connections');
				return undefined;
			}

			this.#shed(victim, 'connections');
		}

		const account = new InboundAccount(kind, actions, this.#options.now());
		this.#accounts.add(account);
		this.#connections.set(kind, this.countConnections(kind) + 1);
		this.#heldBytes += account.heldBytes;
		this.#enforce();
		return account;
	}

	/**
	 * Closes the account of a connection that is closed, or is being closed.
	 *
	 * @param account - The account.
	 */
	close(account: InboundAccount): void {
		if (account.isClosed) {
			return;
		}

		account.isClosed = true;
		this.#accounts.delete(account);
		this.#stopWaiting(account);
		this.#connections.set(account.kind, this.countConnections(account.kind) - 1);
		this.#heldBytes -= account.heldBytes;
		this.#grantWaiting();
	}

	/**
	 * Records what a connection holds. Connections may be ended, this one included.
	 *
	 * @param account - The account.
	 * @param changes - The fields that have changed.
	 */
	update(account: InboundAccount, changes: Partial<Holdings>): void {
		const before = account.heldBytes;
		account.update(changes);
		if (account.isClosed) {
			return;
		}

		const growth = account.heldBytes - before;
		this.#heldBytes += growth;
		if (growth > 0) {
			this.#enforce();
		} else if (growth < 0) {
			this.#grantWaiting();
		}
	}

	/**
	 * Records that an incomplete body takes more memory.
	 *
	 * @param account - The account.
	 * @param changes - The fields that have changed.
	 * @returns Whether the connection may be read on. If not, `resume` is called once it may, unless the connection is shed.
	 */
	growBody(account: InboundAccount, changes: Pick<Holdings, 'bodyBytes' | 'incompleteBodyBytes'>): boolean {
		this.update(account, changes);
		if (account.isClosed || account.refusedAt !== undefined) {
			return false;
		}

		if (changes.incompleteBodyBytes === 0) {
			this.#stopWaiting(account);
		}

		if (changes.incompleteBodyBytes <= smallBody || !this.isContended || this.#prefer(account)) {
			return true;
		}

		account.waitsSince ??= this.#options.now();
		this.#waiting.add(account);
		return false;
	}

	/**
	 * Records that a request was refused: the connection is read no further and will be closed.
	 *
	 * @param account - The account.
	 */
	recordRefused(account: InboundAccount): void {
		account.refusedAt ??= this.#options.now();
		account.incomplete = undefined;
		this.#stopWaiting(account);
	}

	/** Ends the connections whose time is over. To be called periodically. */
	review(): void {
		const {now, stallTime, limits} = this.#options;
		const reviewedAt = now();
		const wasHeldUp = this.#reviewedAt !== undefined && reviewedAt - this.#reviewedAt > longestReviewGap;
		this.#reviewedAt = reviewedAt;
		if (wasHeldUp) {
			// What arrived in the meantime is read before the next review.
			return;
		}

		const readers = [];
		for (const account of this.#accounts) {
			if (account.holdings.exchanges > 0) {
				const responses = account.actions.measureResponses();
				this.update(account, {unsentBytes: responses.unsentBytes});
				if (responses.isBlocked && !account.isClosed) {
					readers.push({key: account, heldBytes: responses.unsentBytes, sentBytes: responses.sentBytes});
				}
			}
		}

		const limit = this.isContended ? Math.min(limits.contendedStallTime, stallTime()) : stallTime();
		for (const {key, reason} of this.#slowReaders.review(readers, limit, reviewedAt)) {
			this.#shed(key, reason === 'memory' ? 'memory' : 'unread');
		}

		for (const account of this.#accounts) {
			const reason = this.#findExpiry(account, reviewedAt);
			if (reason !== undefined) {
				this.#shed(account, reason);
			}
		}
	}

	#findExpiry(account: InboundAccount, now: Milliseconds): ShedReason | undefined {
		const {limits: {lingerTime, contendedStallTime}} = this.#options;
		if (account.refusedAt !== undefined) {
			return now - account.refusedAt >= lingerTime && account.holdings.exchanges === 0 ? 'refused' : undefined;
		}

		if (account.expiresAt !== undefined && now >= account.expiresAt) {
			return 'late';
		}

		if (account.waitsSince !== undefined) {
			return now - account.waitsSince >= contendedStallTime * longestWaitFactor ? 'memory' : undefined;
		}

		const hasStalled = account.incomplete !== undefined && now - account.progressAt >= contendedStallTime;
		return hasStalled && this.isContended ? 'stalled' : undefined;
	}

	#enforce(): void {
		if (this.#isEnforcing) {
			return;
		}

		this.#isEnforcing = true;
		while (this.#heldBytes > this.#options.limits.memory) {
			const victim = this.#findLargest() ?? this.#findLeastUseful(() => true);
			if (victim === undefined) {
				break;
			}

			this.#shed(victim, 'memory');
		}

		this.#isEnforcing = false;
	}

	#findLargest(): InboundAccount | undefined {
		let largest: InboundAccount | undefined;
		let releasableBytes = worthwhileRelease;
		for (const account of this.#accounts) {
			const isStaler = account.releasableBytes === releasableBytes && largest !== undefined && account.progressAt < largest.progressAt;
			if (account.refusedAt === undefined && (account.releasableBytes > releasableBytes || isStaler)) {
				largest = account;
				releasableBytes = account.releasableBytes;
			}
		}

		return largest;
	}

	// Of the least useful ones, the one that has waited longest. Requests that are being executed are no candidates.
	#findLeastUseful(isCandidate: (account: InboundAccount) => boolean): InboundAccount | undefined {
		let chosen: InboundAccount | undefined;
		for (const account of this.#accounts) {
			const isUnused = account.isIdle || account.incomplete !== undefined;
			if (isUnused && isCandidate(account) && (chosen === undefined || isLessUseful(account, chosen))) {
				chosen = account;
			}
		}

		return chosen;
	}

	#shed(account: InboundAccount, reason: ShedReason): void {
		if (account.isClosed) {
			return;
		}

		if (reason !== 'refused') {
			this.#options.onLimited(account.kind, reason);
		}

		const {refusedAt} = account;
		account.actions.shed(reason);
		// What could not be refused is closed.
		if (account.refusedAt === undefined || refusedAt !== undefined) {
			this.close(account);
		}
	}

	#grantWaiting(): void {
		for (const account of this.#waiting) {
			if (this.isContended && !this.#prefer(account)) {
				return;
			}

			this.#stopWaiting(account);
			account.progressAt = this.#options.now();
			account.actions.resume();
		}
	}

	#prefer(account: InboundAccount): boolean {
		const isFinished = this.#preferred === undefined || this.#preferred.isClosed || this.#preferred.holdings.incompleteBodyBytes === 0;
		if (isFinished) {
			this.#preferred = account;
		}

		return this.#preferred === account;
	}

	#stopWaiting(account: InboundAccount): void {
		account.waitsSince = undefined;
		this.#waiting.delete(account);
	}
}

// Refused connections come first, then those that have never sent a request, those with an incomplete one, and idle ones.
function usefulness(account: InboundAccount): number {
	if (account.refusedAt !== undefined) {
		return 0;
	}

	if (account.incomplete !== undefined) {
		return 2;
	}

	return account.hasCompletedRequests ? 3 : 1;
}

function isLessUseful(left: InboundAccount, right: InboundAccount): boolean {
	const difference = usefulness(left) - usefulness(right);
	const waitsSince = (account: InboundAccount) => account.incomplete?.receivedAt ?? account.progressAt;
	return difference === 0 ? waitsSince(left) < waitsSince(right) : difference < 0;
}
