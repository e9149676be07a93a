import {hashText} from '@lacewingpoint/shared';
import type {ObjectKind, Register} from './ticket.js';

type Row = {readonly register: Register; readonly text: string; readonly arrival: number};

/** The changes that a replica took in after a cursor. */
export type TicketChanges = {
	readonly cursor: number;
	readonly registers: readonly Register[];
};

const rowKey = (kind: ObjectKind, name: string) => `${kind}/${name}`;

/**
 * A replica of the configuration: one register an object, the highest ticket number wins.
 * Merging is commutative, associative and idempotent, so store, peers and late arrivals may come in any order.
 */
export class TicketTable {
	readonly #rows = new Map<string, Row>();
	#arrival = 0;
	#highestNumber = 0;

	/** The number of changes taken in; a cursor for {@link changesSince}. */
	get cursor(): number {
		return this.#arrival;
	}

	/** The highest ticket number seen. */
	get highestNumber(): number {
		return this.#highestNumber;
	}

	/**
	 * Merges registers into the replica.
	 *
	 * @param registers - Registers from the store or a peer, in any order.
	 * @returns The registers that changed the replica.
	 */
	merge(registers: readonly Register[]): Register[] {
		return registers.filter(register => this.#mergeOne(register));
	}

	/**
	 * Reads the register of one object.
	 *
	 * @param kind - The kind of object.
	 * @param name - Its name.
	 * @returns The register, deletions included, or nothing when no ticket touched it.
	 */
	get(kind: ObjectKind, name: string): Register | undefined {
		return this.#rows.get(rowKey(kind, name))?.register;
	}

	/**
	 * Lists the objects of one kind that are not deleted.
	 *
	 * @param kind - The kind of object.
	 * @returns Their registers.
	 */
	list<Kind extends ObjectKind>(kind: Kind): Array<Extract<Register, {kind: Kind}>> {
		return [...this.#rows.values()]
			.map(row => row.register)
			.filter((register): register is Extract<Register, {kind: Kind}> => register.kind === kind && register.state !== null);
	}

	/**
	 * Lists what changed after a cursor of this replica.
	 *
	 * @param cursor - A cursor that this replica gave out; 0 asks for all.
	 * @returns The changed registers and the new cursor.
	 */
	changesSince(cursor: number): TicketChanges {
		const registers = [...this.#rows.values()]
			.filter(row => row.arrival > cursor)
			.map(row => row.register);
		return {cursor: this.#arrival, registers};
	}

	/**
	 * Tells whether this replica holds a ticket or a newer one for each object it touches.
	 *
	 * @param registers - The registers of the ticket.
	 * @returns True when every one of them is in force here or superseded.
	 */
	holds(registers: readonly Register[]): boolean {
		return registers.every(register => (this.get(register.kind, register.name)?.number ?? 0) >= register.number);
	}

	/** @returns A hash of the whole state: equal on replicas that agree. */
	digest(): number {
		const lines = [...this.#rows].map(([key, row]) => `${key} ${row.register.number} ${row.text}`);
		return hashText(lines.toSorted().join('\n'));
	}

	#mergeOne(register: Register): boolean {
		const key = rowKey(register.kind, register.name);
		const text = JSON.stringify(register.state);
		const held = this.#rows.get(key);
		if (held !== undefined && !supersedes(register.number, text, held)) {
			return false;
		}

		this.#arrival++;
		if (register.kind !== 'draining') {
			this.#highestNumber = Math.max(this.#highestNumber, register.number);
		}

		// Deleting first moves the row to the end, so that rows stay in order of arrival.
		this.#rows.delete(key);
		this.#rows.set(key, {register, text, arrival: this.#arrival});
		return true;
	}
}

// The store refuses a second ticket with one number; the text breaks the tie so that replicas still agree if one slips in.
function supersedes(number: number, text: string, held: Row): boolean {
	return number === held.register.number ? text > held.text : number > held.register.number;
}
