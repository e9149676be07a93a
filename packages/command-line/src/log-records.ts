import * as v from 'valibot';

const recordSchema = v.looseObject({
	time: v.string(),
	/** Name of the host that wrote the line. */
	identity: v.string(),
	event: v.string(),
});

/** A line of a host's log. */
export type LogRecord = Readonly<v.InferOutput<typeof recordSchema>>;

/**
 * Extracts the records from log text. Text before the first brace of a line, such as the prefix of a log collector, is ignored, and
 * so are lines without a record.
 *
 * @param text - Log lines of one or more hosts; may contain lines of other programs.
 * @returns The records, in order of time.
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
		const validation = v.safeParse(recordSchema, JSON.parse(text));
		return validation.success ? validation.output : undefined;
	} catch {
		// Lines of other programs may be in the same file.
		return undefined;
	}
}
