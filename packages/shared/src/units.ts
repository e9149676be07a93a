/** Monotonic time or a span of time, in milliseconds. */
export type Milliseconds = number;

/** A count of language-model tokens. */
export type Tokens = number;

/** A size in bytes. */
export type Bytes = number;

export const millisecondsPerSecond = 1000;
export const bytesPerMebibyte = 1_048_576;
