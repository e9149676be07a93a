const quote = 0x22;
const backslash = 0x5C;

/** Bytes that begin a value or separate two: opening brackets and braces, commas and colons. */
const structuralBytes: ReadonlySet<number> = new Set([0x5B, 0x7B, 0x2C, 0x3A]);

/**
 * Counts the values of a JSON text at most, without parsing it. Empty arrays and objects take many times their size once they are parsed.
 *
 * @param bytes - The text in UTF-8; it need not be valid.
 * @param limit - Counting ends here.
 * @returns Whether the text has no more values than the limit.
 */
export function hasValuesWithin(bytes: Uint8Array, limit: number): boolean {
	let values = 1;
	for (let position = 0; position < bytes.length; position++) {
		const byte = bytes[position]!;
		if (byte === quote) {
			position = findStringEnd(bytes, position + 1);
		} else if (structuralBytes.has(byte) && ++values > limit) {
			return false;
		}
	}

	return true;
}

// Strings are nearly all of a body, and are searched by the engine.
function findStringEnd(bytes: Uint8Array, start: number): number {
	let end = bytes.indexOf(quote, start);
	while (end !== -1 && isEscaped(bytes, start, end)) {
		end = bytes.indexOf(quote, end + 1);
	}

	return end === -1 ? bytes.length : end;
}

function isEscaped(bytes: Uint8Array, start: number, position: number): boolean {
	let backslashes = 0;
	while (position - backslashes - 1 >= start && bytes[position - backslashes - 1] === backslash) {
		backslashes++;
	}

	return backslashes % 2 === 1;
}
