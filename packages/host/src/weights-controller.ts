import {setTimeout as pause} from 'node:timers/promises';
import {type RolloutRow, type ServerEntry, WeightsRollout} from '@lacewingpoint/routing';
import {
	type Disposable, type Logger, type Metrics, type Milliseconds, type RandomSource, describeError, messageOf,
} from '@lacewingpoint/shared';
import * as v from 'valibot';
import type {BackendConnections} from './backend-connections.js';
import type {Beliefs} from './beliefs.js';
import type {HostLinks} from './host-links.js';
import type {
	BackendProtocol, ControlStore, HeaderList, WeightsReport,
} from './ports.js';

export const holderKey = 'lacewingpoint/weights/holder';
export const termKey = 'lacewingpoint/weights/term';

const tickInterval: Milliseconds = 100;

/** The lease is renewed this many times within its length. */
const renewalsPerLease = 3;

/** Orders stop this long before the lease could end, for what an order takes on its way. */
const leaseMargin: Milliseconds = 500;

/** What a new holder adds to the pause after the last order of the one before. */
const turnMargin: Milliseconds = 150;

/** Hosts that see the lease free wait up to this long, so that they do not all write at once. */
const electionSpread: Milliseconds = 150;

/** Hosts that have run longer leave the lease to others by up to this: in a restart of all in turn they are the next to go. */
const seniorityPause: Milliseconds = 250;
const seniorAfter: Milliseconds = 30_000;

/** An order without effect is given again after this long: unanswered ones may act for some ten seconds. */
const orderExpiry: Milliseconds = 8000;

/** Time for the peers to stop sending to a server that is about to load weights. */
const noticeTime: Milliseconds = 30;

/** How often a server that loads weights is asked whether it has them. */
const pollInterval: Milliseconds = 200;

const callTimeout: Milliseconds = 400;

/** A server that did not answer a call of the roll-out is left alone this long. */
const failurePause: Milliseconds = 500;

type Tenure = {
	readonly lease: number;
	readonly term: number;
	/** The store's revision of the term's record. */
	readonly termRevision: number;
	/** Orders may be given from here on: the holder before has stopped by then. */
	readonly ordersFrom: Milliseconds;
	/** When the renewal was sent that succeeded last. */
	renewedAt: Milliseconds;
	renewalSentAt: Milliseconds;
};

/** A server and the weights that it is to load, now or next. */
type RolloutStep = {
	readonly entry: ServerEntry;
	readonly row: RolloutRow;
	readonly model: string;
	readonly version: number;
	readonly isDue: boolean;
};

type CallAnswer = {readonly status: number; readonly body: string};

export type WeightsControllerOptions = {
	readonly name: string;
	readonly leaseTime: Milliseconds;
	readonly store: ControlStore;
	readonly beliefs: Beliefs;
	readonly links: HostLinks;
	readonly connections: BackendConnections;
	readonly backend: BackendProtocol;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly random: RandomSource;
	readonly now: () => Milliseconds;
};

