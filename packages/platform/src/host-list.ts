import {type Milliseconds, messageOf} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {Pool} from 'undici';
import * as v from 'valibot';
import type {PlatformError} from './key-value-service.js';

const listSchema = v.object({
	hosts: v.array(v.object({address: v.string(), state: v.picklist(['live', 'leaving'])})),
});

/** One host as the platform lists it, some time late. */
export type ListedHost = Readonly<v.InferOutput<typeof listSchema>['hosts'][number]>;

/** The platform's lagging list of live and leaving hosts. */
export type HostList = {
	/** @returns The hosts as the platform last knew them. */
	read(): Promise<Result<readonly ListedHost[], PlatformError>>;
};

/** The host list over HTTP: `GET /v1/hosts`. */
export class HttpHostList implements HostList {
	readonly #pool: Pool;
	readonly #timeout: Milliseconds;

	constructor(origin: string, timeout: Milliseconds) {
		this.#pool = new Pool(origin, {connections: 1});
		this.#timeout = timeout;
	}

	async read(): Promise<Result<readonly ListedHost[], PlatformError>> {
		try {
			const response = await this.#pool.request({path: '/v1/hosts', method: 'GET', signal: AbortSignal.timeout(this.#timeout)});
			const checked = v.safeParse(listSchema, await response.body.json());
			return checked.success
				? Result.ok(checked.output.hosts)
				: Result.err({layer: 'platform', code: 'malformed', message: `host list: ${checked.issues[0].message}`});
		} catch (error) {
			return Result.err({layer: 'platform', code: 'unavailable', message: `host list: ${messageOf(error)}`});
		}
	}

	/** Closes the connection. */
	async dispose(): Promise<void> {
		await this.#pool.destroy();
	}
}
