import {hashText} from '@lacewingpoint/shared';

const words = ['reel', 'flour', 'quote', 'oven', 'diode', 'levain', 'stock', 'crumb'];

/**
 * Composes one token of an answer; a resumed stream gets the same tokens.
 *
 * @param prompt - The prompt, without what was already answered.
 * @param index - The token's place in the answer, from 0.
 * @returns The token's text.
 */
export function answerToken(prompt: string, index: number): string {
	return `${words[hashText(prompt, index) % words.length]!}-${index} `;
}

/**
 * Composes a whole answer.
 *
 * @param prompt - The prompt.
 * @param length - Its length in tokens.
 * @returns The text.
 */
export function answerText(prompt: string, length: number): string {
	return Array.from({length}, (_, index) => answerToken(prompt, index)).join('');
}
