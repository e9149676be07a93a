import {AsyncLocalStorage} from 'node:async_hooks';
import {syncBuiltinESMExports} from 'node:module';
import timers, {setImmediate as turn} from 'node:timers/promises';
import {createLeaseTiming} from '@lacewingpoint/coordination';
import type {Configuration, ServerEntry} from '@lacewingpoint/routing';
import {type RandomSource, createSeededRandom, silentLogger} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {
	type ChangeBatch, type ControlStore, type RestoreListener, type StateChange, type StoreError, type StoreItem, ClusterState, StoreWatch,
} from '../src/index.js';
import {WeightsLease, leaseHolderKey} from '../src/weights/weights-lease.js';

export const leaseTiming = createLeaseTiming(3000, 1000, 400);
const controlInterval = 100;
const longestCall = 150;
const revisionsPerEra = 2 ** 40;

type Stored = {readonly value: unknown; readonly revision: number; readonly lease: number};
type StoreCopy = {readonly items: ReadonlyMap<string, Stored>; readonly leases: readonly number[]; readonly revision: number};
type Answer<Value> = Result<Value, StoreError>;
export type Order = {readonly holder: string; readonly arrival: number};

const fail = <Value>(code: StoreError['code']): Answer<Value> => Result.err({layer: 'platform', code, message: code});

/** The host whose code runs, so that its timers stand still while its machine is suspended. */
const runningHost = new AsyncLocalStorage<SimulatedHost>();

/** A store in memory with leases and eras, and hosts with their own clocks, in simulated time. */
export class RestoredStoreSimulation {
	now = 0;
	era = 1;
	revision = 1;
	items = new Map<string, Stored>();
	readonly leases = new Map<number, number>();
	readonly orders: Order[] = [];
	readonly hosts: SimulatedHost[];
	readonly random: RandomSource;
	#nextLease = 1;
	#history: Array<{readonly revision: number; readonly change: StateChange}> = [];
	readonly #events: Array<{readonly at: number; readonly run: () => void}> = [];
	readonly #watchers: Array<() => void> = [];

	constructor(seed: number, hostCount: number) {
		this.random = createSeededRandom(seed);
		this.hosts = Array.from({length: hostCount}, (_, index) => new SimulatedHost(this, `host-${index}`));
	}

	schedule(delay: number, run: () => void): void {
		// Whole milliseconds, so that differences of times are exact.
		const at = this.now + Math.ceil(delay);
		const index = this.#events.findLastIndex(event => event.at <= at);
		this.#events.splice(index + 1, 0, {at, run});
	}

	async run(duration: number): Promise<void> {
		const end = this.now + duration;
		while (this.#events.length > 0 && this.#events[0]!.at <= end) {
			const event = this.#events.shift()!;
			this.now = event.at;
			event.run();
			await turn();
		}

		this.now = end;
	}

	copy(): StoreCopy {
		return {items: new Map(this.items), leases: [...this.leases.keys()], revision: this.revision};
	}

	/** Restores a copy: later writes and leases are gone, revisions are assigned again, and leases of the copy run anew. */
	restore(copy: StoreCopy): void {
		this.era++;
		this.items = new Map(copy.items);
		this.revision = copy.revision;
		this.#history = [];
		this.leases.clear();
		for (const lease of copy.leases) {
			this.extendLease(lease);
		}
	}

	put(key: string, value: unknown, lease = 0): void {
		this.revision++;
		this.items.set(key, {value, revision: this.revision, lease});
		this.#recordChange(describeItem(key, value, this.toRevision(this.revision)));
	}

	toRevision(revision: number): number {
		return (this.era * revisionsPerEra) + revision;
	}

	grantLease(): number {
		const lease = this.#nextLease++;
		this.extendLease(lease);
		return lease;
	}

	extendLease(lease: number): void {
		const endsAt = this.now + leaseTiming.timeToLive;
		this.leases.set(lease, endsAt);
		this.schedule(leaseTiming.timeToLive, () => {
			if (this.leases.get(lease) === endsAt) {
				this.endLease(lease);
			}
		});
	}

	endLease(lease: number): void {
		this.leases.delete(lease);
		for (const [key, item] of this.items) {
			if (item.lease === lease) {
				this.items.delete(key);
				this.revision++;
				this.#recordChange(key === leaseHolderKey ? {type: 'holder', revision: this.toRevision(this.revision), holder: undefined} : undefined);
			}
		}
	}

