/** A point in monotonic time or a duration, in milliseconds. */
export type Milliseconds = number;

/** A number of language-model tokens. */
export type Tokens = number;

/** A size in bytes. */
export type Bytes = number;

export const millisecondsPerSecond = 1000;
export const bytesPerMebibyte = 1_048_576;
