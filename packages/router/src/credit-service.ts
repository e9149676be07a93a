import {
	type Charge, type ChargeOutcome, type CreditWaitOptions, LenderEstimates, amountToBorrow, longestCreditWait, refillTime,
} from '@lacewingpoint/coordination';
import type {Milliseconds, Tokens} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import type {PeerLinks} from './peer-links.js';
import {type Refusal, notRun} from './router-error.js';
import type {RouterContext} from './router-context.js';

export type CreditServiceOptions = CreditWaitOptions & {
	readonly self: string;
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
	readonly #lenders = new LenderEstimates();
	readonly #startedAt: Milliseconds;

	constructor(context: RouterContext, links: PeerLinks, options: CreditServiceOptions) {
		this.#context = context;
		this.#links = links;
		this.#options = options;
		this.#startedAt = context.clock.now();
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
			const outcome = this.#tryCharge(workspace, amount);
			if (outcome.type !== 'short') {
				return outcome.type === 'charged' ? Result.ok(outcome.charge) : Result.err(exceedsBurst(amount));
			}
		}

		const wait = this.#expectedWait(workspace, line, amount);
		if (wait > this.#longestWait() && this.#context.clock.now() < line.dryUntil) {
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

		const {credit} = this.#context.tables;
		return refillTime(credit, workspace, wanted - credit.available(workspace, this.#context.clock.now()));
	}

	#tryCharge(workspace: string, amount: Tokens): ChargeOutcome {
		const {tables, clock} = this.#context;
		const now = clock.now();
		tables.credit.refresh(workspace, now, tables.contact.state(now) !== 'lost');
		return tables.credit.charge(workspace, amount, now);
	}

	#longestWait(): Milliseconds {
		return longestCreditWait(this.#options, this.#context.clock.now() - this.#startedAt);
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
			const outcome = this.#tryCharge(workspace, waiter.amount);
			if (outcome.type === 'charged') {
				return Result.ok(outcome.charge);
			}

			if (outcome.type === 'exceeds-burst') {
				return Result.err(exceedsBurst(waiter.amount));
			}

			if (now >= line.dryUntil && await this.#borrow(workspace, line, outcome.missing)) {
				continue;
			}

			const wait = refillTime(this.#context.tables.credit, workspace, outcome.missing);
			const waited = this.#context.clock.now() - waiter.enteredAt;
			if (waited + wait > this.#longestWait()) {
				return Result.err(this.#refuse(workspace, wait));
			}

			await new Promise(resolve => {
				setTimeout(resolve, Math.max(wait, shortestPause));
			});
		}
	}

	// Peers are asked in turn for what is still missing, so that no more moves than is soon spent.
	async #borrow(workspace: string, line: Line, missing: Tokens): Promise<boolean> {
		const {tables, clock, metrics} = this.#context;
		let left = amountToBorrow(tables.credit, workspace, missing);
		const enough = left - missing;
		for (const lender of this.#order(workspace)) {
			const askedAt = clock.now();
			const reply = await this.#links.peer(lender)?.lendCredit({from: this.#options.self, workspace, amount: left});
			const amount = reply?.isOk === true ? reply.value.amount : 0;
			tables.credit.receive(workspace, amount, askedAt);
			this.#lenders.note(workspace, lender, reply?.isOk === true ? reply.value.left : 0, clock.now());
			metrics.count('credit_requests', {outcome: amount > 0 ? 'lent' : 'nothing'});
			left -= amount;
			if (left <= enough) {
				return true;
			}
		}

		line.dryUntil = clock.now() + this.#options.dryPause;
		return false;
	}

	#order(workspace: string): string[] {
		const {tables, clock} = this.#context;
		const now = clock.now();
		const lenders = tables.credit.homesOf(workspace).filter(home => home !== this.#options.self && tables.contact.isFresh(home, now));
		return this.#lenders.order(workspace, lenders, tables.credit.limitOf(workspace)!, now);
	}
}

function exceedsBurst(amount: Tokens): Refusal {
	return notRun('request-exceeds-burst', `the request may take ${amount} tokens, more than the workspace's burst`);
}
