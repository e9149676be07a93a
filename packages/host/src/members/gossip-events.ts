import type {HostReportChanges, NamedLimit} from '@lacewingpoint/coordination';
import type {
	ExecutedPart, PaceReport, StreamOriginReport, SuspectCrash,
} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {HostMessage, PromptPlacement} from './host-messages.js';

/** Limits on the content of a datagram that keep it from being fragmented. */
const limits = {
	placements: 12, servers: 40, crashes: 24, limits: 24, executed: 40, origins: 48, hosts: 5, departed: 40, updates: 4, paces: 8,
} as const;

/** Summaries of more servers than this are dropped rather than queued for one peer; others follow. */
const queuedPaces = 64;

/** A crash with the time at which this host learned of it. */
export type RecordedCrash = {readonly crash: SuspectCrash; readonly recordedAt: Milliseconds};

type StateVersionUpdate = HostMessage['updates'][number];

/** The events of a message; unlike charges and loads, each is sent once. */
export type GossipEvents = Pick<HostMessage, 'placements' | 'weights' | 'loading' | 'unreachable' | 'leaving' | 'emptying' | 'deaths' | 'limits' | 'origins' | 'executed' | 'paces' | 'hosts' | 'departed' | 'updates'>;

/** The content of a message without events. */
export const noEvents: GossipEvents = {
	placements: [], weights: [], loading: [], unreachable: [], leaving: [], emptying: [], deaths: [], limits: [], origins: [], executed: [], paces: [], hosts: [], departed: [], updates: [],
};

/** Events that wait to be sent to one peer. */
export class GossipEventQueue {
	readonly #placements: PromptPlacement[] = [];
	readonly #crashes: RecordedCrash[] = [];
	readonly #limits: Array<{readonly limit: NamedLimit; readonly recordedAt: Milliseconds}> = [];
	readonly #origins: Array<{readonly service: string; readonly version: string; readonly stream: number}> = [];
	/** When the last response began that a server survived, by prompt part. */
	readonly #executedAt = new Map<number, Milliseconds>();
	readonly #paces = new Map<string, PaceReport>();
	#hosts: HostMessage['hosts'] = [];
	#departed: string[] = [];
	readonly #updates: Array<{readonly update: StateVersionUpdate; readonly recordedAt: Milliseconds}> = [];
	readonly #weights: HostMessage['weights'] = [];
	readonly #loading: HostMessage['loading'] = [];
	readonly #draining = new Set<string>();
	readonly #unreachable = new Set<string>();
	readonly #leaving: HostMessage['leaving'] = [];

	get isEmpty(): boolean {
		return !this.#hasEvents;
	}

	/**
	 * Adds events of a message from another peer.
	 *
	 * @param events - The events to forward.
	 */
	forward(events: Pick<GossipEvents, 'placements' | 'weights' | 'loading' | 'unreachable' | 'leaving' | 'emptying' | 'paces'>): void {
		this.#placements.push(...events.placements);
		this.#weights.push(...events.weights);
		this.#loading.push(...events.loading);
		this.#leaving.push(...events.leaving);
		this.#addPaces(events.paces);
		for (const server of events.unreachable) {
			this.#unreachable.add(server);
		}

		for (const server of events.emptying) {
			this.#draining.add(server);
		}
	}

	/**
	 * Adds crashes of servers.
	 *
	 * @param crashes - The crashes, with the time at which this host learned of them.
	 */
	addCrashes(crashes: readonly RecordedCrash[]): void {
		this.#crashes.push(...crashes);
	}

	/**
	 * Adds limits that servers have named or ended.
	 *
	 * @param limits - The limits.
	 * @param now - Current monotonic time.
	 */
	addLimits(limits: readonly NamedLimit[], now: Milliseconds): void {
		this.#limits.push(...limits.map(limit => ({limit, recordedAt: now})));
	}

	/**
	 * Adds the software versions at which streams began.
	 *
	 * @param reports - The streams.
	 */
	addOrigins(reports: readonly StreamOriginReport[]): void {
		this.#origins.push(...reports.flatMap(({service, version, streams}) => streams.map(stream => ({service, version, stream}))));
	}

	/**
	 * Adds prompt parts that a server has executed; a later execution replaces an earlier one.
	 *
	 * @param executed - The parts.
	 * @param now - Current monotonic time.
	 */
	addExecutedParts(executed: readonly ExecutedPart[], now: Milliseconds): void {
		for (const {part, age} of executed) {
			this.#executedAt.set(part, Math.max(now - age, this.#executedAt.get(part) ?? Number.NEGATIVE_INFINITY));
		}
	}

