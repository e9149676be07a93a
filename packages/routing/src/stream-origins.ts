import {type Milliseconds, hashText} from '@lacewingpoint/shared';
import type {ServerEntry} from './server-directory.js';

/** Streams of one service that servers of one software version began, as hosts tell each other. */
export type StreamOriginReport = {readonly service: string; readonly version: string; readonly streams: readonly number[]};

/**
 * What a host knows of the software version at which a stream began.
 *
 * - `recorded`: this version began it.
 * - `only`: it is not recorded, and no other version served since any stream began that still can be taken up.
 * - `new`: it is not recorded, and no other version was seen, but this host has not observed the servers for so long.
 * - `several`: it is not recorded, and there is more than one version.
 * - `none`: this host knows no server of the service.
 */
export type StreamOrigin = {readonly type: 'recorded' | 'only' | 'new'; readonly version: string} | {readonly type: 'several' | 'none'};

/** How long origins and versions are kept: longer than clients go on taking a stream up. */
export const originRetention: Milliseconds = 20_000;

/** The product of this and a 32-bit hash leaves room for a second hash and is exact as a number. */
const secondHashRange = 0x1_00_00;

type OriginRecord = {readonly version: string; readonly recordedAt: Milliseconds};

/**
 * Which software version began each recent stream. What two versions write does not fit together, so that a stream may go on only at
 * servers of the version that began it.
 */
export class StreamOrigins {
	/** By service and hash of the request's id, in the order of their last record. */
	readonly #records = new Map<string, Map<number, OriginRecord>>();
	/** Since when the servers have been observed without interruption; `undefined` before the first were listed. */
	#observedSince: Milliseconds | undefined;
	/** When servers of each software version were last listed, by service. */
	readonly #versions = new Map<string, Map<string, Milliseconds>>();

	/**
	 * Records the versions of the listed servers and removes expired records. Call it whenever servers change, and periodically.
	 *
	 * @param entries - All servers, draining ones included.
	 * @param now - Current monotonic time.
	 * @returns The streams of services that have got a second version, of which other hosts have not been told.
	 */
	observeServers(entries: readonly ServerEntry[], now: Milliseconds): StreamOriginReport[] {
		const mixedBefore = new Set([...this.#versions.keys()].filter(service => this.isMixed(service, now)));
		if (entries.length > 0) {
			this.#observedSince ??= now;
		}

		for (const {service, softwareVersion} of entries) {
			const versions = this.#versions.get(service) ?? new Map<string, Milliseconds>();
			versions.set(softwareVersion ?? '', now);
			this.#versions.set(service, versions);
		}

		this.#removeExpired(now);
		return [...this.#versions.keys()].filter(service => !mixedBefore.has(service) && this.isMixed(service, now)).flatMap(service => this.#listReports(service));
	}

	/**
	 * Tells whether servers of more than one version are or recently were listed.
	 *
	 * @param service - Name of the service.
	 * @param now - Current monotonic time.
	 * @returns Whether streams that are running may have begun at different versions.
	 */
	isMixed(service: string, now: Milliseconds): boolean {
		return this.#recentVersions(service, now).length > 1;
	}

	/** Records that servers of other versions may have come and gone unnoticed, for example because the process was suspended. */
	interruptObservation(): void {
		this.#observedSince = undefined;
	}

	/**
	 * Records the version at which a stream began or went on.
	 *
	 * @param service - Name of the service.
	 * @param requestId - Id of the client's request that brought the first event.
	 * @param version - Software version of the server.
	 * @param now - Current monotonic time.
	 * @returns The record to tell other hosts; `undefined` while only one version serves, which any host can tell.
	 */
	record(service: string, requestId: string, version: string, now: Milliseconds): StreamOriginReport | undefined {
		const report = {service, version, streams: [hashRequestId(requestId)]};
		this.merge([report], now);
		return this.isMixed(service, now) || !this.#hasObservedLongEnough(now) ? report : undefined;
	}

	/**
	 * Merges the records of another host.
	 *
	 * @param reports - The records.
	 * @param now - Current monotonic time.
	 */
	merge(reports: readonly StreamOriginReport[], now: Milliseconds): void {
		for (const {service, version, streams} of reports) {
			const records = this.#records.get(service) ?? new Map<number, OriginRecord>();
			this.#records.set(service, records);
			for (const stream of streams) {
				records.delete(stream);
				records.set(stream, {version, recordedAt: now});
			}
		}
	}

	/**
	 * Finds the version at which a stream began that a client takes up.
	 *
	 * @param service - Name of the service.
	 * @param stream - Hash of the id of the request that brought the first event; `undefined` if the client does not name it.
	 * @param now - Current monotonic time.
	 * @returns What this host knows of it.
	 */
	find(service: string, stream: number | undefined, now: Milliseconds): StreamOrigin {
		const record = stream === undefined ? undefined : this.#records.get(service)?.get(stream);
		if (record !== undefined && now - record.recordedAt < originRetention) {
			return {type: 'recorded', version: record.version};
		}

		const [version, ...others] = this.#recentVersions(service, now);
		if (version === undefined || others.length > 0) {
			return {type: version === undefined ? 'none' : 'several'};
		}

		return {type: this.#hasObservedLongEnough(now) ? 'only' : 'new', version};
	}

	#hasObservedLongEnough(now: Milliseconds): boolean {
		return this.#observedSince !== undefined && now - this.#observedSince >= originRetention;
	}

	#recentVersions(service: string, now: Milliseconds): string[] {
		return [...this.#versions.get(service) ?? []].filter(([, seenAt]) => now - seenAt < originRetention).map(([version]) => version);
	}

	#listReports(service: string): StreamOriginReport[] {
		const byVersion = new Map<string, number[]>();
		for (const [stream, {version}] of this.#records.get(service) ?? []) {
			byVersion.set(version, [...byVersion.get(version) ?? [], stream]);
		}

		return [...byVersion].map(([version, streams]) => ({service, version, streams}));
	}

	#removeExpired(now: Milliseconds): void {
		for (const records of this.#records.values()) {
			for (const [stream, {recordedAt}] of records) {
				if (now - recordedAt < originRetention) {
					break;
				}

				records.delete(stream);
			}
		}

		for (const versions of this.#versions.values()) {
			for (const [version, seenAt] of versions) {
				if (now - seenAt >= originRetention) {
					versions.delete(version);
				}
			}
		}
	}
}

/**
 * Combines what several hosts know of the version at which a stream began.
 *
 * @param answers - What each host that responded knows.
 * @returns The version that one has recorded, or else the only one that those have seen that observed the servers for long enough, if no
 * other was seen; `undefined` if none of them can tell.
 */
export function combineOrigins(answers: readonly StreamOrigin[]): string | undefined {
	for (const answer of answers) {
		if (answer.type === 'recorded') {
			return answer.version;
		}
	}

	const seen = answers.filter(answer => answer.type !== 'none');
	const versions = new Set(seen.map(answer => 'version' in answer ? answer.version : undefined));
	return versions.size === 1 && seen.some(answer => answer.type === 'only') ? [...versions][0] : undefined;
}

/**
 * Hashes the id of a client's request. Ids are the clients' own text of any length.
 *
 * @param requestId - The id.
 * @returns A number of 48 bits.
 */
export function hashRequestId(requestId: string): number {
	return (hashText(requestId) * secondHashRange) + (hashText(requestId, 1) % secondHashRange);
}
