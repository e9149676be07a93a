import type {PlatformServerStandIn} from '@lacewingpoint/stand-ins';

/** Stands for a value that is nested deeper than a recursive function reaches. */
const deeplyNested = '@deep';

const nesting = 100_000;

/** Fields that replace those of a sound entry. */
const oddFields: ReadonlyArray<Readonly<Record<string, unknown>>> = [
	...['127.0.0.1:65536', '127.0.0.1:99999', `127.0.0.1:${'9'.repeat(400)}`, '999.1.1.1:80', '127.0.0.1', ''].map(address => ({address})),
	...['address', 'models', 'service', 'zone', 'extra'].map(field => ({[field]: deeplyNested})),
	...[1e308, -1, 0.5, null].flatMap(value => ['slots', 'seq', 'born'].map(field => ({[field]: value}))),
	{models: [{name: '__proto__', version: 1e308}]},
	{state: null},
	{zone: 'x'.repeat(100_000)},
];

/**
 * Creates an entry that another writer may have left among those of the servers.
 *
 * @param server - The server whose entry it resembles.
 * @param variant - Selects what is odd; the remainder of its division by the number of variants.
 * @returns The text of the entry.
 */
export function createOddEntry(server: PlatformServerStandIn, variant: number): string {
	// Nothing listens at the address of an entry whose other fields are odd.
	const entry = server.createEntry(server.id.startsWith('models') ? 'models' : 'plain', {address: '127.0.0.1:9', ...oddFields[variant % oddFields.length]});
	return JSON.stringify(entry).replace(`"${deeplyNested}"`, '['.repeat(nesting) + ']'.repeat(nesting));
}
