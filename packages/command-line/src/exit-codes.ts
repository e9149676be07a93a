/** What the exit codes of lacewingpointctl mean. */
export const exitCodes = {
	done: 0,
	failed: 1,
	badInput: 2,
	refused: 3,
	storedNotAccepted: 4,
	acceptedNotEverywhere: 5,
	storeUnavailable: 6,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
