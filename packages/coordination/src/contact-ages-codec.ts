import type {Milliseconds} from '@lacewingpoint/shared';
import type {ContactAges, HostAge} from './contact-table.js';
import {type Epoch, hostsOf} from './epoch.js';

/** Ages as they travel: one byte a host, in the order of the epoch's list. */
export type EncodedAges = {
	readonly store?: Milliseconds | undefined;
	/** The epoch whose list gives the order. */
	readonly epoch: number;
	/** Base64; 0 means unknown, others the age in units, rounded up. */
	readonly ages: string;
	/** Hosts that hold an older epoch or are leaving; few at any time. */
	readonly exceptions: ReadonlyArray<{readonly index: number; readonly epoch: number; readonly isLeaving?: boolean | undefined}>;
};

const ageUnit: Milliseconds = 64;
const unknownAge = 0;
const highestUnits = 255;

/**
 * Packs ages for a message. Rounding up keeps them true: knowledge never looks more recent than it is.
 *
 * @param ages - The ages.
 * @param epoch - The sender's epoch; hosts outside it are left out.
 * @returns The packed ages.
 */
export function encodeAges(ages: ContactAges, epoch: Epoch): EncodedAges {
	const byId = new Map(ages.hosts.map(host => [host.id, host]));
	const rows = hostsOf(epoch).map((host, index) => ({index, age: byId.get(host.id)}));
	const bytes = rows.map(({age}) => (age === undefined ? unknownAge : unitsOf(age.age)));
	const exceptions = rows.flatMap(({index, age}) => (age !== undefined && (age.epoch !== epoch.number || age.isLeaving === true)
		? [{index, epoch: age.epoch, isLeaving: age.isLeaving}]
		: []));
	return {
		store: ages.store === undefined ? undefined : Math.ceil(ages.store), epoch: epoch.number, ages: Buffer.from(bytes).toString('base64'), exceptions,
	};
}

/**
 * Unpacks ages.
 *
 * @param encoded - The packed ages.
 * @param epoch - The epoch that they name.
 * @returns The ages.
 */
export function decodeAges(encoded: EncodedAges, epoch: Epoch): ContactAges {
	const bytes = Buffer.from(encoded.ages, 'base64');
	const exceptions = new Map(encoded.exceptions.map(exception => [exception.index, exception]));
	const hosts = hostsOf(epoch).flatMap((host, index): HostAge[] => {
		const units = bytes[index] ?? unknownAge;
		const exception = exceptions.get(index);
		return units === unknownAge
			? []
			: [{
				id: host.id, age: units * ageUnit, epoch: exception?.epoch ?? epoch.number, isLeaving: exception?.isLeaving,
			}];
	});
	return {store: encoded.store, hosts};
}

function unitsOf(age: Milliseconds): number {
	const units = Math.max(Math.ceil(age / ageUnit), 1);
	return units > highestUnits ? unknownAge : units;
}
