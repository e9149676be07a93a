import type {LogRecord} from './log-records.js';

/** A change that hosts applied or made. */
export type AuditEntry = {
	/** Time of the first log line about the change. */
	readonly time: string;
	readonly change: string;
	readonly hosts: readonly string[];
	/** Time of the last log line about the change. */
	readonly everywhereAt: string;
};

/** Descriptions of changes by event. Log lines with the same description are about the same change. */
const changeDescriptions: ReadonlyMap<string, (record: LogRecord) => string> = new Map([
	['configuration', record => `configuration ${String(record.version)}`],
	['weights-named', record => `weights ${String(record.model)} ${String(record.version)} named`],
	['order', record => `${String(record.server)} ordered to load ${String(record.model)} ${String(record.version)}: ${String(record.status)}`],
	['weights-lease-held', record => `term ${String(record.term)} of the weights' roll-out`],
]);

/**
 * Lists each change found in the logs once, with the hosts that logged it.
 *
 * @param records - The log records, in order of time.
 * @returns The changes, oldest first.
 */
export function buildAuditTrail(records: readonly LogRecord[]): AuditEntry[] {
	const entries = new Map<string, AuditEntry>();
	for (const record of records) {
		const change = changeDescriptions.get(record.event)?.(record);
		if (change === undefined) {
			continue;
		}

		const entry = entries.get(change) ?? {
			time: record.time, change, hosts: [], everywhereAt: record.time,
		};
		entries.set(change, {...entry, hosts: [...new Set([...entry.hosts, record.identity])], everywhereAt: record.time});
	}

	return [...entries.values()];
}
