import {readFile} from 'node:fs/promises';
import {
	type SettingsError, bytesPerMebibyte, getErrorMessage, parseSettings,
} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import * as v from 'valibot';

const port = v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(65_535));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));

const completionsSchema = v.strictObject({
	/** Where the interface for completions listens, at the host's own IP number. */
	port,
	/** The longest answer, in tokens, of a request that names none. */
	answerTokens: v.optional(count, 1024),
});

/** What the platform's file cannot say of a host: whether it serves completions, and how it is observed. */
export const productSettingsSchema = v.strictObject({
	/** Absent where the host serves the platform's clients alone. */
	completions: v.optional(completionsSchema),
	/** `deploy/system.toml` names the same port. */
	metricsPort: v.optional(port, 9464),
	/** Log lines that may wait for a slow reader, in bytes. */
	logBufferBytes: v.optional(v.pipe(count, v.minValue(65_536)), bytesPerMebibyte),
});

export type ProductSettings = Readonly<v.InferOutput<typeof productSettingsSchema>>;

/** The settings of a host that is given no file. */
export const defaultSettings: ProductSettings = v.parse(productSettingsSchema, {});

/**
 * Reads and checks a settings file, JSON with comments.
 *
 * @param path - The file.
 * @returns The settings, or every fault with its place.
 */
export async function readProductSettings(path: string): Promise<Result<ProductSettings, SettingsError>> {
	try {
		return parseSettings(await readFile(path, 'utf8'), productSettingsSchema);
	} catch (error) {
		return Result.err({
			layer: 'settings', code: 'malformed', message: `${path}: ${getErrorMessage(error)}`, faults: [],
		});
	}
}
