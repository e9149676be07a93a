import {
	type Register, type Ticket, TicketTable, ticketSchema,
} from '@lacewingpoint/coordination';
import {
	type KeyValueService, type PlatformError, keyPrefixes, readConfigurationEntries, ticketKey,
} from '@lacewingpoint/platform';
import {Result} from 'true-myth';
import * as v from 'valibot';
import {type CommandError, commandError} from './command-error.js';

/** How a submission went at the store. */
export type StoreOutcome = 'stored' | 'already-stored';

const unavailable = (cause: PlatformError) => commandError('store-unavailable', 'the store does not answer; whether the ticket is stored is unknown, and submitting it again is harmless', cause);

/**
 * Stores a ticket under its number, once. A number that is taken by another content is refused; an answer that was lost is
 * settled by reading back.
 *
 * @param store - The key-value service.
 * @param ticket - The ticket.
 * @returns Whether it was stored now or before.
 */
export async function storeTicket(store: KeyValueService, ticket: Ticket): Promise<Result<StoreOutcome, CommandError>> {
	const value = JSON.stringify(ticket);
	const outcome = await store.compareAndSwap([{key: ticketKey(ticket.number), value, expected: 0}]);
	if (outcome.isErr) {
		return outcome.error.code === 'too-large'
			? Result.err(commandError('bad-input', 'the ticket is over 1 MiB; split it into several tickets', outcome.error))
			: readBack(store, ticket, value, outcome.error);
	}

	return outcome.value.type === 'written' ? Result.ok('stored') : compare(ticket, value, outcome.value.found[0]?.value);
}

async function readBack(store: KeyValueService, ticket: Ticket, value: string, cause: PlatformError): Promise<Result<StoreOutcome, CommandError>> {
	const reading = await store.list(ticketKey(ticket.number));
	if (reading.isErr) {
		return Result.err(unavailable(cause));
	}

	const found = reading.value.entries.find(entry => entry.key === ticketKey(ticket.number));
	return found === undefined ? Result.err(unavailable(cause)) : compare(ticket, value, found.value);
}

function compare(ticket: Ticket, value: string, found: string | undefined): Result<StoreOutcome, CommandError> {
	if (found === value) {
		return Result.ok('already-stored');
	}

	const author = v.safeParse(ticketSchema, JSON.parse(found ?? 'null'));
	const by = author.success ? ` by ${author.output.author}` : '';
	return Result.err(commandError('number-taken', `ticket ${ticket.number} was already submitted${by} with other content`));
}

/**
 * Reads the configuration as the store holds it.
 *
 * @param store - The key-value service.
 * @returns The table of registers and the tickets, by number.
 */
export async function readTickets(store: KeyValueService): Promise<Result<{readonly table: TicketTable; readonly tickets: readonly Ticket[]}, CommandError>> {
	const reading = await store.list(keyPrefixes.tickets);
	if (reading.isErr) {
		return Result.err(commandError('store-unavailable', 'the store does not answer', reading.error));
	}

	const table = new TicketTable();
	const registers: readonly Register[] = readConfigurationEntries(reading.value.entries).registers;
	table.merge(registers);
	const tickets = reading.value.entries.flatMap(entry => {
		const checked = v.safeParse(ticketSchema, JSON.parse(entry.value));
		return checked.success ? [checked.output] : [];
	});
	return Result.ok({table, tickets});
}
