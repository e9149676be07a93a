import {createHash} from 'node:crypto';
import type {PromptPart} from '@lacewingpoint/routing';
import type {Tokens} from '@lacewingpoint/shared';

/** Estimated characters per token, as the model's tokenizer is not available here. */
const charactersPerToken = 4;

/** Length of the first parts. They are the shortest because the text that prompts share is mostly near their beginning. */
const initialPartTokens: Tokens = 256;

/** Part length doubles after each run of this many parts, so that the part list of a long prompt fits into a request header. */
const partsPerLength = 16;

/** Length of a part id in bytes. A collision would let a server answer one prompt from the cache of another. */
const partIdBytes = 16;

/**
 * Estimates the token count of a text from its length.
 *
 * @param text - Text of a prompt or of one of its parts.
 * @returns The estimate in tokens, rounded up.
 */
export function estimateTokenCount(text: string): Tokens {
	return Math.ceil(text.length / charactersPerToken);
}

/**
 * Splits a prompt into parts for prefix matching. A part's id is a hash of all text up to the end of that part, so two prompts
 * share exactly the parts within their common prefix. Part boundaries depend on the part's index only. The last part holds the
 * remaining text and is specific to the request.
 *
 * @param text - Full text of the prompt.
 * @returns The parts in prompt order, at least one.
 */
export function splitPrompt(text: string): PromptPart[] {
	const parts: PromptPart[] = [];
	const hash = createHash('sha256');
	let offset = 0;
	for (;;) {
		const tokens = initialPartTokens * (2 ** Math.floor(parts.length / partsPerLength));
		const partText = text.slice(offset, offset + (tokens * charactersPerToken));
		offset += partText.length;
		hash.update(partText);
		parts.push({id: hash.copy().digest('hex').slice(0, partIdBytes * 2), tokens: estimateTokenCount(partText)});
		if (offset >= text.length) {
			return parts;
		}
	}
}
