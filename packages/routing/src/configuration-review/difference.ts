import type {Configuration} from '../configuration.js';

/** What a configuration changes of the one in force. */
export type ConfigurationDifference = {
	readonly list: 'routes' | 'services' | 'workspaces' | 'limits';
	/** Name of the entry, or of the limit. */
	readonly name: string;
	readonly change: 'added' | 'removed' | 'changed';
	/** What has changed within the entry; empty for one that was added or removed. */
	readonly fields: readonly FieldDifference[];
};

/** A changed field. Keys of workspaces are counted, not shown. */
export type FieldDifference = {readonly field: string; readonly before: string; readonly after: string};

type Entry = Readonly<Record<string, unknown>>;

/**
 * Lists what a configuration changes.
 *
 * @param inForce - The configuration in force.
 * @param next - The configuration that is to be published.
 * @returns The differences: first routes, then services, workspaces and limits. Entries are compared by name, their order is ignored.
 */
export function compareConfigurations(inForce: Configuration, next: Configuration): ConfigurationDifference[] {
	return [
		...compareLists('routes', inForce.routes, next.routes),
		...compareLists('services', inForce.services, next.services),
		...compareLists('workspaces', inForce.workspaces ?? [], next.workspaces ?? []),
		...compareFields(inForce.limits, next.limits).map(field => ({
			list: 'limits', name: field.field, change: 'changed', fields: [field],
		} as const)),
	];
}

function compareLists(list: ConfigurationDifference['list'], before: ReadonlyArray<Entry & {readonly name: string}>, after: ReadonlyArray<Entry & {readonly name: string}>): ConfigurationDifference[] {
	const previous = new Map(before.map(entry => [entry.name, entry]));
	const next = new Map(after.map(entry => [entry.name, entry]));
	const differences: ConfigurationDifference[] = [];
	for (const name of new Set([...previous.keys(), ...next.keys()])) {
		const previousEntry = previous.get(name);
		const nextEntry = next.get(name);
		if (previousEntry === undefined || nextEntry === undefined) {
			differences.push({
				list, name, change: previousEntry === undefined ? 'added' : 'removed', fields: [],
			});
			continue;
		}

		const fields = compareFields(previousEntry, nextEntry);
		if (fields.length > 0) {
			differences.push({
				list, name, change: 'changed', fields,
			});
		}
	}

	return differences;
}

function compareFields(before: Entry, after: Entry): FieldDifference[] {
	return [...new Set([...Object.keys(before), ...Object.keys(after)])].flatMap(field => {
		const previous = before[field];
		const next = after[field];
		if (JSON.stringify(previous) === JSON.stringify(next)) {
			return [];
		}

		return field === 'keys' ? compareKeys(previous as readonly string[], next as readonly string[]) : [{field, before: describe(previous), after: describe(next)}];
	});
}

// Keys are secrets.
function compareKeys(before: readonly string[], after: readonly string[]): FieldDifference[] {
	const added = after.filter(key => !before.includes(key)).length;
	const removed = before.filter(key => !after.includes(key)).length;
	return added + removed === 0 ? [] : [{field: 'keys', before: `${before.length} keys`, after: `${after.length} keys (${added} added, ${removed} removed)`}];
}

function describe(value: unknown): string {
	return value === undefined ? 'absent' : JSON.stringify(value);
}
