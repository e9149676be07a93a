import loglevel from 'loglevel';

/** Additional fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes structured log lines. Used for state changes only; frequent events are counted in metrics instead. */
export type Logger = {
	info(event: string, fields?: LogFields): void;
	warn(event: string, fields?: LogFields): void;
};

/**
 * Creates a logger that writes one JSON object per line.
 *
 * @param program - Name of the program.
 * @param identity - Name of the host that the program runs on.
 * @param wallClock - Returns the current time of day, for the timestamp of a line.
 * @param write - Writes a line; standard error by default.
 * @returns The logger.
 */
export function createLogger(program: string, identity: string, wallClock: () => Date, write = writeToStandardError): Logger {
	const output = loglevel.getLogger(program);
	output.methodFactory = () => (line: unknown) => {
		write(String(line));
	};

	output.setLevel('info', false);
	const formatLine = (level: string, event: string, fields?: LogFields) => JSON.stringify({
		time: wallClock().toISOString(), level, program, identity, event, ...fields,
	});
	return {
		info(event, fields) {
			output.info(formatLine('info', event, fields));
		},
		warn(event, fields) {
			output.warn(formatLine('warn', event, fields));
		},
	};
}

function writeToStandardError(line: string): void {
	process.stderr.write(`${line}\n`);
}

/** A logger that discards every line. */
export const silentLogger: Logger = {
	info() {/* Discarded. */},
	warn() {/* Discarded. */},
};