	/**
	 * Adds changes of the hosts that this host reports.
	 *
	 * @param changes - The changes.
	 */
	addHostChanges(changes: HostReportChanges): void {
		const names = new Set([...changes.departed, ...changes.reported.map(host => host.description.name)]);
		this.#hosts = [...this.#hosts.filter(host => !names.has(host.description.name)), ...changes.reported];
		this.#departed = [...this.#departed.filter(name => !names.has(name)), ...changes.departed];
	}

	/**
	 * Adds a change of the cluster state.
	 *
	 * @param update - The change and the state version to which it leads.
	 * @param now - Current monotonic time.
	 */
	addUpdate(update: StateVersionUpdate, now: Milliseconds): void {
		this.#updates.push({update, recordedAt: now});
	}

	/**
	 * Takes the events of the next message.
	 *
	 * @param now - Current monotonic time.
	 * @returns The events, and whether more remain.
	 */
	take(now: Milliseconds): {readonly events: GossipEvents; readonly hasMore: boolean} {
		const events: GossipEvents = {
			placements: this.#placements.splice(0, limits.placements),
			weights: this.#weights.splice(0, limits.servers),
			loading: this.#loading.splice(0, limits.servers),
			unreachable: takeFirst(this.#unreachable, limits.servers),
			leaving: this.#leaving.splice(0, limits.servers),
			emptying: takeFirst(this.#draining, limits.servers),
			deaths: this.#crashes.splice(0, limits.crashes).map(({crash, recordedAt}) => ({...crash, age: crash.age + now - recordedAt})),
			limits: this.#limits.splice(0, limits.limits).map(({limit, recordedAt}) => ({...limit, age: limit.age + now - recordedAt})),
			origins: this.#takeOrigins(),
			executed: this.#takeExecutedParts(now),
			paces: this.#takePaces(),
			departed: this.#departed.splice(0, limits.departed),
			hosts: this.#hosts.splice(0, limits.hosts),
			updates: this.#updates.splice(0, limits.updates).map(({update, recordedAt}) => addWaitingTime(update, now - recordedAt)),
		};
		return {events, hasMore: this.#hasEvents};
	}

	#takeOrigins(): HostMessage['origins'] {
		const reports = new Map<string, {service: string; version: string; streams: number[]}>();
		for (const {service, version, stream} of this.#origins.splice(0, limits.origins)) {
			const key = JSON.stringify([service, version]);
			const report = reports.get(key) ?? {service, version, streams: []};
			report.streams.push(stream);
			reports.set(key, report);
		}

		return [...reports.values()];
	}

	// Summaries of one server are combined.
	#addPaces(reports: readonly PaceReport[]): void {
		for (const report of reports) {
			const queued = this.#paces.get(report.server);
			const count = report.count + (queued?.count ?? 0);
			if (queued !== undefined || this.#paces.size < queuedPaces) {
				const sum = (report.mean * report.count) + ((queued?.mean ?? 0) * (queued?.count ?? 0));
				this.#paces.set(report.server, {server: report.server, mean: sum / count, count});
			}
		}
	}

	#takePaces(): PaceReport[] {
		const taken = [...this.#paces.values()].slice(0, limits.paces);
		for (const {server} of taken) {
			this.#paces.delete(server);
		}

		return taken;
	}

	#takeExecutedParts(now: Milliseconds): ExecutedPart[] {
		const taken = [...this.#executedAt].slice(0, limits.executed);
		for (const [part] of taken) {
			this.#executedAt.delete(part);
		}

		return taken.map(([part, beganAt]) => ({part, age: now - beganAt}));
	}

	get #hasEvents(): boolean {
		const lists = [
			this.#placements, this.#weights, this.#loading, this.#leaving, this.#crashes, this.#limits, this.#origins, this.#hosts, this.#departed, this.#updates,
		];
		return this.#executedAt.size > 0 || this.#paces.size > 0 || this.#draining.size > 0 || this.#unreachable.size > 0 || lists.some(list => list.length > 0);
	}
}

function takeFirst(names: Set<string>, count: number): string[] {
	const taken = [...names].slice(0, count);
	for (const name of taken) {
		names.delete(name);
	}

	return taken;
}

function addWaitingTime(update: StateVersionUpdate, waitingTime: Milliseconds): StateVersionUpdate {
	const {version, change} = update;
	return change.type === 'weights' ? {version, change: {...change, age: change.age + waitingTime}} : update;
}
