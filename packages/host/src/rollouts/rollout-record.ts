import type {RolloutProgress} from '@lacewingpoint/routing';
import {Result} from 'true-myth';
import * as v from 'valibot';
import type {
	ControlStore, RolloutProtocol, StoreError, StoreWrite,
} from '../ports.js';

const keyPrefix = 'lacewingpoint/rollouts/';

const progressSchema = v.object({
	requestId: v.string(),
	requestRevision: v.number(),
	service: v.string(),
	target: v.string(),
	state: v.picklist(['running', 'completed', 'reverted']),
	step: v.pipe(v.number(), v.integer(), v.minValue(0)),
	beganAt: v.optional(v.number()),
	elapsed: v.number(),
	term: v.number(),
	barred: v.pipe(v.array(v.string()), v.readonly()),
	retired: v.pipe(v.array(v.string()), v.readonly()),
});

/**
 * Tells whether a store key is that of the record of a rollout.
 *
 * @param key - The key.
 * @returns Whether `decodeRolloutProgress` applies to its value.
 */
export function isRolloutKey(key: string): boolean {
	return key.startsWith(keyPrefix);
}

/**
 * Decodes the record of a rollout.
 *
 * @param value - The parsed value of the store item.
 * @returns The record, or the message of the first invalid field.
 */
export function decodeRolloutProgress(value: unknown): Result<RolloutProgress, string> {
	const parsed = v.safeParse(progressSchema, value);
	return parsed.success ? Result.ok(parsed.output) : Result.err(`${v.getDotPath(parsed.issues[0]) ?? '(root)'}: ${parsed.issues[0].message}`);
}

/** The record of a rollout and the operators' status, as they were read. */
export type StoredRollout = {readonly progress: RolloutProgress | undefined; readonly recordRevision: number; readonly statusRevision: number};

/** Reads and writes the record of a rollout together with the operators' status, so that the two never contradict each other. */
export class RolloutRecord {
	readonly #store: ControlStore;
	readonly #protocol: RolloutProtocol;

	/**
	 * @param store - The store.
	 * @param protocol - How operators are told.
	 */
	constructor(store: ControlStore, protocol: RolloutProtocol) {
		this.#store = store;
		this.#protocol = protocol;
	}

	/**
	 * Reads the record of a service's latest rollout.
	 *
	 * @param service - Name of the service.
	 * @returns The record and the revisions that a write has to state.
	 */
	async read(service: string): Promise<Result<StoredRollout, StoreError>> {
		const record = await this.#store.read(`${keyPrefix}${service}`);
		const status = await this.#store.read(this.#protocol.encodeStatus({service, target: '', state: 'running'}).key);
		if (record.isErr || status.isErr) {
			return Result.err(record.isErr ? record.error : (status as {readonly error: StoreError}).error);
		}

		return Result.ok({
			progress: record.value === undefined ? undefined : parseRecord(record.value.value), recordRevision: record.value?.revision ?? 0, statusRevision: status.value?.revision ?? 0,
		});
	}

	/**
	 * Writes a record and its status, unless either was written since.
	 *
	 * @param progress - The record.
	 * @param known - What was read or written before.
	 * @returns The revision of both; `undefined` if another host has written.
	 */
	async write(progress: RolloutProgress, known: Pick<StoredRollout, 'recordRevision' | 'statusRevision'>): Promise<Result<number | undefined, StoreError>> {
		const {service, target, state} = progress;
		const writes: StoreWrite[] = [
			{...this.#protocol.encodeStatus({service, target, state}), expectedRevision: known.statusRevision},
			{key: `${keyPrefix}${service}`, value: JSON.stringify(progress), expectedRevision: known.recordRevision},
		];
		return this.#store.write(writes);
	}
}

function parseRecord(text: string): RolloutProgress | undefined {
	try {
		const decoded = decodeRolloutProgress(JSON.parse(text));
		return decoded.isOk ? decoded.value : undefined;
	} catch {
		// Overwritten with the next write.
		return undefined;
	}
}
