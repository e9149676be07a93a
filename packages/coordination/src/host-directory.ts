import type {Milliseconds} from '@lacewingpoint/shared';

/** The identity and addresses that a host publishes. */
export type HostDescription = {
	readonly name: string;
	/** Differs at each start of the process. */
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly region: string;
	/** The address for clients. */
	readonly clientAddress: string;
	/** The address for the datagrams of peers. */
	readonly peerAddress: string;
	/** The address at which peers request a snapshot of the host's cluster state. */
	readonly snapshotAddress: string;
	/** Processor capacity in cores; hosts with more of it are preferred as relays. */
	readonly capacity: number;
	/** Version of the protocol between hosts; absent for builds that do not announce it. */
	readonly protocol?: number | undefined;
	/** What the build can do for its peers; absent for builds that do not announce it. */
	readonly capabilities?: readonly string[] | undefined;
};

/**
 * The state of a host; it accepts clients while it is `serving`. A `detached` one has lost its links to all servers: it serves the clients
 * that still come through peers, and is not offered to others.
 */
export type HostState = 'starting' | 'serving' | 'detached' | 'stopping';

/**
 * The part of a host in the exchange of state: a relay exchanges it with all other relays and with its members, a member with one relay;
 * a joining host does not know a relay yet.
 */
export type HostRole = 'joining' | 'member' | 'relay';

/** A host as a peer reports it. */
export type HostReport = {readonly description: HostDescription; readonly state: HostState; readonly role: HostRole};

type TimedReport = {readonly report: HostReport; readonly at: Milliseconds};

type HostRecord = {
	/** The host as its own last message described it. */
	direct: TimedReport | undefined;
	/** The host as peers report it, by peer. */
	readonly reports: Map<string, TimedReport>;
	/** The host as the store or a snapshot lists it. */
	listed: HostReport | undefined;
};

export type HostDirectoryOptions = {
	/** A host without a heartbeat for this long is not offered to clients. */
	readonly heartbeatTimeout: Milliseconds;
	/** Hosts reported by a peer count as alive for this long after the peer's last heartbeat, so that they can be reported by another. */
	readonly reportTimeout: Milliseconds;
	/** A host that the store no longer lists is removed this long after its last heartbeat. */
	readonly removalDelay: Milliseconds;
};

/**
 * The other hosts that this host knows. Some send heartbeats to this host; others are reported by a peer that receives theirs. The store
 * lists only relays.
 */
export class HostDirectory {
	readonly #options: HostDirectoryOptions;
	readonly #records = new Map<string, HostRecord>();

	constructor(options: HostDirectoryOptions) {
		this.#options = options;
	}

	/** The number of known hosts, unresponsive ones included. */
	get size(): number {
		return this.#records.size;
	}

	/**
	 * Adds a relay that the store or a peer's snapshot lists.
	 *
	 * @param description - The host's description; one that a heartbeat or report carried takes precedence.
	 */
	addListed(description: HostDescription): void {
		this.#getRecord(description.name).listed = {description, state: 'starting', role: 'relay'};
	}

	/**
	 * Records that the store no longer lists a host.
	 *
	 * @param name - The host's name.
	 */
	markUnlisted(name: string): void {
		const record = this.#records.get(name);
		if (record !== undefined) {
			record.listed = undefined;
		}
	}

	/**
	 * Records a heartbeat of a host.
	 *
	 * @param report - The host as its message describes it.
	 * @param now - Current monotonic time.
	 * @returns Whether the host was unknown, was unresponsive until now or has restarted.
	 */
	recordHeartbeat(report: HostReport, now: Milliseconds): boolean {
		const record = this.#getRecord(report.description.name);
		const isRestarted = record.direct !== undefined && record.direct.report.description.incarnation !== report.description.incarnation;
		const isNewlyAlive = isRestarted || !this.#hasHeartbeat(record, now);
		if (isRestarted) {
			this.removeReports(report.description.name);
		}

		record.direct = {report, at: now};
		return isNewlyAlive;
	}

	/**
	 * Records that a peer reports a host.
	 *
	 * @param report - The reported host.
	 * @param reporter - The peer's name.
	 * @param now - Current monotonic time.
	 */
	recordReport(report: HostReport, reporter: string, now: Milliseconds): void {
		this.#getRecord(report.description.name).reports.set(reporter, {report, at: now});
	}

	/**
	 * Records that a peer no longer reports a host.
	 *
	 * @param name - The host's name.
	 * @param reporter - The peer's name.
	 */
	recordDeparture(name: string, reporter: string): void {
		this.#records.get(name)?.reports.delete(reporter);
	}

	/**
	 * Discards all reports of a peer.
	 *
	 * @param reporter - The peer's name.
	 */
	removeReports(reporter: string): void {
		for (const record of this.#records.values()) {
			record.reports.delete(reporter);
		}
	}

	/**
	 * Finds the description of an incarnation of a host.
	 *
	 * @param name - The host's name.
	 * @param incarnation - The incarnation that a message of the host states.
	 * @returns The description, `undefined` when the host is unknown or known only with another incarnation.
	 */
	findDescription(name: string, incarnation: string): HostDescription | undefined {
		const record = this.#records.get(name);
		const reports = record === undefined ? [] : [record.direct?.report, ...[...record.reports.values()].map(({report}) => report), record.listed];
		return reports.find(report => report?.description.incarnation === incarnation)?.description;
	}

