import type {LayerError} from '@lacewingpoint/shared';
import {type ExitCode, exitCodes} from './exit-codes.js';

export type CommandErrorCode = 'bad-input' | 'number-taken' | 'store-unavailable' | 'not-found';

/** An error of the operators' command. */
export type CommandError = LayerError<CommandErrorCode>;

const exitOf: Readonly<Record<CommandErrorCode, ExitCode>> = {
	'bad-input': exitCodes.badInput,
	'number-taken': exitCodes.refused,
	'store-unavailable': exitCodes.storeUnavailable,
	'not-found': exitCodes.badInput,
};

/**
 * Makes an error of the command.
 *
 * @param code - What went wrong.
 * @param message - For the operator.
 * @param cause - The error of the layer below.
 * @returns The error.
 */
export function commandError(code: CommandErrorCode, message: string, cause?: LayerError): CommandError {
	return {
		layer: 'command-line', code, message, cause,
	};
}

/**
 * Tells the exit code of an error.
 *
 * @param error - The error.
 * @returns The code.
 */
export function exitCodeOf(error: CommandError): ExitCode {
	return exitOf[error.code];
}
