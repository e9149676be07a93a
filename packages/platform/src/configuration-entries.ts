import {
	type Epoch, type HostRegistration, type Register, epochSchema, hostRegistrationSchema, registerSchema, registersOf, ticketSchema,
} from '@lacewingpoint/coordination';
import * as v from 'valibot';
import {type KeyValueEntry, keyPrefixes} from './key-value-service.js';

/** What a reading of the configuration holds. */
export type ConfigurationReading = {
	readonly registers: readonly Register[];
	readonly epoch: {readonly value: Epoch; readonly revision: number} | undefined;
	readonly hosts: ReadonlyArray<{readonly registration: HostRegistration; readonly revision: number}>;
	/** Marks of draining, with the revisions that a controller needs to change them. */
	readonly marks: ReadonlyArray<{readonly register: Register; readonly revision: number}>;
	/** Keys whose values could not be read. */
	readonly unreadable: readonly string[];
};

type Parsed = {readonly entry: KeyValueEntry; readonly value: unknown};

/**
 * Sorts the entries below the configuration's prefix by what they are.
 *
 * @param entries - The entries of a listing.
 * @returns The tickets' registers, the membership, the registered hosts and the marks of draining.
 */
export function readConfigurationEntries(entries: readonly KeyValueEntry[]): ConfigurationReading {
	const parsed = entries.map(entry => ({entry, value: parseJson(entry.value)}));
	const unreadable: string[] = [];
	const read = <Schema extends v.GenericSchema>(prefix: string, schema: Schema) => parsed
		.filter(({entry}) => entry.key.startsWith(prefix))
		.flatMap(item => check(item, schema, unreadable));

	const tickets = read(keyPrefixes.tickets, ticketSchema).flatMap(({value}) => registersOf(value));
	const marks = read(keyPrefixes.draining, registerSchema).map(({value, revision}) => ({register: value, revision}));
	return {
		registers: [...tickets, ...marks.map(mark => mark.register)],
		epoch: read(keyPrefixes.epoch, epochSchema)[0],
		hosts: read(keyPrefixes.hosts, hostRegistrationSchema).map(({value, revision}) => ({registration: value, revision})),
		marks,
		unreadable,
	};
}

function check<Schema extends v.GenericSchema>({entry, value}: Parsed, schema: Schema, unreadable: string[]): Array<{readonly value: v.InferOutput<Schema>; readonly revision: number}> {
	const checked = v.safeParse(schema, value);
	if (checked.success) {
		return [{value: checked.output, revision: entry.revision}];
	}

	unreadable.push(entry.key);
	return [];
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
