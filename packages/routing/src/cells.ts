import {rankByRendezvous} from '@lacewingpoint/shared';

/**
 * The cells that the servers of one model are divided into. A cell's requests go through one entry host, its primary, which
 * therefore knows the cell's queues without any message; the other hosts stand by.
 */
export class Cells {
	/** The names of the cells. */
	readonly names: readonly string[];
	readonly #members = new Map<string, string[]>();
	readonly #ranks = new Map<string, readonly string[]>();

	/**
	 * @param model - The model.
	 * @param servers - The ids of its servers.
	 * @param cellSize - The number of servers that a cell has on average; a model with no more has one cell.
	 */
	constructor(model: string, servers: readonly string[], cellSize: number) {
		const count = Math.max(1, Math.ceil(servers.length / cellSize));
		this.names = Array.from({length: count}, (_, index) => `${model} ${index}`);
		for (const name of this.names) {
			this.#members.set(name, []);
		}

		for (const server of servers) {
			const [cell] = count === 1 ? this.names : rankByRendezvous(server, this.names);
			this.#members.get(cell!)!.push(server);
		}
	}

	/**
	 * Ranks the cells for a workspace: it uses the first, and the next ones when that is full.
	 *
	 * @param workspace - The workspace.
	 * @returns The names of the cells.
	 */
	rank(workspace: string): readonly string[] {
		const held = this.#ranks.get(workspace) ?? rankByRendezvous(workspace, this.names);
		this.#ranks.set(workspace, held);
		return held;
	}

	/**
	 * Lists a cell's servers.
	 *
	 * @param cell - The cell's name.
	 * @returns The ids of its servers.
	 */
	members(cell: string): readonly string[] {
		return this.#members.get(cell) ?? [];
	}
}
