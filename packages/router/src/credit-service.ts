import type {Charge} from '@lacewingpoint/coordination';
import {type Milliseconds, type Tokens, millisecondsPerSecond} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import type {PeerLinks} from './peer-links.js';
import {type Refusal, notRun} from './router-error.js';
import type {RouterContext} from './router-context.js';

export type CreditServiceOptions = {
	readonly self: string;
	/** A request waits at most this long for refill; one that would wait longer is refused at once. */
	readonly longestWait: Milliseconds;
	/** After the peers had nothing to lend they are not asked again for this long. */
	readonly dryPause: Milliseconds;
};

type Waiter = {
	readonly amount: Tokens;
	readonly enteredAt: Milliseconds;
	settle(result: Result<Charge, Refusal>): void;
};

type Line = {readonly waiters: Waiter[]; isWorking: boolean; dryUntil: Milliseconds};

const shortestPause: Milliseconds = 5;

/** Charges requests: from this host's credit, then from what peers lend, then from refill that is near. */
export class CreditService {
	readonly #context: RouterContext;
	readonly #links: PeerLinks;
	readonly #options: CreditServiceOptions;
	readonly #lines = new Map<string, Line>();

	constructor(context: RouterContext, links: PeerLinks, options: CreditServiceOptions) {
		this.#context = context;
		this.#links = links;
		this.#options = options;
	}

	/**
	 * Charges a request before it runs, in order of arrival within its workspace.
	 *
	 * @param workspace - The workspace that pays.
	 * @param amount - Its prompt and its largest answer.
	 * @returns The charge, or a refusal that says when to come back.
	 */
	async charge(workspace: string, amount: Tokens): Promise<Result<Charge, Refusal>> {
		const line = this.#line(workspace);
		if (line.waiters.length === 0) {
			const outcome = this.#context.tables.credit.charge(workspace, amount, this.#context.clock.now());
			if (outcome.type !== 'short') {
				return outcome.type === 'charged' ? Result.ok(outcome.charge) : Result.err(exceedsBurst(amount));
			}
		}

		const wait = this.#expectedWait(workspace, line, amount);
		if (wait > this.#options.longestWait && this.#context.clock.now() < line.dryUntil) {
			return Result.err(this.#refuse(workspace, wait));
		}

		return new Promise(settle => {
			line.waiters.push({amount, enteredAt: this.#context.clock.now(), settle});
			void this.#work(workspace, line);
		});
	}

	#line(workspace: string): Line {
		const line = this.#lines.get(workspace) ?? {waiters: [], isWorking: false, dryUntil: 0};
		this.#lines.set(workspace, line);
		return line;
	}

	#refuse(workspace: string, wait: Milliseconds): Refusal {
		this.#context.metrics.count('rate_refusals', {workspace});
		return notRun('rate-exceeded', `workspace ${workspace} is over its rate`, Math.ceil(wait));
	}

	#expectedWait(workspace: string, line: Line, amount: Tokens): Milliseconds {
		let wanted = amount;
		for (const waiter of line.waiters) {
			wanted += waiter.amount;
		}

		const missing = wanted - this.#context.tables.credit.available(workspace, this.#context.clock.now());
		const rate = this.#context.tables.credit.limitOf(workspace)?.tokensPerSecond ?? 0;
		return Math.max(missing, 0) * millisecondsPerSecond / Math.max(rate, 1);
	}

	async #work(workspace: string, line: Line): Promise<void> {
		if (line.isWorking) {
			return;
		}

		line.isWorking = true;
		while (line.waiters.length > 0) {
			const waiter = line.waiters[0]!;
			const result = await this.#serve(workspace, line, waiter);
			line.waiters.shift();
			waiter.settle(result);
		}

		line.isWorking = false;
	}

	async #serve(workspace: string, line: Line, waiter: Waiter): Promise<Result<Charge, Refusal>> {
		for (;;) {
			const now = this.#context.clock.now();
			const outcome = this.#context.tables.credit.charge(workspace, waiter.amount, now);
			if (outcome.type === 'charged') {
				return Result.ok(outcome.charge);
			}

			if (outcome.type === 'exceeds-burst') {
				return Result.err(exceedsBurst(waiter.amount));
			}

			if (now >= line.dryUntil && await this.#borrow(workspace, line, outcome.missing)) {
				continue;
			}

			const rate = Math.max(this.#context.tables.credit.limitOf(workspace)?.tokensPerSecond ?? 0, 1);
			const wait = outcome.missing * millisecondsPerSecond / rate;
			const waited = this.#context.clock.now() - waiter.enteredAt;
			if (waited + wait > this.#options.longestWait) {
				return Result.err(this.#refuse(workspace, wait));
			}

			await new Promise(resolve => {
				setTimeout(resolve, Math.max(wait, shortestPause));
			});
		}
	}

	// Peers are asked in turn for what is still missing, so that no more moves than is spent.
	async #borrow(workspace: string, line: Line, missing: Tokens): Promise<boolean> {
		let left = missing;
		for (const home of this.#lenders(workspace)) {
			const askedAt = this.#context.clock.now();
			const reply = await this.#links.peer(home)?.lendCredit({from: this.#options.self, workspace, amount: left});
			const amount = reply?.isOk === true ? reply.value.amount : 0;
			this.#context.tables.credit.receive(workspace, amount, askedAt);
			this.#context.metrics.count('credit_requests', {outcome: amount > 0 ? 'lent' : 'nothing'});
			left -= amount;
			if (left <= 0) {
				return true;
			}
		}

		line.dryUntil = this.#context.clock.now() + this.#options.dryPause;
		return false;
	}

	#lenders(workspace: string): string[] {
		const now = this.#context.clock.now();
		return this.#context.tables.credit.homesOf(workspace).filter(home => home !== this.#options.self && this.#context.tables.contact.isFresh(home, now));
	}
}

function exceedsBurst(amount: Tokens): Refusal {
	return notRun('request-exceeds-burst', `the request may take ${amount} tokens, more than the workspace's burst`);
}
