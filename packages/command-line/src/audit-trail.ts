import {randomUUID} from 'node:crypto';
import type {Ticket} from '@lacewingpoint/coordination';
import {type KeyValueService, keyPrefixes} from '@lacewingpoint/platform';
import {Result} from 'true-myth';
import * as v from 'valibot';
import {type CommandError, commandError} from './command-error.js';

const recordSchema = v.object({
	at: v.string(),
	number: v.number(),
	author: v.string(),
	reason: v.optional(v.string()),
	objects: v.array(v.string()),
	outcome: v.string(),
});

/** One attempt to change the configuration: number, who, when, what, outcome. */
export type AuditRecord = Readonly<v.InferOutput<typeof recordSchema>>;

/**
 * Appends a record to the audit trail.
 *
 * @param store - The key-value service.
 * @param ticket - The ticket.
 * @param outcome - How the attempt went.
 * @param at - When.
 * @returns False when the store did not take it.
 */
export async function appendAudit(store: KeyValueService, ticket: Ticket, outcome: string, at: Date): Promise<boolean> {
	const record: AuditRecord = {
		at: at.toISOString(),
		number: ticket.number,
		author: ticket.author,
		reason: ticket.reason,
		objects: ticket.objects.map(object => `${object.state === null ? 'delete ' : ''}${object.kind}/${object.name}`),
		outcome,
	};
	const key = `${keyPrefixes.audit}${record.at}-${randomUUID()}`;
	const written = await store.compareAndSwap([{key, value: JSON.stringify(record), expected: 0}]);
	return written.isOk;
}

/**
 * Reads the audit trail.
 *
 * @param store - The key-value service.
 * @returns The records, oldest first.
 */
export async function readAudit(store: KeyValueService): Promise<Result<AuditRecord[], CommandError>> {
	const reading = await store.list(keyPrefixes.audit);
	if (reading.isErr) {
		return Result.err(commandError('store-unavailable', 'the store does not answer', reading.error));
	}

	return Result.ok(reading.value.entries.flatMap(entry => {
		const checked = v.safeParse(recordSchema, JSON.parse(entry.value));
		return checked.success ? [checked.output] : [];
	}));
}
