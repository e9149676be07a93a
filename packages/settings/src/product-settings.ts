import {readFile} from 'node:fs/promises';
import {defaultInboundLimitSettings} from '@lacewingpoint/routing';
import {
	type SettingsError, bytesPerMebibyte, getErrorMessage, parseSettings,
} from '@lacewingpoint/shared';
import {Result} from 'true-myth';
import * as v from 'valibot';

const portSchema = v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(65_535));
const positiveIntegerSchema = v.pipe(v.number(), v.integer(), v.minValue(1));

/** What is left of the sockets is for servers, the store and peers. */
const largestConnectionShare = 0.8;

const completionsSchema = v.strictObject({
	/** Port of the completions API, on the host's own IP address. */
	port: portSchema,
	/** Maximum number of output tokens of a request that sets no limit. */
	answerTokens: v.optional(positiveIntegerSchema, 1024),
	/** Limit on the number of JSON values in a body, names of fields included. */
	maximumValues: v.optional(positiveIntegerSchema, 100_000),
});

const secondTriesSchema = v.strictObject({
	/** Largest number of second tries, as a share of the requests. They also count against the retry budget. */
	maximumShare: v.pipe(v.number(), v.gtValue(0), v.maxValue(0.5)),
});

const shareSchema = v.pipe(v.number(), v.gtValue(0), v.maxValue(1));
const positiveNumberSchema = v.pipe(v.number(), v.gtValue(0));
const {connectionShares} = defaultInboundLimitSettings;

const connectionSharesSchema = v.pipe(
	v.strictObject({
		clients: v.optional(shareSchema, connectionShares.clients),
		peers: v.optional(shareSchema, connectionShares.peers),
		lookup: v.optional(shareSchema, connectionShares.lookup),
		readiness: v.optional(shareSchema, connectionShares.readiness),
		metrics: v.optional(shareSchema, connectionShares.metrics),
	}),
	v.check(shares => Object.values(shares).reduce((sum, share) => sum + share, 0) <= largestConnectionShare, `shares of at most ${largestConnectionShare} in all, as the rest is for servers and the store`),
);

/** Limits on what clients and peers can make a host hold and do. Described in docs/OPERATIONS.md. */
const inboundSchema = v.strictObject({
	memoryShare: v.optional(v.pipe(shareSchema, v.maxValue(0.5)), defaultInboundLimitSettings.memoryShare),
	connectionShares: v.optional(connectionSharesSchema, {}),
	pipelinedRequests: v.optional(positiveIntegerSchema, defaultInboundLimitSettings.pipelinedRequests),
	contendedStallTime: v.optional(positiveNumberSchema, defaultInboundLimitSettings.contendedStallTime),
	slowestReadRate: v.optional(positiveNumberSchema, defaultInboundLimitSettings.slowestReadRate),
	framingFactor: v.optional(v.pipe(v.number(), v.minValue(1)), defaultInboundLimitSettings.framingFactor),
	lingerTime: v.optional(positiveNumberSchema, defaultInboundLimitSettings.lingerTime),
	discardedBytes: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), defaultInboundLimitSettings.discardedBytes),
	readTurnTime: v.optional(positiveNumberSchema, defaultInboundLimitSettings.readTurnTime),
});

/** Settings that the platform's own file does not cover: the completions API, second tries, the order of waiting and observability. */
export const productSettingsSchema = v.strictObject({
	/** Omitted if the host does not serve the completions API. */
	completions: v.optional(completionsSchema),
	/** Second tries of slow requests that may be repeated. Omitted if there are to be none. */
	secondTries: v.optional(secondTriesSchema),
	/** Whether each host orders the requests that wait for servers by itself, or all hosts keep one order. */
	waitingOrder: v.optional(v.picklist(['host', 'fleet']), 'host'),
	/** Limits on what clients and peers can make the host hold and do. */
	inbound: v.optional(inboundSchema, {}),
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
