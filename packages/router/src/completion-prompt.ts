import type {EngineRequest} from '@lacewingpoint/backend';
import {
	type PlacementRequest, type ServerRow, type StreamProgress, cacheSalt, charactersPerBlock, hashBlocks, placementOptions,
} from '@lacewingpoint/routing';
import {hashText} from '@lacewingpoint/shared';
import type {CompletionCall} from './completion-call.js';
import type {NamedRoute} from './configuration-view.js';

const homeCharacters = placementOptions.homeBlocks * charactersPerBlock;

/** One completion's prompt, as placement and the engines see it. */
export class CompletionPrompt {
	readonly #workspace: string;
	readonly #named: NamedRoute<'model'>;
	readonly #call: CompletionCall;
	readonly #blocksByVersion = new Map<string, readonly number[]>();

	constructor(workspace: string, named: NamedRoute<'model'>, call: CompletionCall) {
		this.#workspace = workspace;
		this.#named = named;
		this.#call = call;
	}

	/**
	 * Describes the prompt to placement.
	 *
	 * @param avoided - The servers that it should not go to.
	 * @returns The placement request.
	 */
	placementRequest(avoided: ReadonlySet<string>): PlacementRequest {
		return {
			promptTokens: this.#call.promptTokens, homeKey: this.#homeKey(), avoided, blocksFor: version => this.#blocksFor(version),
		};
	}

	/**
	 * Composes the request to an engine; the caller's key is no part of it.
	 *
	 * @param requestId - The request's id.
	 * @param row - The server it goes to.
	 * @param progress - What the caller has already, when the stream resumes.
	 * @returns The request.
	 */
	engineRequest(requestId: string, row: ServerRow, progress: StreamProgress): EngineRequest {
		const {path, streams} = this.#call;
		const isResumed = progress.lastSequence >= 0;
		const body = this.#engineBody(row, isResumed ? progress.text : undefined);
		return {
			requestId, path, streams, body, ...(isResumed ? {resumeAfter: progress.lastSequence} : {}),
		};
	}

	#engineBody(row: ServerRow, resumeText: string | undefined): string {
		const {route} = this.#named;
		return JSON.stringify({
			...this.#call.body,
			model: route.adapter ?? route.model,
			max_tokens: this.#call.answerTokens,
			cache_salt: this.#salt(row.weightsVersion),
			priority: route.priority === 'high' ? 0 : 1,
			resume_text: resumeText,
		});
	}

	#salt(weightsVersion: string | undefined): string {
		const {route} = this.#named;
		return cacheSalt({
			workspace: this.#workspace, model: route.model, adapter: route.adapter, weightsVersion: weightsVersion ?? '',
		});
	}

	// Engines may run different weights while they change, so the blocks depend on the server.
	#blocksFor(weightsVersion: string | undefined): readonly number[] {
		const version = weightsVersion ?? '';
		const held = this.#blocksByVersion.get(version) ?? hashBlocks(this.#salt(weightsVersion), this.#call.prompt);
		this.#blocksByVersion.set(version, held);
		return held;
	}

	#homeKey(): number {
		const blocks = hashBlocks(this.#salt(undefined), this.#call.prompt.slice(0, homeCharacters));
		return blocks.at(-1) ?? hashText(this.#call.prompt);
	}
}
