import type {Tokens} from '@lacewingpoint/shared';

/** The usage that an engine reports with an answer, in the usual shape. */
export type Usage = {
	readonly total_tokens?: Tokens;
	readonly prompt_tokens?: Tokens;
	readonly prompt_tokens_details?: {readonly cached_tokens?: Tokens};
};

/**
 * Reads the usage out of an answer or of a chunk.
 *
 * @param text - Its JSON.
 * @returns The usage, or nothing when there is none.
 */
export function readUsage(text: string): Usage | undefined {
	try {
		return (JSON.parse(text) as {readonly usage?: Usage | undefined}).usage ?? undefined;
	} catch {
		return undefined;
	}
}