	readAll(): ChangeBatch {
		const changes = [...this.items].flatMap(([key, {value, revision}]) => describeItem(key, value, this.toRevision(revision)) ?? []);
		const revision = this.toRevision(this.revision);
		return {revision, changes: [...changes, ...(this.items.has(leaseHolderKey) ? [] : [{type: 'holder', revision, holder: undefined} as const])]};
	}

	/** @returns The changes after a revision; `undefined` if there are none yet. */
	changesAfter(after: number): ChangeBatch | undefined {
		const changes = this.#history.filter(({revision}) => revision > after).map(({change}) => change);
		return changes.length === 0 ? undefined : {changes, revision: this.toRevision(this.revision)};
	}

	onChange(listener: () => void): void {
		this.#watchers.push(listener);
	}

	#recordChange(change: StateChange | undefined): void {
		if (change !== undefined) {
			this.#history.push({revision: this.toRevision(this.revision), change});
		}

		for (const watcher of this.#watchers.splice(0)) {
			watcher();
		}
	}
}

function describeItem(key: string, value: unknown, revision: number): StateChange | undefined {
	if (key === leaseHolderKey) {
		return {type: 'holder', revision, holder: value as string};
	}

	if (key === 'configuration') {
		return {type: 'configuration', revision, configuration: value as Configuration};
	}

	return key.startsWith('servers/') ? {type: 'server', revision, entry: value as ServerEntry} : undefined;
}

/** A host with the classes that follow the store and hold the lease, as the host program connects them. */
export class SimulatedHost {
	clusterState!: ClusterState;
	lease!: WeightsLease;
	watch!: StoreWatch;
	/** The newest era that this host has seen. */
	era = 0;
	readonly #simulation: RestoredStoreSimulation;
	readonly #name: string;
	#process = 0;
	#suspendedUntil = 0;
	#suspendedTime = 0;

	constructor(simulation: RestoredStoreSimulation, name: string) {
		this.#simulation = simulation;
		this.#name = name;
		this.start();
	}

	/** The monotonic clock, which stands still during a suspension. */
	get steady(): number {
		return this.#simulation.now - this.#suspendedTime + Math.max(this.#suspendedUntil - this.#simulation.now, 0);
	}

	get isSuspended(): boolean {
		return this.#simulation.now < this.#suspendedUntil;
	}

	suspend(duration: number): void {
		if (!this.isSuspended) {
			this.#suspendedUntil = this.#simulation.now + duration;
			this.#suspendedTime += duration;
		}
	}

	/** Starts the host's process, or ends it as a crash would and starts the next one. */
	start(): void {
		const process = ++this.#process;
		this.watch?.dispose();
		this.lease?.stopCampaigning();
		this.era = 0;
		runningHost.run(this, () => {
			const now = () => this.steady;
			const random = this.#simulation.random;
			const listeners: RestoreListener[] = [];
			const store = this.#connect(listeners, process);
			const clusterState = new ClusterState(silentLogger, now, () => 15_000, {
				onServersChanged() {/* No requests wait here. */}, onServerRemoved() {/* There are no connections. */}, onStateChanged() {/* The test sends the messages. */},
				onLeaseHolderRead(holder) {
					lease.updateHolder(holder);
				},
			});
			const lease = new WeightsLease({
				hostName: this.#name, leaseTiming, store, log: silentLogger, random, now, wallClock: () => this.#simulation.now,
			});
			const watch = new StoreWatch({
				store, clusterState, log: silentLogger, random, now, earliestArrival: now,
			});
			listeners.push(era => {
				clusterState.servers.recordStoreRestored(now());
				watch.handleRestore();
				lease.handleRestore(era);
			});
			Object.assign(this, {clusterState, lease, watch});
			watch.start();
			this.#control(process);
		});
	}

	/** Stops the host's process in an orderly way and starts the next one. */
	async restart(): Promise<void> {
		if (!this.isSuspended) {
			const {lease} = this;
			this.watch.dispose();
			await runningHost.run(this, async () => lease.release());
			this.start();
		}
	}

	/** Runs a function of this host once its monotonic clock has advanced, after the end of a suspension. */
	runAfter(delay: number, run: () => void): void {
		const dueAt = this.steady + Math.ceil(delay);
		const check = () => {
			if (this.isSuspended) {
				this.#simulation.schedule(this.#suspendedUntil - this.#simulation.now, check);
			} else if (this.steady < dueAt) {
				this.#simulation.schedule(dueAt - this.steady, check);
			} else {
				runningHost.run(this, run);
			}
		};

		this.#simulation.schedule(delay, check);
	}

