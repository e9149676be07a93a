import {
	type Node, type ParseError, findNodeAtLocation, parse, parseTree, printParseErrorCode,
} from 'jsonc-parser';
import {Result} from 'true-myth';
import * as v from 'valibot';
import type {LayerError} from './layer-error.js';

/** A fault in settings or a ticket, with its place in the text. */
export type SettingsFault = {
	readonly path: string;
	readonly line: number;
	readonly column: number;
	readonly expected: string;
	readonly found: string;
};

/** The error of the settings layer. */
export type SettingsError = LayerError<'malformed' | 'invalid'> & {readonly faults: readonly SettingsFault[]};

function placeOf(text: string, offset: number): {line: number; column: number} {
	const before = text.slice(0, offset).split('\n');
	return {line: before.length, column: (before.at(-1)?.length ?? 0) + 1};
}

function faultOfParse(text: string, error: ParseError): SettingsFault {
	return {
		path: '',
		...placeOf(text, error.offset),
		expected: printParseErrorCode(error.error),
		found: JSON.stringify(text.slice(error.offset, error.offset + Math.max(error.length, 1))),
	};
}

// A missing entry has no place of its own; its parent's is the nearest.
function deepestNode(tree: Node, keys: ReadonlyArray<string | number>): Node | undefined {
	const found = findNodeAtLocation(tree, [...keys]);
	return found === undefined && keys.length > 0 ? deepestNode(tree, keys.slice(0, -1)) : found;
}

function faultOfIssue(text: string, issue: v.BaseIssue<unknown>): SettingsFault {
	const keys = (issue.path ?? []).map(item => item.key as string | number);
	const tree = parseTree(text);
	const node = tree === undefined ? undefined : deepestNode(tree, keys);
	return {
		path: keys.join('.'),
		...placeOf(text, node?.offset ?? 0),
		expected: issue.expected ?? issue.message,
		found: issue.received,
	};
}

function failure(code: 'malformed' | 'invalid', faults: readonly SettingsFault[]): SettingsError {
	const lines = faults.map(fault => `${fault.path || '(root)'} at line ${fault.line}, column ${fault.column}: expected ${fault.expected}, found ${fault.found}`);
	return {
		layer: 'settings', code, message: lines.join('; '), faults,
	};
}

/**
 * Reads JSON with comments and checks it against a schema.
 *
 * @param text - The text of the settings or ticket.
 * @param schema - The schema that the value must meet.
 * @returns The checked value, or every fault with path, line and column.
 */
export function parseSettings<const Schema extends v.GenericSchema>(text: string, schema: Schema): Result<v.InferOutput<Schema>, SettingsError> {
	const parseErrors: ParseError[] = [];
	const value: unknown = parse(text, parseErrors, {allowTrailingComma: true});
	if (parseErrors.length > 0) {
		return Result.err(failure('malformed', parseErrors.map(error => faultOfParse(text, error))));
	}

	const checked = v.safeParse(schema, value);
	if (!checked.success) {
		return Result.err(failure('invalid', checked.issues.map(issue => faultOfIssue(text, issue))));
	}

	return Result.ok(checked.output);
}
