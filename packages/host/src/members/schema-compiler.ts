import * as v from 'valibot';

/** Result for an input that a schema does not accept. */
export const invalid = Symbol('invalid');

type Parse = (input: unknown) => unknown;

type PipeStep = v.GenericSchema | {readonly kind: 'transformation'; readonly type: string; readonly operation?: Parse};

/** The parts of a schema that the compiler reads, by the schema's type. */
type SchemaNode = {
	readonly type: string;
	readonly pipe?: readonly PipeStep[];
	readonly entries: Readonly<Record<string, v.GenericSchema>>;
	readonly item: v.GenericSchema;
	readonly items: readonly v.GenericSchema[];
	readonly value: v.GenericSchema;
	readonly wrapped: v.GenericSchema;
	readonly default?: unknown;
	readonly literal: unknown;
	readonly options: readonly unknown[];
	readonly key: string;
};

/**
 * Compiles a schema to a function that accepts the same inputs with the same outputs and collects no issues, for messages that arrive
 * hundreds of times a second. Schemas of other types than those in use between hosts are left to the library.
 *
 * @param schema - The schema; defaults that are functions are not supported.
 * @returns Parses an input; `invalid` for one that the schema does not accept. The output may share lists and records with the input.
 */
export function compileSchema<const Schema extends v.GenericSchema>(schema: Schema): (input: unknown) => v.InferOutput<Schema> | typeof invalid {
	return compile(schema);
}

const isObject = (input: unknown): input is Record<string, unknown> => typeof input === 'object' && input !== null;

const accept = (isValid: (input: unknown) => boolean): Parse => input => isValid(input) ? input : invalid;

function compile(schema: v.GenericSchema): Parse {
	const node = schema as unknown as SchemaNode;
	if ('fallback' in node) {
		return delegate(schema);
	}

	return node.pipe === undefined ? compileType(node, schema) : compilePipe(node.pipe, schema);
}

function compileType(node: SchemaNode, schema: v.GenericSchema): Parse {
	switch (node.type) {
		case 'string': {
			return accept(input => typeof input === 'string');
		}

		case 'number': {
			return accept(input => typeof input === 'number' && !Number.isNaN(input));
		}

		case 'boolean': {
			return accept(input => typeof input === 'boolean');
		}

		case 'literal': {
			return accept(input => input === node.literal);
		}

		case 'picklist': {
			return accept(input => node.options.includes(input));
		}

		case 'nullable': {
			const parse = compile(node.wrapped);
			return input => input === null ? null : parse(input);
		}

		case 'optional': {
			return compileOptional(node);
		}

		case 'array': {
			return compileArray(compile(node.item));
		}

		case 'tuple': {
			return compileTuple(node.items.map(item => compile(item)));
		}

		case 'record': {
			return compileRecord(compile(node.value));
		}

		case 'object': {
			return compileObject(node.entries);
		}

		case 'variant': {
			return compileVariant(node, schema);
		}

		default: {
			return delegate(schema);
		}
	}
}

function delegate(schema: v.GenericSchema): Parse {
	return input => {
		const result = v.safeParse(schema, input);
		return result.success ? result.output : invalid;
	};
}

// The first step of a pipe is the schema itself, without the pipe.
function compilePipe([root, ...steps]: readonly PipeStep[], schema: v.GenericSchema): Parse {
	let parse = compile(root as v.GenericSchema);
	for (const step of steps) {
		if (step.kind !== 'transformation' || (step.type !== 'transform' && step.type !== 'readonly')) {
			return delegate(schema);
		}

		if (step.type === 'transform') {
			const previous = parse;
			const transform = (step as {readonly operation: Parse}).operation;
			parse = input => {
				const value = previous(input);
				return value === invalid ? invalid : transform(value);
			};
		}
	}

	return parse;
}

function compileOptional(node: SchemaNode): Parse {
	const parse = compile(node.wrapped);
	const assumed = node.default;
	return input => {
		const value = input === undefined ? assumed : input;
		return value === undefined ? undefined : parse(value);
	};
}

// Lists and records are copied only from the first item on that differs in the output.
function compileArray(parse: Parse): Parse {
	return input => {
		if (!Array.isArray(input)) {
			return invalid;
		}

		const items: readonly unknown[] = input;
		let output: unknown[] = input;
		for (const [index, item] of items.entries()) {
			const value = parse(item);
			if (value === invalid) {
				return invalid;
			}

			if (value !== item && output === input) {
				output = [...items];
			}

			if (output !== input) {
				output[index] = value;
			}
		}

		return output;
	};
}

function compileTuple(parsers: readonly Parse[]): Parse {
	return input => {
		if (!Array.isArray(input)) {
			return invalid;
		}

		const items: readonly unknown[] = input;
		let output: unknown[] = items.length === parsers.length ? input : items.slice(0, parsers.length);
		for (const [index, parser] of parsers.entries()) {
			const item = items[index];
			const value = parser(item);
			if (value === invalid) {
				return invalid;
			}

			if (value !== item) {
				output = output === input ? [...items] : output;
				output[index] = value;
			}
		}

		return output;
	};
}

// Keys that could change an object's prototype are left out, as by the library.
const isOmittedKey = (key: string): boolean => key === '__proto__' || key === 'prototype' || key === 'constructor';

function compileRecord(parse: Parse): Parse {
	return input => {
		if (!isObject(input)) {
			return invalid;
		}

		const keys = Object.keys(input);
		let output = Object.getPrototypeOf(input) !== Object.prototype || keys.some(key => isOmittedKey(key)) ? {} : input;
		for (const key of keys) {
			if (isOmittedKey(key)) {
				continue;
			}

			const value = parse(input[key]);
			if (value === invalid) {
				return invalid;
			}

			if (value !== input[key] && output === input) {
				output = {...input};
			}

			if (output !== input) {
				output[key] = value;
			}
		}

		return output;
	};
}

function compileObject(entries: SchemaNode['entries']): Parse {
	const fields = Object.entries(entries).map(([key, schema]) => {
		const node = schema as unknown as SchemaNode;
		const isOptional = node.type === 'optional';
		return {
			key, parse: compile(schema), isRequired: !isOptional, isLeftOut: isOptional && node.default === undefined,
		};
	});
	return input => {
		if (!isObject(input)) {
			return invalid;
		}

		const output: Record<string, unknown> = {};
		for (const {key, parse, isRequired, isLeftOut} of fields) {
			const field = input[key];
			if (field === undefined && (isRequired || isLeftOut) && !(key in input)) {
				if (isRequired) {
					return invalid;
				}

				continue;
			}

			const value = parse(field);
			if (value === invalid) {
				return invalid;
			}

			output[key] = value;
		}

		return output;
	};
}

// Only variants whose options differ in a literal are compiled.
function compileVariant({key, options}: SchemaNode, schema: v.GenericSchema): Parse {
	const parsers = new Map<unknown, Parse>();
	for (const option of options as ReadonlyArray<v.GenericSchema & SchemaNode>) {
		const discriminator = option.entries?.[key] as unknown as SchemaNode | undefined;
		if (discriminator?.type !== 'literal' || discriminator.pipe !== undefined || parsers.has(discriminator.literal)) {
			return delegate(schema);
		}

		parsers.set(discriminator.literal, compile(option));
	}

	return input => isObject(input) ? parsers.get(input[key])?.(input) ?? invalid : invalid;
}
