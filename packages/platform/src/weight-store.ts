import {type Milliseconds, messageOf} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import {Pool} from 'undici';
import * as v from 'valibot';
import type {PlatformError} from './key-value-service.js';

const versionsSchema = v.object({versions: v.array(v.string())});

/** The platform's rate-limited store of weights. */
export type WeightStore = {
	/**
	 * Lists the versions that are stored of a model.
	 *
	 * @param model - The model.
	 * @returns The versions; `unavailable` while the store's rate is exceeded.
	 */
	versions(model: string): Promise<Result<readonly string[], PlatformError>>;
};

/** The weight store over HTTP: `GET /v1/models/<model>/versions`. */
export class HttpWeightStore implements WeightStore {
	readonly #pool: Pool;
	readonly #timeout: Milliseconds;

	constructor(origin: string, timeout: Milliseconds) {
		this.#pool = new Pool(origin, {connections: 1});
		this.#timeout = timeout;
	}

	async versions(model: string): Promise<Result<readonly string[], PlatformError>> {
		try {
			const response = await this.#pool.request({
				path: `/v1/models/${encodeURIComponent(model)}/versions`, method: 'GET', signal: AbortSignal.timeout(this.#timeout),
			});
			if (response.statusCode !== 200) {
				await response.body.dump();
				return Result.err({layer: 'platform', code: 'unavailable', message: `weight store answered ${response.statusCode}`});
			}

			const checked = v.safeParse(versionsSchema, await response.body.json());
			return checked.success
				? Result.ok(checked.output.versions)
				: Result.err({layer: 'platform', code: 'malformed', message: `weight store: ${checked.issues[0].message}`});
		} catch (error) {
			return Result.err({layer: 'platform', code: 'unavailable', message: `weight store: ${messageOf(error)}`});
		}
	}

	/** Closes the connection. */
	async dispose(): Promise<void> {
		await this.#pool.destroy();
	}
}
