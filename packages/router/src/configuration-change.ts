import type {Epoch, Register} from '@lacewingpoint/coordination';
import type {Tables} from './tables.js';

/**
 * Merges changes of configuration and membership and puts them in force at once.
 *
 * @param tables - The router's state.
 * @param registers - Registers from the store or a peer.
 * @param epoch - A membership from the store or a peer.
 * @returns True when anything changed.
 */
export function applyChanges(tables: Tables, registers: readonly Register[], epoch: Epoch | undefined): boolean {
	const changed = tables.tickets.merge(registers);
	const isNewEpoch = epoch !== undefined && tables.contact.adoptEpoch(epoch);
	if (isNewEpoch) {
		tables.credit.setEpoch(epoch);
	}

	if (changed.length > 0) {
		applyRegisters(tables, changed);
	}

	return isNewEpoch || changed.length > 0;
}

function applyRegisters(tables: Tables, changed: readonly Register[]): void {
	tables.configuration.rebuild(tables.tickets);
	for (const register of changed) {
		if (register.kind === 'workspace') {
			tables.credit.setLimit(register.name, register.state ?? undefined);
		}
	}

	if (changed.some(register => register.kind === 'backend' || register.kind === 'draining')) {
		configureServers(tables);
	}
}

function configureServers(tables: Tables): void {
	tables.servers.configure(tables.configuration.backends.map(({name, backend}) => ({
		id: name,
		address: backend.address,
		failureDomain: backend.failureDomain,
		serves: backend.type === 'engine' ? backend.model : serviceKey(backend.service),
		isDrained: backend.drained || (tables.tickets.get('draining', name)?.state ?? null) !== null,
	})));
}

/**
 * Names a plain service in the table that it shares with models.
 *
 * @param service - The plain service.
 * @returns A name that no model has.
 */
export function serviceKey(service: string): string {
	return `service ${service}`;
}
