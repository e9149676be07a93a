import {type Tokens, hashText} from '@lacewingpoint/shared';

/** Characters that are counted as one token where no tokenizer is at hand. */
export const charactersPerToken = 4;

/** Characters in one block of a prompt; engines cache in pieces of this size. */
export const charactersPerBlock = 256;

/** Tokens in one block of a prompt. */
export const tokensPerBlock = charactersPerBlock / charactersPerToken;

/** What keeps cached blocks of different owners and weights apart. */
export type CacheScope = {
	readonly workspace: string;
	readonly model: string;
	readonly adapter: string | undefined;
	readonly weightsVersion: string;
};

/**
 * Composes the salt that the router and the engine mix into every block hash.
 *
 * @param scope - Whose prompt it is, and what weights run it.
 * @returns The salt.
 */
export function cacheSalt(scope: CacheScope): string {
	return JSON.stringify([scope.workspace, scope.model, scope.adapter ?? '', scope.weightsVersion]);
}

/**
 * Hashes the blocks of a prompt as a chain, so that each stands for everything before it.
 *
 * @param salt - From {@link cacheSalt}.
 * @param text - The prompt.
 * @returns One hash for each full block.
 */
export function hashBlocks(salt: string, text: string): number[] {
	const count = Math.floor(text.length / charactersPerBlock);
	const hashes: number[] = [];
	let chained = hashText(salt);
	for (let index = 0; index < count; index++) {
		chained = hashText(text.slice(index * charactersPerBlock, (index + 1) * charactersPerBlock), chained);
		hashes.push(chained);
	}

	return hashes;
}

/**
 * Counts the tokens of a text.
 *
 * @param text - The text.
 * @returns The count, rounded up.
 */
export function countTokens(text: string): Tokens {
	return Math.ceil(text.length / charactersPerToken);
}

type Message = {readonly role?: unknown; readonly content?: unknown};

/**
 * Reads the prompt out of a completion request, in the order in which the engine sees it.
 *
 * @param body - The parsed JSON body.
 * @returns The prompt as one text.
 */
export function promptText(body: {readonly messages?: unknown; readonly prompt?: unknown}): string {
	if (typeof body.prompt === 'string') {
		return body.prompt;
	}

	const messages = Array.isArray(body.messages) ? body.messages as Message[] : [];
	return messages.map(message => `${String(message.role)}: ${contentText(message.content)}\n`).join('');
}

function contentText(content: unknown): string {
	return typeof content === 'string' ? content : JSON.stringify(content);
}
