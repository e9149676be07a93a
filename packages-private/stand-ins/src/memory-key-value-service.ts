import {
	type KeyValueReading, type KeyValueService, type KeyValueWatch, type KeyValueWrite, type PlatformError, type SwapOutcome,
	largestValueBytes,
} from '@lacewingpoint/platform';
import {Result} from 'true-myth';
import type {KeyValueTable} from './key-value-table.js';

/** Faults that a test switches on. */
export type KeyValueFaults = {
	/** Every call fails and nothing takes effect. */
	isDown: boolean;
	/** The next writes take effect but their answers are lost. */
	lostWriteAnswers: number;
	/** Reads return what was there at this revision's reading. */
	staleReading: KeyValueReading | undefined;
};

const unavailable: PlatformError = {layer: 'platform', code: 'unavailable', message: 'the stand-in is down'};

/** The key-value service as an object in the test's own process, with faults. */
export class MemoryKeyValueService implements KeyValueService {
	readonly faults: KeyValueFaults = {isDown: false, lostWriteAnswers: 0, staleReading: undefined};
	readonly #table: KeyValueTable;

	constructor(table: KeyValueTable) {
		this.#table = table;
	}

	async list(prefix: string, sinceRevision?: number): Promise<Result<KeyValueReading, PlatformError>> {
		return this.faults.isDown ? Result.err(unavailable) : Result.ok(this.faults.staleReading ?? this.#table.list(prefix, sinceRevision));
	}

	async compareAndSwap(writes: readonly KeyValueWrite[]): Promise<Result<SwapOutcome, PlatformError>> {
		if (this.faults.isDown) {
			return Result.err(unavailable);
		}

		if (writes.some(write => write.value.length > largestValueBytes)) {
			return Result.err({layer: 'platform', code: 'too-large', message: 'a value is too large'});
		}

		const outcome = this.#table.compareAndSwap(writes);
		if (this.faults.lostWriteAnswers > 0) {
			this.faults.lostWriteAnswers--;
			return Result.err(unavailable);
		}

		return Result.ok(outcome);
	}

	async grantLease(timeToLive: number): Promise<Result<string, PlatformError>> {
		return this.faults.isDown ? Result.err(unavailable) : Result.ok(this.#table.grantLease(timeToLive));
	}

	async renewLease(lease: string): Promise<Result<void, PlatformError>> {
		if (this.faults.isDown) {
			return Result.err(unavailable);
		}

		return this.#table.renewLease(lease) ? Result.ok(undefined) : Result.err({layer: 'platform', code: 'lease-lost', message: lease});
	}

	async revokeLease(lease: string): Promise<Result<void, PlatformError>> {
		this.#table.revokeLease(lease);
		return Result.ok(undefined);
	}

	watch(prefix: string, onChange: () => void): KeyValueWatch {
		const dispose = this.#table.watch(prefix, onChange);
		return {dispose};
	}
}
