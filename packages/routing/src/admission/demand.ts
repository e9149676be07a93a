import {type Milliseconds, millisecondsPerSecond} from '@lacewingpoint/shared';

/** Requests of one admission level that wait for capacity or were turned away just now. */
export type WaitingDemand = {readonly requests: number; readonly size: number};

/** What the requests of one workspace and rank ask of a service, and what servers have taken, in units of size per second. */
export type Usage = {readonly offered: number; readonly admitted: number};

/** The demand for one service, of one host or of several. */
export type ServiceDemand = {
	/** By admission level. */
	readonly waiting: ReadonlyMap<number, WaitingDemand>;
	/** By rank, then by workspace; the empty name stands for all workspaces that are not named. */
	readonly usage: ReadonlyMap<number, ReadonlyMap<string, Usage>>;
};

/** Demand by service. */
export type Demand = ReadonlyMap<string, ServiceDemand>;

export const noServiceDemand: ServiceDemand = {waiting: new Map(), usage: new Map()};

const noUsage: Usage = {offered: 0, admitted: 0};

/** Sums that are smaller than this are rounding errors of subtractions. */
const smallestValue = 0.01;

/** Name under which the usage of workspaces that are not named is summed up. */
export const otherWorkspaces = '';

/**
 * Adds a share of one demand to another one; a negative share subtracts.
 *
 * @param left - A demand.
 * @param right - The demand to be added.
 * @param share - The factor of each value of `right`.
 * @returns The sum; never negative.
 */
export function addDemand(left: Demand, right: Demand, share = 1): Demand {
	const sum = new Map(left);
	for (const [service, {waiting, usage}] of right) {
		const known = sum.get(service) ?? noServiceDemand;
		sum.set(service, {
			waiting: mergeMaps(known.waiting, waiting, (value, added) => ({
				requests: addValue(value?.requests, added.requests * share), size: addValue(value?.size, added.size * share),
			})),
			usage: mergeMaps(known.usage, usage, (value, added) => mergeMaps(value ?? new Map<string, Usage>(), added, (entry, addedEntry) => ({
				offered: addValue(entry?.offered, addedEntry.offered * share), admitted: addValue(entry?.admitted, addedEntry.admitted * share),
			}))),
		});
	}

	return sum;
}

/**
 * Bounds the size of an announcement: the workspaces with the largest usage keep their names, the others are summed up.
 *
 * @param demand - The demand.
 * @param largest - The number of workspaces of a service and rank that keep their names.
 * @returns The demand with at most one more entry for each service and rank.
 */
export function summarizeDemand(demand: Demand, largest: number): Demand {
	return new Map([...demand].map(([service, {waiting, usage}]) => [service, {
		waiting: new Map([...waiting].filter(([, {requests}]) => requests > 0)),
		usage: new Map([...usage].map(([rank, workspaces]) => [rank, summarizeWorkspaces(workspaces, largest)])),
	}]));
}

/** An exponentially decaying rate, so that rates of several hosts can be added. */
export class DecayingRate {
	readonly #period: Milliseconds;
	#sum = 0;
	#updatedAt = 0;

	/**
	 * @param period - After this time, an event counts for 1/e.
	 */
	constructor(period: Milliseconds) {
		this.#period = period;
	}

	/**
	 * Counts an event.
	 *
	 * @param size - Its size.
	 * @param now - Current monotonic time.
	 */
	add(size: number, now: Milliseconds): void {
		this.#sum = this.#decayedSum(now) + size;
		this.#updatedAt = now;
	}

	/**
	 * Reads the rate.
	 *
	 * @param now - Current monotonic time.
	 * @returns Size per second.
	 */
	perSecond(now: Milliseconds): number {
		return this.#decayedSum(now) * millisecondsPerSecond / this.#period;
	}

	#decayedSum(now: Milliseconds): number {
		return this.#sum * Math.exp(-Math.max(now - this.#updatedAt, 0) / this.#period);
	}
}

function summarizeWorkspaces(workspaces: ReadonlyMap<string, Usage>, largest: number): ReadonlyMap<string, Usage> {
	const inOrder = [...workspaces].filter(([name, {offered}]) => name !== otherWorkspaces && offered > 0).toSorted(([, left], [, right]) => right.offered - left.offered);
	const others = [...inOrder.slice(largest).map(([, usage]) => usage), workspaces.get(otherWorkspaces) ?? noUsage];
	const sum = {offered: sumOf(others.map(({offered}) => offered)), admitted: sumOf(others.map(({admitted}) => admitted))};
	return new Map([...inOrder.slice(0, largest), ...(sum.offered > 0 ? [[otherWorkspaces, sum] as const] : [])]);
}

function mergeMaps<Key, Value>(left: ReadonlyMap<Key, Value>, right: ReadonlyMap<Key, Value>, merge: (known: Value | undefined, added: Value) => Value): ReadonlyMap<Key, Value> {
	const merged = new Map(left);
	for (const [key, value] of right) {
		merged.set(key, merge(merged.get(key), value));
	}

	return merged;
}

function addValue(value: number | undefined, added: number): number {
	const sum = (value ?? 0) + added;
	return sum < smallestValue ? 0 : sum;
}

function sumOf(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}
