import {
	type Node, type ParseError, findNodeAtLocation, parse, parseTree, printParseErrorCode,
} from 'jsonc-parser';
import {Result} from 'true-myth';
import * as v from 'valibot';
import type {LayerError} from './layer-error.js';

/** A validation error in a settings text, with its position. */
export type SettingsFault = {
	/** Keys from the root, joined by dots; empty for the root and for a syntax error. */
	readonly path: string;
	/** From 1. */
	readonly line: number;
	/** From 1. */
	readonly column: number;
	readonly expected: string;
	readonly found: string;
};

/** An error of the settings layer: the text cannot be read or has invalid syntax (`malformed`), or violates the schema (`invalid`). */
export type SettingsError = LayerError<'malformed' | 'invalid'> & {readonly faults: readonly SettingsFault[]};

function positionAt(text: string, offset: number): {line: number; column: number} {
	const precedingLines = text.slice(0, offset).split('\n');
	return {line: precedingLines.length, column: (precedingLines.at(-1)?.length ?? 0) + 1};
}

function createSyntaxFault(text: string, error: ParseError): SettingsFault {
	return {
		path: '',
		...positionAt(text, error.offset),
		expected: printParseErrorCode(error.error),
		found: JSON.stringify(text.slice(error.offset, error.offset + Math.max(error.length, 1))),
	};
}

// Finds the node at a path, or its nearest existing ancestor: a missing entry has no node of its own.
function findNearestNode(tree: Node, keys: ReadonlyArray<string | number>): Node | undefined {
	const node = findNodeAtLocation(tree, [...keys]);
	return node === undefined && keys.length > 0 ? findNearestNode(tree, keys.slice(0, -1)) : node;
}

function createSchemaFault(text: string, issue: v.BaseIssue<unknown>): SettingsFault {
	const keys = (issue.path ?? []).map(item => item.key as string | number);
	const tree = parseTree(text);
	const node = tree === undefined ? undefined : findNearestNode(tree, keys);
	return {
		path: keys.join('.'),
		...positionAt(text, node?.offset ?? 0),
		expected: issue.expected ?? issue.message,
		found: issue.received,
	};
}

function createSettingsError(code: 'malformed' | 'invalid', faults: readonly SettingsFault[]): SettingsError {
	const lines = faults.map(fault => `${fault.path || '(root)'} at line ${fault.line}, column ${fault.column}: expected ${fault.expected}, found ${fault.found}`);
	return {
		layer: 'settings', code, message: lines.join('; '), faults,
	};
}

/**
 * Parses JSON with comments and validates it against a schema.
 *
 * @param text - The settings, as JSON with comments and trailing commas.
 * @param schema - The schema to validate against.
 * @returns The validated value, or an error that lists every fault with its path, line and column.
 */
export function parseSettings<const Schema extends v.GenericSchema>(text: string, schema: Schema): Result<v.InferOutput<Schema>, SettingsError> {
	const parseErrors: ParseError[] = [];
	const value: unknown = parse(text, parseErrors, {allowTrailingComma: true});
	if (parseErrors.length > 0) {
		return Result.err(createSettingsError('malformed', parseErrors.map(error => createSyntaxFault(text, error))));
	}

	const validation = v.safeParse(schema, value);
	if (!validation.success) {
		return Result.err(createSettingsError('invalid', validation.issues.map(issue => createSchemaFault(text, issue))));
	}

	return Result.ok(validation.output);
}

/**
 * Finds where a value stands in a settings text.
 *
 * @param text - The settings, as JSON with comments.
 * @param keys - The keys and indexes from the root to the value.
 * @returns Line and column from 1: of the value, or of the nearest entry around it that exists.
 */
export function locateSetting(text: string, keys: ReadonlyArray<string | number>): {readonly line: number; readonly column: number} {
	const tree = parseTree(text);
	const node = tree === undefined ? undefined : findNearestNode(tree, keys);
	return positionAt(text, node?.offset ?? 0);
}
