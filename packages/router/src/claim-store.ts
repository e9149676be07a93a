import {createHash} from 'node:crypto';
import {type Claim, claimSchema} from '@lacewingpoint/coordination';
import {
	type KeyValueEntry, type KeyValueService, type KeyValueWrite, type PlatformError, type SwapOutcome, keyPrefixes,
} from '@lacewingpoint/platform';
import {Result} from 'true-myth';
import * as v from 'valibot';

/** What a claim's write found. */
export type ClaimWrite
	= | {readonly type: 'written'; readonly revision: number}
		| {readonly type: 'found'; readonly claim: Claim; readonly revision: number}
		| {readonly type: 'absent'};

type Pending = {readonly write: KeyValueWrite; settle(result: Result<ClaimWrite, PlatformError>): void};

const largestGroup = 64;

/**
 * Names the key of a claim; neither the workspace nor the caller's key can reach into another's.
 *
 * @param workspace - The workspace.
 * @param idempotencyKey - The caller's idempotency key.
 * @returns The key.
 */
export function claimKey(workspace: string, idempotencyKey: string): string {
	return `${keyPrefixes.claims}${workspace}/${createHash('sha256').update(idempotencyKey).digest('hex')}`;
}

/** Claims in the platform's key-value service; writes that wait for one under way go out together. */
export class ClaimStore {
	readonly #store: KeyValueService;
	#pending: Pending[] = [];
	#isWriting = false;

	constructor(store: KeyValueService) {
		this.#store = store;
	}

	/**
	 * Writes a claim if its key still has the expected revision.
	 *
	 * @param key - From {@link claimKey}.
	 * @param claim - The claim.
	 * @param expected - The revision last seen, 0 when there must be none.
	 * @returns Written, or what was found instead; an error leaves open whether it took effect.
	 */
	async write(key: string, claim: Claim, expected: number): Promise<Result<ClaimWrite, PlatformError>> {
		return new Promise(settle => {
			this.#pending.push({write: {key, value: JSON.stringify(claim), expected}, settle});
			void this.#flush();
		});
	}

	/**
	 * Reads a claim.
	 *
	 * @param key - From {@link claimKey}.
	 * @returns What is there.
	 */
	async read(key: string): Promise<Result<ClaimWrite, PlatformError>> {
		const reading = await this.#store.list(key);
		return reading.map(({entries}) => found(entries.find(entry => entry.key === key)));
	}

	async #flush(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		while (this.#pending.length > 0) {
			await this.#writeGroup(this.#takeGroup());
		}

		this.#isWriting = false;
	}

	// One key can stand in a group only once; its second write waits for the next group.
	#takeGroup(): Pending[] {
		const group = new Map<string, Pending>();
		const left: Pending[] = [];
		for (const pending of this.#pending) {
			if (group.size < largestGroup && !group.has(pending.write.key)) {
				group.set(pending.write.key, pending);
			} else {
				left.push(pending);
			}
		}

		this.#pending = left;
		return [...group.values()];
	}

	async #writeGroup(group: readonly Pending[]): Promise<void> {
		const outcome = await this.#store.compareAndSwap(group.map(({write}) => write));
		if (outcome.isErr) {
			settleAll(group, Result.err(outcome.error));
			return;
		}

		if (outcome.value.type === 'written') {
			settleAll(group, Result.ok({type: 'written', revision: outcome.value.revision}));
			return;
		}

		await this.#settleConflict(group, outcome.value);
	}

	// Of a group that failed, those that met a claim learn of it and the others are written again.
	async #settleConflict(group: readonly Pending[], outcome: Extract<SwapOutcome, {type: 'conflict'}>): Promise<void> {
		const byKey = new Map(outcome.found.map(entry => [entry.key, entry]));
		const isMet = ({write}: Pending) => (byKey.get(write.key)?.revision ?? 0) !== write.expected;
		for (const pending of group.filter(candidate => isMet(candidate))) {
			pending.settle(Result.ok(found(byKey.get(pending.write.key))));
		}

		const rest = group.filter(candidate => !isMet(candidate));
		if (rest.length > 0) {
			await this.#writeGroup(rest);
		}
	}
}

function settleAll(group: readonly Pending[], result: Result<ClaimWrite, PlatformError>): void {
	for (const pending of group) {
		pending.settle(result);
	}
}

function found(entry: KeyValueEntry | undefined): ClaimWrite {
	if (entry === undefined) {
		return {type: 'absent'};
	}

	return {type: 'found', claim: v.parse(claimSchema, JSON.parse(entry.value)), revision: entry.revision};
}