	/**
	 * Finds a host that is alive.
	 *
	 * @param name - The host's name.
	 * @param now - Current monotonic time.
	 * @returns The host, `undefined` when it is unknown or unresponsive.
	 */
	findAlive(name: string, now: Milliseconds): HostReport | undefined {
		const record = this.#records.get(name);
		return record === undefined ? undefined : this.#findCurrent(record, now);
	}

	/**
	 * Checks whether a host sends heartbeats to this host.
	 *
	 * @param name - The host's name.
	 * @param now - Current monotonic time.
	 * @returns Whether the last one is recent.
	 */
	hasHeartbeat(name: string, now: Milliseconds): boolean {
		const record = this.#records.get(name);
		return record !== undefined && this.#hasHeartbeat(record, now);
	}

	/**
	 * Lists the relays to which messages are sent: unresponsive ones included, because they may still serve and use rate limits, but not
	 * those that announced their stop and have ended. Removes unlisted hosts whose last sign of life is too old.
	 *
	 * @param now - Current monotonic time.
	 * @returns The descriptions of the relays.
	 */
	listRelays(now: Milliseconds): HostDescription[] {
		const relays: HostDescription[] = [];
		for (const [name, record] of this.#records) {
			const current = this.#findCurrent(record, now);
			// A host may have registered as a relay after it was last heard as a joining one.
			const latest = (current?.role === 'joining' ? record.listed : undefined) ?? current ?? record.listed ?? this.#findLatest(record, now);
			if (latest === undefined) {
				this.#records.delete(name);
			} else if (latest.role === 'relay' && (latest.state !== 'stopping' || current !== undefined)) {
				relays.push(latest.description);
			}
		}

		return relays;
	}

	/**
	 * Lists the members that send heartbeats to this host.
	 *
	 * @param now - Current monotonic time.
	 * @returns The members.
	 */
	listMembers(now: Milliseconds): HostReport[] {
		const members: HostReport[] = [];
		for (const record of this.#records.values()) {
			if (record.direct?.report.role === 'member' && this.#hasHeartbeat(record, now)) {
				members.push(record.direct.report);
			}
		}

		return members;
	}

	/**
	 * Lists the hosts that are alive.
	 *
	 * @param now - Current monotonic time.
	 * @param failureDomain - The domain of the hosts; all domains by default.
	 * @returns The hosts whose heartbeats arrive here or at a peer that reports them.
	 */
	listAlive(now: Milliseconds, failureDomain?: string): HostReport[] {
		const hosts: HostReport[] = [];
		for (const record of this.#records.values()) {
			if (failureDomain === undefined || isInDomain(record, failureDomain)) {
				const current = this.#findCurrent(record, now);
				if (current !== undefined) {
					hosts.push(current);
				}
			}
		}

		return hosts;
	}

	/**
	 * Lists the hosts that serve clients with their own links to servers.
	 *
	 * @param now - Current monotonic time.
	 * @returns The descriptions of the serving hosts that are alive.
	 */
	listServing(now: Milliseconds): HostDescription[] {
		return this.listAlive(now).filter(host => host.state === 'serving').map(host => host.description);
	}

	/**
	 * Lists the hosts that are offered to clients.
	 *
	 * @param now - Current monotonic time.
	 * @returns The serving hosts; if there are none, those that have lost their links to servers.
	 */
	listOffered(now: Milliseconds): HostDescription[] {
		const serving = this.listServing(now);
		return serving.length > 0 ? serving : this.listAlive(now).filter(host => host.state === 'detached').map(host => host.description);
	}

	/**
	 * Lists the hosts that have stopped sending heartbeats.
	 *
	 * @param now - Current monotonic time.
	 * @returns The names of the hosts.
	 */
	listUnresponsive(now: Milliseconds): string[] {
		return [...this.#records].filter(([, record]) => record.direct !== undefined && this.#findCurrent(record, now) === undefined).map(([name]) => name);
	}

	#getRecord(name: string): HostRecord {
		const known = this.#records.get(name);
		if (known !== undefined) {
			return known;
		}

		const record: HostRecord = {direct: undefined, reports: new Map(), listed: undefined};
		this.#records.set(name, record);
		return record;
	}

	#hasHeartbeat(record: HostRecord, now: Milliseconds): boolean {
		return record.direct !== undefined && now - record.direct.at <= this.#options.heartbeatTimeout;
	}

	/** Finds the latest information on a host that is alive. */
	#findCurrent(record: HostRecord, now: Milliseconds): HostReport | undefined {
		if (this.#hasHeartbeat(record, now)) {
			return record.direct!.report;
		}

		let latest: TimedReport | undefined;
		for (const [reporter, report] of record.reports) {
			const reporterHeardAt = this.#records.get(reporter)?.direct?.at ?? Number.NEGATIVE_INFINITY;
			const isCurrent = now - Math.max(report.at, reporterHeardAt) <= this.#options.reportTimeout;
			if (isCurrent && (latest === undefined || report.at >= latest.at)) {
				latest = report;
			}
		}

		return latest?.report;
	}

	/** Finds the latest information on an unresponsive host, unless it is too old. */
	#findLatest(record: HostRecord, now: Milliseconds): HostReport | undefined {
		const timed = [...record.reports.values(), ...(record.direct === undefined ? [] : [record.direct])];
		const latest = timed.toSorted((left, right) => right.at - left.at).find(({at}) => now - at <= this.#options.removalDelay);
		return latest?.report;
	}
}

// A host stays in its domain, so any information on it will do.
function isInDomain({direct, reports, listed}: HostRecord, failureDomain: string): boolean {
	const report = direct?.report ?? listed ?? reports.values().next().value?.report;
	return report?.description.failureDomain === failureDomain;
}
