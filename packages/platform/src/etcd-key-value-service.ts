import {type Milliseconds, messageOf, millisecondsPerSecond} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {Pool} from 'undici';
import * as v from 'valibot';
import {
	type KeyValueEntry, type KeyValueReading, type KeyValueService, type KeyValueWatch, type KeyValueWrite,
	type PlatformError, type SwapOutcome, largestValueBytes,
} from './key-value-service.js';

export type EtcdOptions = {
	/** Such as http://10.0.0.1:2379. */
	readonly origin: string;
	/** How long a call may take. */
	readonly timeout: Milliseconds;
};

const integerText = v.pipe(v.union([v.string(), v.number()]), v.transform(Number), v.safeInteger());
const headerSchema = v.object({revision: integerText});
const entrySchema = v.object({
	key: v.string(),
	value: v.optional(v.string(), ''),
	mod_revision: integerText,
	create_revision: integerText,
});
const rangeSchema = v.object({header: headerSchema, kvs: v.optional(v.array(entrySchema), [])});
const transactionSchema = v.object({
	header: headerSchema,
	succeeded: v.optional(v.boolean(), false),
	responses: v.optional(v.array(v.object({response_range: v.optional(v.object({kvs: v.optional(v.array(entrySchema), [])}))})), []),
});
const grantSchema = v.object({ID: v.string()});
const renewalSchema = v.object({result: v.object({TTL: v.optional(integerText, 0)})});

const encode = (text: string) => Buffer.from(text).toString('base64');
const decode = (text: string) => Buffer.from(text, 'base64').toString();

// The end of the range of keys with a prefix, as etcd defines it: the prefix with its last byte raised by one.
function rangeEnd(prefix: string): string {
	const bytes = Buffer.from(prefix);
	const last = bytes.length - 1;
	bytes.writeUInt8(bytes.readUInt8(last) + 1, last);
	return bytes.toString('base64');
}

function entryOf(wire: v.InferOutput<typeof entrySchema>): KeyValueEntry {
	return {
		key: decode(wire.key), value: decode(wire.value), revision: wire.mod_revision, createdRevision: wire.create_revision,
	};
}

function errorOf(code: PlatformError['code'], message: string): PlatformError {
	return {layer: 'platform', code, message};
}

/** The key-value service over etcd's published JSON gateway (`/v3/kv`, `/v3/lease`, `/v3/watch`). */
export class EtcdKeyValueService implements KeyValueService {
	readonly #options: EtcdOptions;
	readonly #pool: Pool;

	constructor(options: EtcdOptions) {
		this.#options = options;
		this.#pool = new Pool(options.origin, {connections: 8, headersTimeout: options.timeout, bodyTimeout: options.timeout});
	}

	async list(prefix: string, sinceRevision = 0): Promise<Result<KeyValueReading, PlatformError>> {
		const body = {key: encode(prefix), range_end: rangeEnd(prefix), min_mod_revision: String(sinceRevision)};
		const answer = await this.#call('/v3/kv/range', body, rangeSchema);
		return answer.map(range => ({revision: range.header.revision, entries: range.kvs.map(entry => entryOf(entry))}));
	}

	async compareAndSwap(writes: readonly KeyValueWrite[]): Promise<Result<SwapOutcome, PlatformError>> {
		const large = writes.find(write => Buffer.byteLength(write.value) > largestValueBytes);
		if (large !== undefined) {
			return Result.err(errorOf('too-large', `${large.key}: the value is over ${largestValueBytes} bytes`));
		}

		const body = {
			compare: writes.map(write => ({
				key: encode(write.key), target: 'MOD', result: 'EQUAL', mod_revision: String(write.expected),
			})),
			success: writes.map(write => ({request_put: {key: encode(write.key), value: encode(write.value), lease: write.lease ?? '0'}})),
			failure: writes.map(write => ({request_range: {key: encode(write.key)}})),
		};
		const answer = await this.#call('/v3/kv/txn', body, transactionSchema);
		return answer.map((transaction): SwapOutcome => {
			if (transaction.succeeded) {
				return {type: 'written', revision: transaction.header.revision};
			}

			const found = transaction.responses.flatMap(response => response.response_range?.kvs ?? []);
			return {type: 'conflict', found: found.map(entry => entryOf(entry))};
		});
	}

	async grantLease(timeToLive: Milliseconds): Promise<Result<string, PlatformError>> {
		const seconds = Math.max(1, Math.ceil(timeToLive / millisecondsPerSecond));
		const answer = await this.#call('/v3/lease/grant', {TTL: String(seconds), ID: '0'}, grantSchema);
		return answer.map(grant => grant.ID);
	}

	async renewLease(lease: string): Promise<Result<void, PlatformError>> {
		const answer = await this.#call('/v3/lease/keepalive', {ID: lease}, renewalSchema);
		return answer.andThen(renewal => (renewal.result.TTL > 0
			? Result.ok<void, PlatformError>(undefined)
			: Result.err<void, PlatformError>(errorOf('lease-lost', `lease ${lease} has lapsed`))));
	}

	async revokeLease(lease: string): Promise<Result<void, PlatformError>> {
		const answer = await this.#call('/v3/lease/revoke', {ID: lease}, v.unknown());
		return answer.map(() => undefined);
	}

	watch(prefix: string, onChange: () => void, onEnd: () => void): KeyValueWatch {
		const abort = new AbortController();
		void this.#runWatch(prefix, onChange, abort.signal).finally(() => {
			if (!abort.signal.aborted) {
				onEnd();
			}
		});
		return {
			dispose() {
				abort.abort();
			},
		};
	}

	/** Closes the connections. */
	async dispose(): Promise<void> {
		await this.#pool.destroy();
	}

	async #runWatch(prefix: string, onChange: () => void, signal: AbortSignal): Promise<void> {
		const body = JSON.stringify({create_request: {key: encode(prefix), range_end: rangeEnd(prefix)}});
		try {
			const response = await this.#pool.request({
				path: '/v3/watch', method: 'POST', body, signal, bodyTimeout: 0, headers: {'content-type': 'application/json'},
			});
			for await (const chunk of response.body) {
				if (String(chunk).includes('"events"')) {
					onChange();
				}
			}
		} catch {
			// A broken watch is reported by its end; the reader polls meanwhile.
		}
	}

	async #call<Schema extends v.GenericSchema>(path: string, body: unknown, schema: Schema): Promise<Result<v.InferOutput<Schema>, PlatformError>> {
		try {
			const response = await this.#pool.request({
				path, method: 'POST', body: JSON.stringify(body), headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(this.#options.timeout),
			});
			const text = await response.body.text();
			if (response.statusCode !== 200) {
				return Result.err(errorOf('unavailable', `${path} answered ${response.statusCode}`));
			}

			return this.#check(path, text, schema);
		} catch (error) {
			return Result.err(errorOf('unavailable', `${path}: ${messageOf(error)}`));
		}
	}

	#check<Schema extends v.GenericSchema>(path: string, text: string, schema: Schema): Result<v.InferOutput<Schema>, PlatformError> {
		try {
			const checked = v.safeParse(schema, JSON.parse(text));
			return checked.success
				? Result.ok(checked.output)
				: Result.err(errorOf('malformed', `${path}: ${checked.issues[0].message}`));
		} catch (error) {
			return Result.err(errorOf('malformed', `${path}: ${messageOf(error)}`));
		}
	}
}
