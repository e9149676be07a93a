/** Limits on a MessagePack value, which are checked before it is decoded. */
export type MessagePackLimits = {
	/** Number of values, those within arrays and maps included. */
	readonly values: number;
	/** Number of arrays and maps within each other. */
	readonly depth: number;
};

/** Bytes that follow the first byte of a value of fixed size, from 0xC0 on; `undefined` if the size is not fixed. */
const fixedSizes: ReadonlyArray<number | undefined> = [
	0, undefined, 0, 0, undefined, undefined, undefined, undefined, undefined, undefined, 4, 8, 1, 2, 4, 8, 1, 2, 4, 8, 2, 3, 5, 9, 17,
];

/** First bytes of values that state their length in bytes, with the size of that length and of what precedes the content. */
const variableSizes: ReadonlyMap<number, readonly [lengthSize: number, typeSize: number]> = new Map([
	[0xC4, [1, 0]], [0xC5, [2, 0]], [0xC6, [4, 0]], [0xC7, [1, 1]], [0xC8, [2, 1]], [0xC9, [4, 1]], [0xD9, [1, 0]], [0xDA, [2, 0]], [0xDB, [4, 0]],
]);

/** First bytes of arrays and maps that state their length, with the size of that length and the values of each element. */
const containerSizes: ReadonlyMap<number, readonly [lengthSize: number, valuesPerElement: number]> = new Map([
	[0xDC, [2, 1]], [0xDD, [4, 1]], [0xDE, [2, 2]], [0xDF, [4, 2]],
]);

const firstFixedMap = 0x80;
const firstFixedArray = 0x90;
const firstFixedString = 0xA0;
const firstOther = 0xC0;
const firstNegative = 0xE0;

/**
 * Checks that bytes may be one MessagePack value within limits. A decoder allocates an array of the stated length before it reads the
 * elements, so a few bytes can state one that does not fit into the memory of the process.
 *
 * @param bytes - The encoded value.
 * @param limits - The limits.
 * @returns Whether each stated length is covered by the bytes that follow, and the limits are kept. The bytes may still be invalid.
 */
export function isMessagePackWithin(bytes: Uint8Array, limits: MessagePackLimits): boolean {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const readLength = (position: number, size: number) => {
		if (position + size > bytes.length) {
			return Number.POSITIVE_INFINITY;
		}

		return size === 1 ? view.getUint8(position) : (size === 2 ? view.getUint16(position) : view.getUint32(position));
	};

	// The values that are still to come, in each of the arrays and maps that contain the current position.
	const openCounts = [1];
	let expectedValues = 1;
	let position = 0;
	let values = 0;
	while (expectedValues > 0) {
		if (expectedValues > bytes.length - position || ++values > limits.values) {
			return false;
		}

		const code = bytes[position++]!;
		expectedValues--;
		const innermost = openCounts.length - 1;
		openCounts[innermost] = openCounts[innermost]! - 1;
		const container = containerSizes.get(code);
		let elements = 0;
		if (code >= firstFixedMap && code < firstFixedArray) {
			elements = 2 * (code - firstFixedMap);
		} else if (code >= firstFixedArray && code < firstFixedString) {
			elements = code - firstFixedArray;
		} else if (container === undefined) {
			position += measureContent(code, position, readLength);
		} else {
			const [lengthSize, valuesPerElement] = container;
			elements = readLength(position, lengthSize) * valuesPerElement;
			position += lengthSize;
		}

		if (elements > 0) {
			expectedValues += elements;
			openCounts.push(elements);
			if (openCounts.length > limits.depth) {
				return false;
			}
		} else {
			while (openCounts.at(-1) === 0) {
				openCounts.pop();
			}
		}
	}

	return position <= bytes.length;
}

function measureContent(code: number, position: number, readLength: (position: number, size: number) => number): number {
	if (code < firstFixedString || code >= firstNegative) {
		return 0;
	}

	if (code < firstOther) {
		return code - firstFixedString;
	}

	const variable = variableSizes.get(code);
	if (variable === undefined) {
		return fixedSizes[code - firstOther] ?? Number.POSITIVE_INFINITY;
	}

	const [lengthSize, typeSize] = variable;
	return lengthSize + typeSize + readLength(position, lengthSize);
}
