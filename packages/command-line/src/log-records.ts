import * as v from 'valibot';

const recordSchema = v.looseObject({
	time: v.string(),
	/** The host that wrote the line. */
	identity: v.string(),
	event: v.string(),
});

/** One line of a host's log. */
export type LogRecord = Readonly<v.InferOutput<typeof recordSchema>>;

/**
 * Reads the records out of a log; what stands before a line's first brace, such as a collector's prefix, is passed over.
 *
 * @param text - The log, perhaps of several hosts, with other lines between.
 * @returns The records in order of their time.
 */
export function parseLogRecords(text: string): LogRecord[] {
	const records = text.split('\n').flatMap(line => {
		const start = line.indexOf('{');
		const record = start === -1 ? undefined : parseRecord(line.slice(start));
		return record === undefined ? [] : [record];
	});
	return records.toSorted((left, right) => left.time.localeCompare(right.time));
}

function parseRecord(text: string): LogRecord | undefined {
	try {
		const checked = v.safeParse(recordSchema, JSON.parse(text));
		return checked.success ? checked.output : undefined;
	} catch {
		// Other programs' lines stand in the same files.
		return undefined;
	}
}
