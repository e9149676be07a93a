import {createHash} from 'node:crypto';
import type {PromptPart} from '@lacewingpoint/routing';
import type {Tokens} from '@lacewingpoint/shared';

/** Characters that are counted as one token where no tokenizer is at hand. */
const charactersPerToken = 4;

/** The first parts are the shortest: what many prompts share is mostly near their beginning. */
const shortestPart: Tokens = 256;

/** Parts double in length after each run of this many, so that long prompts still fit a request's headers. */
const partsOfOneLength = 16;

/** Bytes of a part's id: two prompts must never share one by chance, or one would be answered from the other's cache. */
const idBytes = 16;

/**
 * Counts the tokens of a text.
 *
 * @param text - The text.
 * @returns The count, rounded up.
 */
export function estimateTokenCount(text: string): Tokens {
	return Math.ceil(text.length / charactersPerToken);
}

/**
 * Cuts a prompt into parts. Each id stands for all text up to the part's end, so that prompts share exactly the parts of their
 * common beginning; where parts end depends on their number alone. The last part is what is left and belongs to the request.
 *
 * @param text - The prompt.
 * @returns The parts in order, at least one.
 */
export function splitPrompt(text: string): PromptPart[] {
	const parts: PromptPart[] = [];
	const hash = createHash('sha256');
	let from = 0;
	for (;;) {
		const tokens = shortestPart * (2 ** Math.floor(parts.length / partsOfOneLength));
		const piece = text.slice(from, from + (tokens * charactersPerToken));
		from += piece.length;
		hash.update(piece);
		parts.push({id: hash.copy().digest('hex').slice(0, idBytes * 2), tokens: estimateTokenCount(piece)});
		if (from >= text.length) {
			return parts;
		}
	}
}