	#control(process: number): void {
		this.runAfter(controlInterval, () => {
			if (process !== this.#process) {
				return;
			}

			this.lease.renewOrExpire();
			this.clusterState.removeExpiredServers();
			if (this.lease.mayGiveOrders) {
				this.lease.recordOrder();
				this.#simulation.orders.push({holder: this.#name, arrival: this.#simulation.now + (this.#simulation.random.next() * leaseTiming.operationTimeout)});
			}

			this.#control(process);
		});
	}

	#connect(listeners: readonly RestoreListener[], process: number): ControlStore {
		const simulation = this.#simulation;
		let era = 0;
		// The response states the era in which the store executed the call; one of an earlier era is dropped.
		const call = async <Value>(execute: (respond: (answer: Answer<Value>) => void) => void) => new Promise<Answer<Value>>(resolve => {
			simulation.schedule(1 + (simulation.random.next() * longestCall), () => {
				execute(answer => {
					const responseEra = simulation.era;
					this.runAfter(1 + (simulation.random.next() * longestCall), () => {
						const previousEra = era;
						era = Math.max(era, responseEra);
						if (process === this.#process) {
							this.era = era;
						}

						if (previousEra > 0 && era > previousEra) {
							for (const listener of listeners) {
								listener(era, previousEra);
							}
						}

						resolve(responseEra < era ? fail('unknown') : answer);
					});
				});
			});
		});
		const isOfEra = (revision: number) => Math.floor(revision / revisionsPerEra) === era;
		return {
			get era() {
				return era;
			},
			onRestored() {/* The host passes its listener to the connection. */},
			readAll: async () => call(respond => {
				respond(Result.ok(simulation.readAll()));
			}),
			watch: async (after, waitTime) => isOfEra(after)
				? call(respond => {
					let isAnswered = false;
					const answer = (isLast: boolean) => {
						const batch = simulation.changesAfter(after);
						const isLost = Math.floor(after / revisionsPerEra) !== simulation.era;
						if (isAnswered || (batch === undefined && !isLast && !isLost)) {
							if (!isAnswered) {
								simulation.onChange(() => {
									answer(false);
								});
							}

							return;
						}

						isAnswered = true;
						respond(isLost ? fail('history-lost') : Result.ok(batch ?? {changes: [], revision: simulation.toRevision(simulation.revision)}));
					};

					answer(false);
					simulation.schedule(waitTime, () => {
						answer(true);
					});
				})
				: fail('history-lost'),
			read: async key => call<StoreItem | undefined>(respond => {
				const item = simulation.items.get(key);
				respond(Result.ok(item === undefined ? undefined : {value: item.value as string, revision: simulation.toRevision(item.revision)}));
			}),
			async write(writes) {
				const eraBefore = era;
				if (writes.some(({expectedRevision}) => expectedRevision > 0 && !isOfEra(expectedRevision))) {
					return Result.ok(undefined);
				}

				return call<number | undefined>(respond => {
					if (writes.some(({key, expectedRevision}) => (simulation.items.get(key)?.revision ?? 0) !== expectedRevision % revisionsPerEra)) {
						respond(Result.ok(undefined));
						return;
					}

					if (writes.some(({lease}) => lease !== undefined && !simulation.leases.has(lease))) {
						respond(fail('lease-ended'));
						return;
					}

					for (const {key, value, lease} of writes) {
						simulation.put(key, value, lease);
					}

					const isUncertain = simulation.era !== eraBefore && writes.some(({expectedRevision}) => expectedRevision > 0);
					respond(isUncertain ? fail('unknown') : Result.ok(simulation.toRevision(simulation.revision)));
				});
			},
			registerHost: async () => Result.ok(undefined),
			grantLease: async () => call(respond => {
				respond(Result.ok(simulation.grantLease()));
			}),
			renewLease: async lease => call(respond => {
				if (!simulation.leases.has(lease)) {
					respond(fail('lease-ended'));
					return;
				}

				simulation.extendLease(lease);
				respond(Result.ok(undefined));
			}),
			revokeLease: async lease => call(respond => {
				simulation.endLease(lease);
				respond(Result.ok(undefined));
			}),
		};
	}
}

/** Lets `setTimeout` of `node:timers/promises` follow the monotonic clock of the simulated host that calls it; other callers, such as other tests, get real timers. */
export function simulateTimers(): void {
	const realPause = timers.setTimeout;
	const pause: typeof realPause = async (delay, value, options) => {
		const host = runningHost.getStore();
		if (host === undefined) {
			return realPause(delay, value, options);
		}

		return new Promise(resolve => {
			host.runAfter(delay ?? 0, () => {
				resolve(value!);
			});
		});
	};

	Object.assign(timers, {setTimeout: pause});
	syncBuiltinESMExports();
}
