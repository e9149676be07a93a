import {readFile} from 'node:fs/promises';
import {
	type SettingsError, bytesPerMebibyte, getErrorMessage, parseSettings,
} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import * as v from 'valibot';

const portSchema = v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(65_535));
const positiveIntegerSchema = v.pipe(v.number(), v.integer(), v.minValue(1));

const completionsSchema = v.strictObject({
	/** Port of the completions API, on the host's own IP address. */
	port: portSchema,
	/** Maximum number of output tokens of a request that sets no limit. */
	answerTokens: v.optional(positiveIntegerSchema, 1024),
});

const secondTriesSchema = v.strictObject({
	/** Largest number of second tries, as a share of the requests. They also count against the retry budget. */
	maximumShare: v.pipe(v.number(), v.gtValue(0), v.maxValue(0.5)),
});

/** Settings that the platform's own file does not cover: the completions API, second tries, the order of waiting and observability. */
export const productSettingsSchema = v.strictObject({
	/** Omitted if the host does not serve the completions API. */
	completions: v.optional(completionsSchema),
	/** Second tries of slow requests that may be repeated. Omitted if there are to be none. */
	secondTries: v.optional(secondTriesSchema),
	/** Whether each host orders the requests that wait for servers by itself, or all hosts keep one order. */
	waitingOrder: v.optional(v.picklist(['host', 'fleet']), 'host'),
	/** Port of the metrics endpoint. Keep in sync with `deploy/system.toml`. */
	metricsPort: v.optional(portSchema, 9464),
	/** Size of the buffer for log lines not written yet, in bytes. Lines that do not fit are dropped. */
	logBufferBytes: v.optional(v.pipe(positiveIntegerSchema, v.minValue(65_536)), bytesPerMebibyte),
});

export type ProductSettings = Readonly<v.InferOutput<typeof productSettingsSchema>>;

/** Settings of a host that is started without a settings file. */
export const defaultSettings: ProductSettings = v.parse(productSettingsSchema, {});

/**
 * Reads and validates a settings file, which is JSON with comments.
 *
 * @param path - Path of the file.
 * @returns The settings, or an error that lists every fault with its position, or that says why the file cannot be read.
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
