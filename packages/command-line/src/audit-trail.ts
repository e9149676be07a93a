import type {LogRecord} from './log-records.js';

/** One change that hosts took over or made. */
export type AuditEntry = {
	/** When the first host took it over. */
	readonly time: string;
	readonly change: string;
	readonly hosts: readonly string[];
	/** When the last of these hosts did. */
	readonly everywhereAt: string;
};

/** What identifies a change in the events that tell of one. */
const changes: ReadonlyMap<string, (record: LogRecord) => string> = new Map([
	['configuration', record => `configuration ${String(record.version)}`],
	['weights-named', record => `weights ${String(record.model)} ${String(record.version)} named`],
	['order', record => `${String(record.server)} ordered to load ${String(record.model)} ${String(record.version)}: ${String(record.status)}`],
	['weights-lease-held', record => `term ${String(record.term)} of the weights' roll-out`],
]);

/**
 * Lists the changes that the logs tell of, each once, with who took it over and when.
 *
 * @param records - The logs, in order of time.
 * @returns The changes, oldest first.
 */
export function buildAuditTrail(records: readonly LogRecord[]): AuditEntry[] {
	const entries = new Map<string, AuditEntry>();
	for (const record of records) {
		const change = changes.get(record.event)?.(record);
		if (change === undefined) {
			continue;
		}

		const known = entries.get(change) ?? {
			time: record.time, change, hosts: [], everywhereAt: record.time,
		};
		entries.set(change, {...known, hosts: [...new Set([...known.hosts, record.identity])], everywhereAt: record.time});
	}

	return [...entries.values()];
}