/** Brings the model servers to the named weights, while this host holds the lease that allows it to give orders. */
export class WeightsController implements Disposable {
	readonly #options: WeightsControllerOptions;
	readonly #rollout = new WeightsRollout({shareAtOnce: 0.25, orderExpiry});
	readonly #underway = new Set<string>();
	readonly #loading = new Set<string>();
	readonly #pausedUntil = new Map<string, Milliseconds>();
	readonly #startedAt: Milliseconds;
	#lastOrderAt = Number.NEGATIVE_INFINITY;
	#tenure: Tenure | undefined;
	#holder: string | undefined;
	#isElecting = false;
	#isRenewing = false;
	#isStopped = false;
	#isLeaving = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: WeightsControllerOptions) {
		this.#options = options;
		this.#startedAt = options.now();
	}

	/** Whether this host has servers still to bring to the named weights. */
	get hasWork(): boolean {
		return this.#tenure !== undefined && (this.#underway.size > 0 || this.#loading.size > 0 || this.#steps().some(step => step.isDue));
	}

	/** Starts the rounds. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#tick();
		}, tickInterval);
	}

	/**
	 * Takes over who holds the lease, as the store tells.
	 *
	 * @param holder - The host's name; nothing when the lease is free.
	 */
	noteHolder(holder: string | undefined): void {
		if (holder !== this.#holder) {
			this.#options.log.info('weights-holder', {holder, before: this.#holder});
		}

		this.#holder = holder;
		// Its own name without a tenure is that of this host before its restart.
		if (holder === undefined || holder === this.#options.name) {
			void this.#elect();
		}
	}

	/** Leaves the lease to others if it becomes free: this host is about to stop. */
	stopElecting(): void {
		this.#isLeaving = true;
	}

	/** Gives the lease back and tells how long ago the last order was given, so that the next holder waits no longer than it must. */
	async release(): Promise<void> {
		this.#isStopped = true;
		clearInterval(this.#timer);
		const tenure = this.#tenure;
		this.#tenure = undefined;
		if (tenure === undefined) {
			return;
		}

		const {store, name, now} = this.#options;
		const quiet = Math.min(now() - this.#lastOrderAt, this.#options.leaseTime);
		await store.write([{key: termKey, value: JSON.stringify({term: tenure.term, holder: name, quiet}), expected: tenure.termRevision}]);
		await store.endLease(tenure.lease);
	}

	dispose(): void {
		this.#isStopped = true;
		clearInterval(this.#timer);
	}

	#tick(): void {
		const tenure = this.#tenure;
		if (tenure === undefined) {
			return;
		}

		const {leaseTime, now, log} = this.#options;
		if (now() > tenure.renewedAt + leaseTime) {
			this.#tenure = undefined;
			log.warn('weights-lease-lost', {term: tenure.term});
			return;
		}

		if (!this.#isRenewing && now() - tenure.renewalSentAt >= leaseTime / renewalsPerLease) {
			void this.#renew(tenure);
		}

		if (this.#mayOrder(tenure)) {
			this.#orderDue(tenure);
		}
	}

	#mayOrder(tenure: Tenure): boolean {
		const {leaseTime, now} = this.#options;
		return this.#tenure === tenure && !this.#isStopped && now() >= tenure.ordersFrom && now() < tenure.renewedAt + leaseTime - leaseMargin;
	}

	async #renew(tenure: Tenure): Promise<void> {
		const {store, now, log} = this.#options;
		this.#isRenewing = true;
		const sentAt = now();
		tenure.renewalSentAt = sentAt;
		const renewed = await store.renewLease(tenure.lease);
		this.#isRenewing = false;
		if (renewed.isOk) {
			tenure.renewedAt = sentAt;
		} else if (renewed.error.code === 'lease-ended' && this.#tenure === tenure) {
			this.#tenure = undefined;
			log.warn('weights-lease-lost', {term: tenure.term, reason: describeError(renewed.error)});
		}
	}

	async #elect(): Promise<void> {
		if (this.#isElecting || this.#tenure !== undefined) {
			return;
		}

		const {random, now, name} = this.#options;
		this.#isElecting = true;
		const seniority = Math.min((now() - this.#startedAt) / seniorAfter, 1) * seniorityPause;
		await pause(seniority + (random.next() * electionSpread));
		while ((this.#holder === undefined || this.#holder === name) && this.#tenure === undefined && !this.#isStopped && !this.#isLeaving) {
			if (!await this.#tryToHold()) {
				await pause(electionSpread * (1 + random.next()));
			}
		}

		this.#isElecting = false;
	}

	/** @returns Whether the lease has a holder now, this host or another. */
	async #tryToHold(): Promise<boolean> {
		const {store, name, leaseTime, log, now} = this.#options;
		const last = await store.read(termKey);
		const held = await store.read(holderKey);
		if (last.isErr || held.isErr) {
			return false;
		}

		if (held.value !== undefined && held.value.value !== name) {
			this.#holder = held.value.value;
			return true;
		}

		const before = last.value === undefined ? undefined : readTerm(last.value.value);
		const sentAt = now();
		const lease = await store.grantLease(leaseTime);
		if (lease.isErr) {
			return false;
		}

		const term = (before?.term ?? 0) + 1;
		const written = await store.write([
			{
				key: holderKey, value: name, expected: held.value?.revision ?? 0, lease: lease.value,
			},
			{key: termKey, value: JSON.stringify({term, holder: name, quiet: 0}), expected: last.value?.revision ?? 0},
		]);
		if (written.isErr || written.value === undefined) {
			await store.endLease(lease.value);
			return false;
		}

		// The holder before may have given an order just before it lost the lease.
		const ordersIn = before === undefined || before.holder === name ? 0 : Math.max(leaseTime - before.quiet, 0) + turnMargin;
		this.#holder = name;
		this.#tenure = {
			lease: lease.value, term, termRevision: written.value, ordersFrom: now() + ordersIn, renewedAt: sentAt, renewalSentAt: sentAt,
		};
		log.info('weights-lease-held', {
			term, before: before?.holder, quiet: before?.quiet, ordersIn,
		});
		return true;
	}

	#orderDue(tenure: Tenure): void {
		for (const step of this.#steps()) {
			if (step.isDue) {
				void this.#order(tenure, step);
			} else {
				this.#options.beliefs.weights.noteEmptying(step.entry.id, this.#options.now());
				this.#options.links.noteEmptying(step.entry.id);
			}
		}
	}

	#steps(): RolloutStep[] {
		const {beliefs, now} = this.#options;
		return [...beliefs.weights.allNamed().keys()].flatMap(model => {
			const wanted = beliefs.weights.wanted(model)?.version ?? 0;
			const entries = beliefs.servers.all().map(({entry}) => entry).filter(entry => model in entry.weights && !entry.isDraining);
			const rows = entries.map(entry => this.#row(entry, model));
			const {due, upcoming} = this.#rollout.plan(wanted, rows, now());
			return [...due, ...upcoming].map(row => ({
				entry: entries.find(candidate => candidate.id === row.server)!, row, model, version: wanted, isDue: due.includes(row),
			}));
		});
	}

	#row(entry: ServerEntry, model: string): RolloutRow {
		const {beliefs, now} = this.#options;
		return {
			server: entry.id,
			incarnation: entry.incarnation,
			weightsVersion: beliefs.weightsAt(entry, model),
			requests: beliefs.loads.total(entry.id, now()).requests,
			isBusy: this.#loading.has(entry.id),
			isEmptying: beliefs.weights.isEmptying(entry.id, now()),
			isUsable: !this.#underway.has(entry.id) && beliefs.health.judge(entry.id, now()) !== 'paused' && now() >= (this.#pausedUntil.get(entry.id) ?? 0),
		};
	}

	async #order(tenure: Tenure, step: RolloutStep): Promise<void> {
		const {entry, row, model, version} = step;
		const {beliefs, links, backend, name, log, metrics, now} = this.#options;
		this.#underway.add(entry.id);
		this.#rollout.noteOrder(row, version, now());
		beliefs.weights.noteLoading(entry.id, now() + orderExpiry, now());
		links.noteLoading(entry.id, orderExpiry);
		await pause(noticeTime);
		const report = await this.#report(entry);
		if (report === undefined || !this.#mayOrder(tenure)) {
			// Others take its turn: a silent server must not hold up the roll-out.
			this.#rollout.noteRefusal(entry.id);
			beliefs.health.noteUnreachable(entry.id, now());
			this.#orderFailed(entry, 'no report');
			return;
		}

		if ((report.weights[model] ?? 0) >= version) {
			this.#underway.delete(entry.id);
			this.#noteWeights(entry, model, report.weights[model]!);
			return;
		}

		if (report.isLoading) {
			this.#underway.delete(entry.id);
			void this.#poll(entry, model, version);
			return;
		}

		metrics.count('orders', {model});
		this.#lastOrderAt = now();
		const answer = await this.#call(entry, 'POST', backend.orderPath, backend.orderBody({
			model, version, holder: name, fencingToken: tenure.term, expectedOrders: report.orders,
		}));
		this.#underway.delete(entry.id);
		log.info('order', {
			server: entry.id, model, version, term: tenure.term, expected: report.orders, status: answer?.status ?? 'none', requests: row.requests, age: Math.round(beliefs.weights.outdatedFor(model, version - 1, now())),
		});
		if (answer !== undefined && answer.status !== 202 && answer.status !== 200) {
			this.#rollout.noteRefusal(entry.id);
			this.#orderFailed(entry, `status ${answer.status}`);
			return;
		}

		void this.#poll(entry, model, version);
	}

	#orderFailed(entry: ServerEntry, reason: string): void {
		const {beliefs, now, log} = this.#options;
		this.#underway.delete(entry.id);
		this.#pausedUntil.set(entry.id, now() + failurePause);
		beliefs.weights.noteLoading(entry.id, 0, now());
		this.#options.links.noteLoading(entry.id, 0);
		log.info('order-failed', {server: entry.id, reason});
	}

	async #poll(entry: ServerEntry, model: string, version: number): Promise<void> {
		if (this.#loading.has(entry.id)) {
			return;
		}

		const {beliefs, now} = this.#options;
		const until = now() + orderExpiry;
		this.#loading.add(entry.id);
		let idlePolls = 0;
		while (now() < until && !this.#isStopped && beliefs.servers.entryOf(entry.id)?.incarnation === entry.incarnation) {
			await pause(pollInterval);
			const report = await this.#report(entry);
			const seen = report?.weights[model] ?? 0;
			if (seen >= version) {
				this.#loading.delete(entry.id);
				this.#noteWeights(entry, model, seen);
				return;
			}

			// Reports lag by some hundred milliseconds; a server idle for longer has not taken the order.
			idlePolls = report !== undefined && !report.isLoading ? idlePolls + 1 : 0;
			if (idlePolls > 5) {
				break;
			}
		}

		this.#loading.delete(entry.id);
		// A host that stops leaves the servers that load to the next holder.
		if (!this.#isStopped) {
			this.#rollout.noteRefusal(entry.id);
			this.#orderFailed(entry, 'the order had no effect');
		}
	}

	#noteWeights(entry: ServerEntry, model: string, version: number): void {
		this.#rollout.noteRefusal(entry.id);
		this.#options.beliefs.noteWeights(entry.id, model, version);
		this.#options.beliefs.weights.noteLoading(entry.id, 0, this.#options.now());
		this.#options.links.noteWeights(entry.id, model, version);
		this.#options.links.noteLoading(entry.id, 0);
	}

	async #report(entry: ServerEntry): Promise<WeightsReport | undefined> {
		const {backend, log, metrics} = this.#options;
		metrics.count('reports');
		const answer = await this.#call(entry, 'GET', backend.reportPath, undefined);
		if (answer?.status !== 200) {
			return undefined;
		}

		let body: unknown;
		try {
			body = JSON.parse(answer.body);
		} catch (error) {
			log.warn('report-unreadable', {server: entry.id, reason: messageOf(error)});
			return undefined;
		}

		const report = backend.readReport(body);
		if (report.isErr) {
			log.warn('report-unreadable', {server: entry.id, reason: describeError(report.error)});
			return undefined;
		}

		return report.value;
	}

	async #call(entry: ServerEntry, method: string, target: string, body: string | undefined): Promise<CallAnswer | undefined> {
		const {connections, backend} = this.#options;
		const headers: HeaderList = backend.callHeaders(entry.id);
		return new Promise(resolve => {
			let status = 0;
			const chunks: Uint8Array[] = [];
			const exchange = connections.send(entry, {
				method, target, headers: body === undefined ? headers : [...headers, 'Content-Type', 'application/json'], body: body === undefined ? undefined : Buffer.from(body),
			}, {
				onHead(headStatus) {
					status = headStatus;
				},
				onData(chunk) {
					chunks.push(chunk);
				},
				onEnd() {
					clearTimeout(timer);
					resolve({status, body: Buffer.concat(chunks).toString('utf8')});
				},
				onFailure() {
					clearTimeout(timer);
					resolve(undefined);
				},
			});
			const timer = setTimeout(() => {
				exchange.abort();
				resolve(undefined);
			}, callTimeout);
		});
	}
}

type TermRecord = {readonly term: number; readonly holder: string; readonly quiet: Milliseconds};

function readTerm(text: string): TermRecord | undefined {
	const checked = v.safeParse(v.object({term: v.number(), holder: v.string(), quiet: v.optional(v.number(), 0)}), JSON.parse(text));
	return checked.success ? checked.output : undefined;
}
