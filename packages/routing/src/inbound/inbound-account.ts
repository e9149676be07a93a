import type {Bytes, Milliseconds} from '@lacewingpoint/shared';
import type {ListenerKind} from './inbound-limits.js';

/**
 * Why a connection is ended: its kind has too many connections; memory is scarce; an incomplete request makes no progress or can no longer be
 * answered in time; the client does not read a response; the time after a refusal is over.
 */
export type ShedReason = 'connections' | 'memory' | 'stalled' | 'late' | 'unread' | 'refused';

/** What is held for a connection, and how the client reads. */
export type UnsentResponses = {
	/** Bytes of responses that are not sent yet. */
	readonly unsentBytes: Bytes;
	/** Whether bytes wait for the client to read, rather than for a server. */
	readonly isBlocked: boolean;
	/** Bytes sent on the connection since it was opened. */
	readonly sentBytes: Bytes;
};

/** What the ledger needs of a connection. */
export type InboundActions = {
	/** Ends the connection. An incomplete request gets a response first, unless there are too many connections (`connections`). */
	shed(reason: ShedReason): void;
	/** Reads on, after memory was granted. Must not read before it returns. */
	resume(): void;
	/** @returns The responses that are not sent yet. */
	measureResponses(): UnsentResponses;
};

/** What a connection makes the process hold. */
export type Holdings = {
	/** Bytes of a head that is incomplete. */
	readonly headBytes: Bytes;
	/** Bytes that were received and not parsed yet. */
	readonly pendingBytes: Bytes;
	/** Memory for bodies of requests, complete or not. */
	readonly bodyBytes: Bytes;
	/** The part of it that is for an incomplete body. */
	readonly incompleteBodyBytes: Bytes;
	/** Bytes of responses that are not sent yet. */
	readonly unsentBytes: Bytes;
	/** Requests whose responses are not delivered yet. */
	readonly exchanges: number;
};

/** What an open connection takes: the socket, its parser and their buffers. */
const connectionCost: Bytes = 16_384;

/** What a request takes from the end of its head to the end of its response, apart from its body. */
const exchangeCost: Bytes = 16_384;

/** Memory for each byte of an incomplete head, which the parser holds as a string for each name and each value. */
const headCost = 12;

/** A request of which only a part was received. */
export type IncompleteRequest = {
	readonly receivedAt: Milliseconds;
	/** @returns The time within which it has to be answered. */
	allowedTime(): Milliseconds;
};

/** The ledger's record of one connection. */
export class InboundAccount {
	readonly kind: ListenerKind;
	readonly actions: InboundActions;
	readonly openedAt: Milliseconds;
	/** When the last byte of a request was received. */
	progressAt: Milliseconds;
	/** When a request was refused, so that the connection is about to close. */
	refusedAt: Milliseconds | undefined;
	/** Since when the connection waits for memory. */
	waitsSince: Milliseconds | undefined;
	/** Whether a response was delivered that was no refusal. */
	hasCompletedRequests = false;
	isClosed = false;
	#holdings: Holdings = {
		headBytes: 0, pendingBytes: 0, bodyBytes: 0, incompleteBodyBytes: 0, unsentBytes: 0, exchanges: 0,
	};

	#incomplete: IncompleteRequest | undefined;
	#expiresAt: Milliseconds | undefined;

	/**
	 * @param kind - The kind of listener.
	 * @param actions - What may be done to the connection.
	 * @param now - Current monotonic time.
	 */
	constructor(kind: ListenerKind, actions: InboundActions, now: Milliseconds) {
		this.kind = kind;
		this.actions = actions;
		this.openedAt = now;
		this.progressAt = now;
	}

	get holdings(): Holdings {
		return this.#holdings;
	}

	/** Memory that the connection takes. */
	get heldBytes(): Bytes {
		const {bodyBytes, exchanges} = this.#holdings;
		return connectionCost + this.#transientBytes + bodyBytes + (exchanges * exchangeCost);
	}

	/** Memory that is freed at once if the connection is shed, without loss of a request that is being executed. */
	get releasableBytes(): Bytes {
		return this.#transientBytes + this.#holdings.incompleteBodyBytes;
	}

	/** Whether nothing was received of a request that has no response yet. */
	get isIdle(): boolean {
		return this.#holdings.exchanges === 0;
	}

	get incomplete(): IncompleteRequest | undefined {
		return this.#incomplete;
	}

	set incomplete(request: IncompleteRequest | undefined) {
		this.#incomplete = request;
		this.#expiresAt = undefined;
	}

	/** When the incomplete request can no longer be answered in time; `undefined` if none is incomplete. */
	get expiresAt(): Milliseconds | undefined {
		if (this.#incomplete !== undefined) {
			this.#expiresAt ??= this.#incomplete.receivedAt + this.#incomplete.allowedTime();
		}

		return this.#expiresAt;
	}

	/**
	 * Changes what the connection holds. Called by the ledger, which keeps the total.
	 *
	 * @param changes - The fields that have changed.
	 */
	update(changes: Partial<Holdings>): void {
		this.#holdings = {...this.#holdings, ...changes};
	}

	get #transientBytes(): Bytes {
		const {headBytes, pendingBytes, unsentBytes} = this.#holdings;
		return (headBytes * headCost) + pendingBytes + unsentBytes;
	}
}
